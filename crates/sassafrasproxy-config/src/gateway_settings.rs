//! The settings of a gateway: a node that forwards opaque requests as its routes define.

use std::net::SocketAddr;
use std::path::Path;

use ecow::EcoString;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::Diagnostic;
use crate::diagnostic::{read_text, read_yaml};
use crate::setting_checks::{
    parse_address, require_in_range, require_non_empty, require_non_negative,
};

/// The hint for a settings file that cannot be parsed.
const SETTINGS_HINT: &str = "see docs/OPERATIONS.md for the fields of a gateway's settings";

/// The maximum of `address_keep_ms`.
const MAX_ADDRESS_KEEP_MS: u64 = 600_000;

/// The default of `store_recovery_ms`.
const DEFAULT_STORE_RECOVERY_MS: u64 = 4_000;

/// The minimum of `store_recovery_ms`.
///
/// A slow store takes a quarter of a second for an answer, and a node that falls behind needs several.
const MIN_STORE_RECOVERY_MS: u64 = 2_000;

/// The maximum of `store_recovery_ms`.
const MAX_STORE_RECOVERY_MS: u64 = 60_000;

/// The maximum of `quota.window_ms`: one hour.
const MAX_QUOTA_WINDOW_MS: u64 = 3_600_000;

/// The minimum of `accounts.revoke_ms`.
///
/// Nodes poll for changes several times within it.
const MIN_REVOKE_MS: u64 = 1_000;

/// The maximum of `accounts.revoke_ms`: a day.
const MAX_REVOKE_MS: u64 = 86_400_000;

/// The default of `answers.max_bytes`.
const DEFAULT_ANSWER_BYTES: usize = 4 << 20;

/// The minimum of `answers.max_bytes`.
const MIN_ANSWER_BYTES: usize = 1 << 10;

/// The default of `answers.max_in_flight_bytes`.
const DEFAULT_IN_FLIGHT_BYTES: usize = 32 << 20;

/// The checked settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The node's name; unique over all nodes.
    pub name: EcoString,
    /// The failure domain that the node is in.
    pub failure_domain: EcoString,
    /// The address on which callers connect; the directory returns it to them.
    pub callers_listen: SocketAddr,
    /// The address of the readiness check.
    pub ready_listen: SocketAddr,
    /// The address on which callers ask for the addresses of ingress nodes.
    pub directory_listen: SocketAddr,
    /// The address on which peers send gossip datagrams over UDP and read facts over TCP.
    pub peer_listen: SocketAddr,
    /// The address on which peers send relay calls for replicas near this node, over TCP.
    pub relay_listen: SocketAddr,
    /// The address for relay calls that is advertised to peers; `None` if they reach this node at
    /// `relay_listen`.
    pub relay_advertise: Option<SocketAddr>,
    /// The address on which metrics are served; `None` if they are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The time after an outage of the store in which the node must have caught up with it, in
    /// milliseconds. Read only when the node starts.
    pub store_recovery_ms: u64,
    /// Peer addresses to contact before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// The CPU share of the VM, in cores; the directory prefers nodes with a large share.
    pub cpu_share: f64,
    /// The time for which callers may keep an address list, in milliseconds.
    pub address_keep_ms: u64,
    /// The longest time from SIGTERM until the process exits, in milliseconds.
    pub grace_ms: u64,
    /// The limit on the attempts of all nodes together beyond the first of each request.
    pub retry_budget: RetryBudgetSettings,
    /// The limit on the request rate of all nodes together to a cold replica.
    pub warmup: WarmupSettings,
    /// The limit on the requests that a bad new version of a service's replicas gets; `None` if
    /// operators order no rollouts here and all versions of a service are treated alike. Read only
    /// when the node starts.
    pub rollouts: Option<RolloutSettings>,
    /// The bound on the requests of a client account that has a rate limit; `None` if rate limits
    /// are not enforced here. Whether they are is read only when the node starts.
    pub quota: Option<QuotaSettings>,
    /// How the node chooses the requests that it starts when there is less room than requests. Read
    /// only when the node starts.
    pub admission: AdmissionMode,
    /// The time in which changed keys of client accounts take effect; `None` if a key that this node
    /// does not know is always refused for good.
    pub accounts: Option<AccountSettings>,
    /// The limits on the memory of replicas' answers.
    pub answers: AnswerSettings,
}

/// The limits on the memory of replicas' answers. One that exceeds them is given up, and its replica
/// counts as faulty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerSettings {
    /// The maximum size of the body of one answer, in bytes.
    pub max_bytes: usize,
    /// The maximum size of the bodies of all answers that are being read or wait to be delivered, in
    /// bytes; at least `max_bytes`.
    pub max_in_flight_bytes: usize,
}

impl Default for AnswerSettings {
    fn default() -> Self {
        Self { max_bytes: DEFAULT_ANSWER_BYTES, max_in_flight_bytes: DEFAULT_IN_FLIGHT_BYTES }
    }
}

/// The maximum number of requests of a client account that all nodes together admit in a window:
/// the account's rate times the window, plus its burst, both increased by a fraction, plus a fixed
/// number.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The fraction of the limit that may be admitted in addition to it, 0 or more.
    pub excess: f64,
    /// The number of requests in each window that may be admitted in addition to that, 0 or more.
    pub slack: f64,
}

/// How a node chooses the requests that it starts when there is less room than requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionMode {
    /// Each request is decided on alone, and starts as soon as replicas can take it.
    #[default]
    Single,
    /// Requests queue by priority and by the shares of their client accounts, also for the node's
    /// processor time.
    FairShare,
}

/// The time in which added and removed keys of client accounts take effect, and what a node does
/// that cannot know of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSettings {
    /// The time within which an added or removed key takes effect at each node in touch, in
    /// milliseconds.
    pub revoke_ms: u64,
    /// Whether a node that is out of touch for longer refuses known keys too.
    #[serde(default)]
    pub revoke_strict: bool,
}

/// The maximum number of requests that a bad new version of a service's replicas gets from all
/// nodes together: a fraction of the requests plus a fixed number.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// The fraction of the requests for the service, 0 to 1.
    pub exposure_share: f64,
    /// The number of requests in addition to the fraction.
    pub exposure_slack: f64,
}

/// The maximum number of attempts (hedges and retries) that all nodes together make beyond the
/// first of each request: a fraction of the requests plus a fixed number.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// The fraction of the requests for a service, 0 or more.
    pub ratio: f64,
    /// The number of attempts in each window in addition to the fraction.
    pub fixed: f64,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
}

/// The maximum rate of requests that all nodes together send to a cold replica: its declared rate
/// times a factor, plus a fixed rate.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupSettings {
    /// The factor that the declared rate is multiplied by, 0 or more.
    pub factor: f64,
    /// The requests per second that are added to the product, 0 or more.
    pub slack: f64,
}

/// The settings as written in the file, before they are checked.
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
    store_recovery_ms: Option<Spanned<u64>>,
    #[serde(default)]
    seeds: Vec<Spanned<EcoString>>,
    cpu_share: Spanned<f64>,
    address_keep_ms: Spanned<u64>,
    grace_ms: Spanned<u64>,
    retry_budget: Spanned<RetryBudgetSettings>,
    warmup: Spanned<WarmupSettings>,
    rollouts: Option<Spanned<RolloutSettings>>,
    quota: Option<Spanned<QuotaSettings>>,
    accounts: Option<Spanned<AccountSettings>>,
    answers: Option<Spanned<AnswerSettings>>,
    #[serde(default)]
    admission: AdmissionMode,
}

impl GatewaySettings {
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
        let raw: GatewayFile = read_yaml(file, text, SETTINGS_HINT)?;
        let address = |field: &str, value: &Spanned<EcoString>| parse_address(file, field, value);
        let seeds: Result<Vec<SocketAddr>, Diagnostic> =
            raw.seeds.iter().map(|seed| address("seeds", seed)).collect();
        let optional_address = |field: &str, value: &Option<Spanned<EcoString>>| {
            value.as_ref().map(|value| address(field, value)).transpose()
        };
        Ok(Self {
            name: require_non_empty(file, "name", &raw.name)?,
            failure_domain: require_non_empty(file, "failure_domain", &raw.failure_domain)?,
            callers_listen: address("callers_listen", &raw.callers_listen)?,
            ready_listen: address("ready_listen", &raw.ready_listen)?,
            directory_listen: address("directory_listen", &raw.directory_listen)?,
            peer_listen: address("peer_listen", &raw.peer_listen)?,
            relay_listen: address("relay_listen", &raw.relay_listen)?,
            relay_advertise: optional_address("relay_advertise", &raw.relay_advertise)?,
            metrics_listen: optional_address("metrics_listen", &raw.metrics_listen)?,
            store: address("store", &raw.store)?,
            store_recovery_ms: check_store_recovery(file, raw.store_recovery_ms.as_ref())?,
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
            quota: raw.quota.as_ref().map(|value| check_quota(file, value)).transpose()?,
            admission: raw.admission,
            accounts: raw.accounts.as_ref().map(|value| check_accounts(file, value)).transpose()?,
            answers: raw.answers.as_ref().map_or_else(
                || Ok(AnswerSettings::default()),
                |value| check_answers(file, value),
            )?,
        })
    }
}

/// Returns the checked value of `store_recovery_ms`, or the default if it is not set.
fn check_store_recovery(file: &str, value: Option<&Spanned<u64>>) -> Result<u64, Diagnostic> {
    let Some(value) = value else { return Ok(DEFAULT_STORE_RECOVERY_MS) };
    let (min, max) = (MIN_STORE_RECOVERY_MS, MAX_STORE_RECOVERY_MS);
    require_in_range(file, "store_recovery_ms", value, min, max)
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
            "set the window to 1 ms or more",
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
        let message =
            format!("`rollouts.exposure_share` is {}, which is above 1", rollouts.exposure_share);
        return Err(Diagnostic::at_location(file, at, message, "use a fraction from 0 to 1"));
    }
    Ok(rollouts)
}

fn check_quota(file: &str, value: &Spanned<QuotaSettings>) -> Result<QuotaSettings, Diagnostic> {
    let quota = value.value;
    let at = value.referenced;
    require_non_negative(file, "quota.excess", at, quota.excess)?;
    require_non_negative(file, "quota.slack", at, quota.slack)?;
    if !(1..=MAX_QUOTA_WINDOW_MS).contains(&quota.window_ms) {
        let message = format!("`quota.window_ms` is {}, which is out of range", quota.window_ms);
        let hint = format!("use a value from 1 to {MAX_QUOTA_WINDOW_MS}");
        return Err(Diagnostic::at_location(file, at, message, hint));
    }
    Ok(quota)
}

fn check_accounts(
    file: &str,
    value: &Spanned<AccountSettings>,
) -> Result<AccountSettings, Diagnostic> {
    let accounts = value.value;
    if !(MIN_REVOKE_MS..=MAX_REVOKE_MS).contains(&accounts.revoke_ms) {
        let message =
            format!("`accounts.revoke_ms` is {}, which is out of range", accounts.revoke_ms);
        let hint = format!("use a value from {MIN_REVOKE_MS} to {MAX_REVOKE_MS}");
        return Err(Diagnostic::at_location(file, value.referenced, message, hint));
    }
    Ok(accounts)
}

fn check_answers(
    file: &str,
    value: &Spanned<AnswerSettings>,
) -> Result<AnswerSettings, Diagnostic> {
    let AnswerSettings { max_bytes, max_in_flight_bytes } = value.value;
    if max_bytes < MIN_ANSWER_BYTES {
        let message = format!("`answers.max_bytes` is {max_bytes}, which is out of range");
        let hint = format!("use {MIN_ANSWER_BYTES} bytes or more");
        return Err(Diagnostic::at_location(file, value.referenced, message, hint));
    }
    if max_in_flight_bytes < max_bytes {
        let message = format!(
            "`answers.max_in_flight_bytes` is {max_in_flight_bytes}, which is below \
             `answers.max_bytes`, {max_bytes}"
        );
        let hint = "raise it, so that at least one answer of the largest size has room";
        return Err(Diagnostic::at_location(file, value.referenced, message, hint));
    }
    Ok(value.value)
}
