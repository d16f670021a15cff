//! The settings of a gateway: a node that forwards opaque requests over routes.

use std::net::SocketAddr;
use std::path::Path;

use ecow::EcoString;
use serde::Deserialize;
use serde_saphyr::{Location, Spanned};

use crate::Diagnostic;
use crate::diagnostic::{read_text, read_yaml};

/// What to do about a settings file that cannot be read.
const SETTINGS_HINT: &str = "see docs/OPERATIONS.md for the fields of a gateway's settings";

/// The longest that callers may be told to keep an address list, in milliseconds.
const MAX_ADDRESS_KEEP_MS: u64 = 600_000;

/// The checked settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The node's name; unique over all nodes.
    pub name: EcoString,
    /// The failure domain that the node is in.
    pub failure_domain: EcoString,
    /// Where callers connect, and what the directory tells them.
    pub callers_listen: SocketAddr,
    /// Where the readiness check connects.
    pub ready_listen: SocketAddr,
    /// Where callers ask for addresses.
    pub directory_listen: SocketAddr,
    /// Where peers send heartbeats, over UDP, and read facts, over TCP.
    pub peer_listen: SocketAddr,
    /// Where peers send requests for replicas near this node, over TCP.
    pub relay_listen: SocketAddr,
    /// Where peers are told to connect for that, if they reach this node at another address.
    pub relay_advertise: Option<SocketAddr>,
    /// Where metrics are read, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses to try before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// How much of a core the VM has; callers are sent to the larger ones first.
    pub cpu_share: f64,
    /// How long callers may keep an address list, in milliseconds.
    pub address_keep_ms: u64,
    /// How long a process may take from SIGTERM to its end, in milliseconds.
    pub grace_ms: u64,
    /// What all nodes together may send beyond the first send of each request.
    pub retry_budget: RetryBudgetSettings,
    /// How far a cold replica's declared rate may be exceeded.
    pub warmup: WarmupSettings,
    /// What a new version of replicas may get before it is proven; `None` if operators order no
    /// roll-outs here, and all versions of a service are alike. Taken at the start only.
    pub rollouts: Option<RolloutSettings>,
}

/// What a new version of a service's replicas may get if it is bad, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// As a fraction of the requests for the service, 0 to 1.
    pub exposure_share: f64,
    /// And so many requests besides.
    pub exposure_slack: f64,
}

/// What all nodes together may send beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// As a fraction of the requests for a service, 0 or more.
    pub ratio: f64,
    /// And so many in each window besides.
    pub fixed: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

/// How far a cold replica's declared rate may be exceeded, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupSettings {
    /// By this factor.
    pub factor: f64,
    /// And by so many requests a second besides.
    pub slack: f64,
}

/// The settings as they stand in the file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GatewayFile {
    name: Spanned<EcoString>,
    failure_domain: Spanned<EcoString>,
    callers_listen: Spanned<EcoString>,
    ready_listen: Spanned<EcoString>,
    directory_listen: Spanned<EcoString>,
    peer_listen: Spanned<EcoString>,
    relay_listen: Spanned<EcoString>,
    relay_advertise: Option<Spanned<EcoString>>,
    metrics_listen: Option<Spanned<EcoString>>,
    store: Spanned<EcoString>,
    #[serde(default)]
    seeds: Vec<Spanned<EcoString>>,
    cpu_share: Spanned<f64>,
    address_keep_ms: Spanned<u64>,
    grace_ms: Spanned<u64>,
    retry_budget: Spanned<RetryBudgetSettings>,
    warmup: Spanned<WarmupSettings>,
    rollouts: Option<Spanned<RolloutSettings>>,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, Diagnostic> {
        let file = path.display().to_string();
        Self::parse(&file, &read_text(path)?)
    }

    /// Checks the text of a settings file; `file` is its name in problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostic> {
        let raw: GatewayFile = read_yaml(file, text, SETTINGS_HINT)?;
        let socket = |field: &str, value: &Spanned<EcoString>| parse_address(file, field, value);
        let seeds: Result<Vec<SocketAddr>, Diagnostic> =
            raw.seeds.iter().map(|seed| socket("seeds", seed)).collect();
        let optional = |field: &str, value: &Option<Spanned<EcoString>>| {
            value.as_ref().map(|at| socket(field, at)).transpose()
        };
        Ok(Self {
            name: require_non_empty(file, "name", &raw.name)?,
            failure_domain: require_non_empty(file, "failure_domain", &raw.failure_domain)?,
            callers_listen: socket("callers_listen", &raw.callers_listen)?,
            ready_listen: socket("ready_listen", &raw.ready_listen)?,
            directory_listen: socket("directory_listen", &raw.directory_listen)?,
            peer_listen: socket("peer_listen", &raw.peer_listen)?,
            relay_listen: socket("relay_listen", &raw.relay_listen)?,
            relay_advertise: optional("relay_advertise", &raw.relay_advertise)?,
            metrics_listen: optional("metrics_listen", &raw.metrics_listen)?,
            store: socket("store", &raw.store)?,
            seeds: seeds?,
            cpu_share: check_cpu_share(file, &raw.cpu_share)?,
            address_keep_ms: require_in_range(
                file,
                "address_keep_ms",
                &raw.address_keep_ms,
                1,
                MAX_ADDRESS_KEEP_MS,
            )?,
            grace_ms: require_in_range(file, "grace_ms", &raw.grace_ms, 1, u64::MAX)?,
            retry_budget: check_retry_budget(file, &raw.retry_budget)?,
            warmup: check_warmup(file, &raw.warmup)?,
            rollouts: raw.rollouts.as_ref().map(|value| check_rollouts(file, value)).transpose()?,
        })
    }
}

/// A text that must not be empty.
pub(crate) fn require_non_empty(
    file: &str,
    field: &str,
    value: &Spanned<EcoString>,
) -> Result<EcoString, Diagnostic> {
    if value.value.trim().is_empty() {
        let message = format!("`{field}` is empty");
        return Err(Diagnostic::at_location(file, value.referenced, message, "give it a name"));
    }
    Ok(value.value.clone())
}

/// An address by IP number.
pub(crate) fn parse_address(
    file: &str,
    field: &str,
    value: &Spanned<EcoString>,
) -> Result<SocketAddr, Diagnostic> {
    value.value.parse().map_err(|_| {
        let message = format!("`{field}` is `{}`, which is no address", value.value);
        Diagnostic::at_location(
            file,
            value.referenced,
            message,
            "write IP number and port, as 127.0.0.1:7001",
        )
    })
}

/// A number within bounds, both included.
pub(crate) fn require_in_range(
    file: &str,
    field: &str,
    value: &Spanned<u64>,
    least: u64,
    most: u64,
) -> Result<u64, Diagnostic> {
    if value.value < least || value.value > most {
        let message = format!("`{field}` is {}", value.value);
        let hint = format!("use {least} to {most}");
        return Err(Diagnostic::at_location(file, value.referenced, message, hint));
    }
    Ok(value.value)
}

fn check_cpu_share(file: &str, value: &Spanned<f64>) -> Result<f64, Diagnostic> {
    require_non_negative(file, "cpu_share", value.referenced, value.value)?;
    Ok(value.value)
}

fn check_retry_budget(
    file: &str,
    value: &Spanned<RetryBudgetSettings>,
) -> Result<RetryBudgetSettings, Diagnostic> {
    let budget = value.value;
    let at = value.referenced;
    require_non_negative(file, "retry_budget.ratio", at, budget.ratio)?;
    require_non_negative(file, "retry_budget.fixed", at, budget.fixed)?;
    if budget.window_ms == 0 {
        return Err(Diagnostic::at_location(
            file,
            at,
            "`retry_budget.window_ms` is 0",
            "use 1 or more",
        ));
    }
    Ok(budget)
}

fn check_warmup(file: &str, value: &Spanned<WarmupSettings>) -> Result<WarmupSettings, Diagnostic> {
    let warmup = value.value;
    require_non_negative(file, "warmup.factor", value.referenced, warmup.factor)?;
    require_non_negative(file, "warmup.slack", value.referenced, warmup.slack)?;
    Ok(warmup)
}

fn check_rollouts(
    file: &str,
    value: &Spanned<RolloutSettings>,
) -> Result<RolloutSettings, Diagnostic> {
    let rollouts = value.value;
    let at = value.referenced;
    require_non_negative(file, "rollouts.exposure_share", at, rollouts.exposure_share)?;
    require_non_negative(file, "rollouts.exposure_slack", at, rollouts.exposure_slack)?;
    if rollouts.exposure_share > 1.0 {
        let message = format!("`rollouts.exposure_share` is {}", rollouts.exposure_share);
        return Err(Diagnostic::at_location(file, at, message, "use 0 to 1"));
    }
    Ok(rollouts)
}

fn require_non_negative(
    file: &str,
    field: &str,
    at: Location,
    value: f64,
) -> Result<(), Diagnostic> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(Diagnostic::at_location(file, at, format!("`{field}` is {value}"), "use 0 or more"))
}
