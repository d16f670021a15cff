//! The settings of one node.

use std::net::SocketAddr;
use std::path::Path;

use ecow::EcoString;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::Problem;
use crate::gateway::{address, between, filled};
use crate::problem::{read_text, read_yaml};

/// How long callers keep an address list when the settings do not say, in milliseconds.
const DEFAULT_ADDRESS_KEEP_MS: u64 = 10_000;

/// The longest that callers may be told to keep an address list, in milliseconds.
const MAX_ADDRESS_KEEP_MS: u64 = 600_000;

/// What to do about a settings file that cannot be read.
const HINT: &str =
    "name, failure_domain, listen, peer_listen and platform are needed; see docs/OPERATIONS.md";

/// The checked settings of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name; unique over all nodes.
    pub name: EcoString,
    /// The failure domain that the node is in.
    pub failure_domain: EcoString,
    /// Where callers and operators connect; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Where peers connect; port 0 takes any free port.
    pub peer_listen: SocketAddr,
    /// The address that callers are told; `listen` as bound if absent.
    pub advertise: Option<SocketAddr>,
    /// The address that peers are told; `peer_listen` as bound if absent.
    pub peer_advertise: Option<SocketAddr>,
    /// The platform's base URL, without a slash at the end.
    pub platform: EcoString,
    /// Peer addresses to try besides those in the VM list.
    pub seeds: Vec<EcoString>,
    /// How long callers may keep an address list, in milliseconds.
    pub address_keep_ms: u64,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
}

/// The settings as they stand in the file.
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

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, Problem> {
        let file = path.display().to_string();
        Self::parse(&file, &read_text(path)?)
    }

    /// Checks the text of a settings file; `file` is its name in problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problem> {
        let raw: SettingsFile = read_yaml(file, text, HINT)?;
        let seeds: Result<Vec<EcoString>, Problem> =
            raw.seeds.iter().map(|seed| address(file, "seeds", seed).map(to_text)).collect();
        let optional = |field: &str, value: &Option<Spanned<EcoString>>| {
            value.as_ref().map(|value| address(file, field, value)).transpose()
        };
        Ok(Self {
            name: filled(file, "name", &raw.name)?,
            failure_domain: filled(file, "failure_domain", &raw.failure_domain)?,
            listen: address(file, "listen", &raw.listen)?,
            peer_listen: address(file, "peer_listen", &raw.peer_listen)?,
            advertise: optional("advertise", &raw.advertise)?,
            peer_advertise: optional("peer_advertise", &raw.peer_advertise)?,
            platform: base_url(file, &raw.platform)?,
            seeds: seeds?,
            address_keep_ms: keep(file, raw.address_keep_ms.as_ref())?,
            statsd: optional("statsd", &raw.statsd)?,
        })
    }
}

fn to_text(address: SocketAddr) -> EcoString {
    ecow::eco_format!("{address}")
}

/// The platform's base URL.
fn base_url(file: &str, value: &Spanned<EcoString>) -> Result<EcoString, Problem> {
    let address = value.value.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    if address.is_none_or(|address| address.parse::<SocketAddr>().is_err()) {
        let message = format!("`platform` is `{}`, which is no base URL", value.value);
        return Err(Problem::new(file, value.referenced, message, "write http://IP:PORT"));
    }
    Ok(value.value.trim_end_matches('/').into())
}

/// How long callers may keep an address list.
fn keep(file: &str, value: Option<&Spanned<u64>>) -> Result<u64, Problem> {
    let Some(value) = value else { return Ok(DEFAULT_ADDRESS_KEEP_MS) };
    between(file, "address_keep_ms", value, 1, MAX_ADDRESS_KEEP_MS)
}
