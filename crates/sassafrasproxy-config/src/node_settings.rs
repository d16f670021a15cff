//! The settings of one node.

use std::net::SocketAddr;
use std::path::Path;

use ecow::EcoString;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::Diagnostic;
use crate::diagnostic::{read_text, read_yaml};
use crate::setting_checks::{parse_address, require_in_range, require_non_empty};

/// The default of `address_keep_ms`.
const DEFAULT_ADDRESS_KEEP_MS: u64 = 10_000;

/// The maximum of `address_keep_ms`.
const MAX_ADDRESS_KEEP_MS: u64 = 600_000;

/// The hint for a settings file that cannot be parsed.
const SETTINGS_HINT: &str =
    "name, failure_domain, listen, peer_listen and platform are required; see docs/OPERATIONS.md";

/// The checked settings of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The node's name; unique over all nodes.
    pub name: EcoString,
    /// The failure domain that the node is in.
    pub failure_domain: EcoString,
    /// The address on which callers and operators connect; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The address on which peers connect; port 0 takes any free port.
    pub peer_listen: SocketAddr,
    /// The address that is advertised to callers; `None` for the address that `listen` is bound to.
    pub advertise: Option<SocketAddr>,
    /// The address that is advertised to peers; `None` for the address that `peer_listen` is bound
    /// to.
    pub peer_advertise: Option<SocketAddr>,
    /// The platform's base URL, without a slash at the end.
    pub platform: EcoString,
    /// Peer addresses to contact in addition to those in the VM list.
    pub seeds: Vec<EcoString>,
    /// The time for which callers may keep an address list, in milliseconds.
    pub address_keep_ms: u64,
    /// The address that metrics are sent to; `None` if they are not sent.
    pub statsd: Option<SocketAddr>,
}

/// The settings as written in the file, before they are checked.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    name: Spanned<EcoString>,
    failure_domain: Spanned<EcoString>,
    listen: Spanned<EcoString>,
    peer_listen: Spanned<EcoString>,
    advertise: Option<Spanned<EcoString>>,
    peer_advertise: Option<Spanned<EcoString>>,
    platform: Spanned<EcoString>,
    #[serde(default)]
    seeds: Vec<Spanned<EcoString>>,
    address_keep_ms: Option<Spanned<u64>>,
    statsd: Option<Spanned<EcoString>>,
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// Returns a diagnostic if the file cannot be read or a setting is missing, unknown or invalid.
    pub fn load(path: &Path) -> Result<Self, Diagnostic> {
        let file = path.display().to_string();
        Self::parse(&file, &read_text(path)?)
    }

    /// Parses and checks the text of a settings file; `file` is its name in diagnostics.
    ///
    /// Returns a diagnostic if a setting is missing, unknown or invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostic> {
        let raw: SettingsFile = read_yaml(file, text, SETTINGS_HINT)?;
        let seeds: Result<Vec<EcoString>, Diagnostic> = raw
            .seeds
            .iter()
            .map(|seed| parse_address(file, "seeds", seed).map(format_address))
            .collect();
        let optional_address = |field: &str, value: &Option<Spanned<EcoString>>| {
            value.as_ref().map(|value| parse_address(file, field, value)).transpose()
        };
        Ok(Self {
            name: require_non_empty(file, "name", &raw.name)?,
            failure_domain: require_non_empty(file, "failure_domain", &raw.failure_domain)?,
            listen: parse_address(file, "listen", &raw.listen)?,
            peer_listen: parse_address(file, "peer_listen", &raw.peer_listen)?,
            advertise: optional_address("advertise", &raw.advertise)?,
            peer_advertise: optional_address("peer_advertise", &raw.peer_advertise)?,
            platform: check_base_url(file, &raw.platform)?,
            seeds: seeds?,
            address_keep_ms: check_address_keep_ms(file, raw.address_keep_ms.as_ref())?,
            statsd: optional_address("statsd", &raw.statsd)?,
        })
    }
}

fn format_address(address: SocketAddr) -> EcoString {
    ecow::eco_format!("{address}")
}

/// Checks the platform's base URL and returns it without a slash at the end.
fn check_base_url(file: &str, value: &Spanned<EcoString>) -> Result<EcoString, Diagnostic> {
    let address = value.value.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    if address.is_none_or(|address| address.parse::<SocketAddr>().is_err()) {
        let message = format!(
            "`platform` is `{}`, which is not a base URL with an IP address and a port",
            value.value
        );
        return Err(Diagnostic::at_location(
            file,
            value.referenced,
            message,
            "write it as http://IP:PORT",
        ));
    }
    Ok(value.value.trim_end_matches('/').into())
}

/// Returns the checked value of `address_keep_ms`, or the default if it is not set.
fn check_address_keep_ms(file: &str, value: Option<&Spanned<u64>>) -> Result<u64, Diagnostic> {
    let Some(value) = value else { return Ok(DEFAULT_ADDRESS_KEEP_MS) };
    require_in_range(file, "address_keep_ms", value, 1, MAX_ADDRESS_KEEP_MS)
}
