//! The metrics of a gateway, served as text at the metrics address.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use sassafrasproxy_core::AccountUsage;
use sassafrasproxy_wire::RateLimit;

/// The upper bounds of the latency buckets, in seconds; they are closest around common latency
/// goals.
const LATENCY_BOUNDS_S: [f64; 11] = [0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.25, 0.4, 1.0, 2.0];

/// The labels of the answer counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AnswerLabels {
    /// The route's name.
    pub route: String,
    /// The HTTP status code.
    pub status: u16,
}

/// The label of a metric that is counted by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RouteLabel {
    /// The route's name.
    pub route: String,
}

/// The labels of the count of requests that the admission refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AdmissionLabels {
    /// The priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// The name of the refusal's cause.
    pub cause: &'static str,
}

/// The label of a metric that is counted by a reason or kind from a fixed set.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct KindLabel {
    /// The reason or kind.
    pub kind: &'static str,
}

/// The upper bounds of the buckets of timer lateness, in seconds.
const LATENESS_BOUNDS_S: [f64; 7] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5];

/// The label of a metric of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AccountLabel {
    /// The account's name; empty for the sum of the accounts without metrics of their own.
    pub account: String,
}

/// A gauge of fractional numbers.
type FractionGauge = Gauge<f64, AtomicU64>;

/// The metrics of the client accounts with a rate limit whose requests this node got lately.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    admitted: Family<AccountLabel, Gauge>,
    refused: Family<AccountLabel, Gauge>,
    tokens: Family<AccountLabel, FractionGauge>,
    rate_limit: Family<AccountLabel, FractionGauge>,
    burst: Family<AccountLabel, FractionGauge>,
}

/// All metrics of a process; docs/OPERATIONS.md lists them with their units.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Answers to callers, by route and status.
    pub answers: Family<AnswerLabels, Counter>,
    /// Seconds from a request's arrival to its answer, by route.
    pub latency: Family<RouteLabel, Histogram>,
    /// Requests that this node refused or stopped serving, by reason.
    pub refusals: Family<KindLabel, Counter>,
    /// Requests that the admission refused, by priority and cause.
    pub admission_refusals: Family<AdmissionLabels, Counter>,
    /// Requests that have been started and have not ended.
    pub requests_in_progress: Gauge,
    /// Requests that wait to be started.
    pub requests_waiting: Gauge,
    /// Seconds by which a timer of the traffic thread fired late.
    pub timer_lateness: Histogram,
    /// Sends to replicas, by cause.
    pub sends: Family<KindLabel, Counter>,
    /// Completed sends, by outcome.
    pub send_ends: Family<KindLabel, Counter>,
    /// Answers of replicas with an invalid work time, which was ignored.
    pub invalid_work_times: Counter,
    /// Answers of replicas that were given up because of their size, by the limit that they exceeded.
    pub answers_over_limit: Family<KindLabel, Counter>,
    /// The number of requests that this node knows to be quarantined.
    pub quarantined_requests: Gauge,
    /// Shards that are missing from gathered answers.
    pub missing_parts: Counter,
    /// Calls to the store, by operation.
    pub store_calls: Family<KindLabel, Counter>,
    /// Failed calls to the store, by operation.
    pub store_failures: Family<KindLabel, Counter>,
    /// Datagrams sent to peers, by kind.
    pub peer_datagrams: Family<KindLabel, Counter>,
    /// Bytes of datagrams sent to peers, by kind.
    pub peer_bytes: Family<KindLabel, Counter>,
    /// Answers to peers that sync registry entries, by whether they hold all entries or only
    /// changes.
    pub sync_answers: Family<KindLabel, Counter>,
    /// Bytes of the answers to peers that sync registry entries, by the same kinds.
    pub sync_answer_bytes: Family<KindLabel, Counter>,
    /// Decisions on requests by the rate limits of client accounts, by decision.
    pub rate_limit_decisions: Family<KindLabel, Counter>,
    /// Tokens of client accounts in datagrams, by whether this node asked for them, gave them or
    /// received them.
    pub tokens_exchanged: Family<KindLabel, Counter<f64, AtomicU64>>,
    /// The use and the limits of client accounts, by name.
    pub accounts: AccountMetrics,
    /// Rollout phase changes that this node decided on, by phase.
    pub rollout_steps: Family<KindLabel, Counter>,
    /// Sends that this node counted in trials, by version (on trial or in use) and outcome.
    pub trial_ends: Family<KindLabel, Gauge>,
    /// The version of the active configuration.
    pub configuration_version: Gauge,
    /// Seconds since the last successful call to the store.
    pub store_age: Gauge,
    /// Replicas that may get new work.
    pub open_replicas: Gauge,
    /// Members that are not dead.
    pub members: Gauge,
}

impl GatewayMetrics {
    /// Creates metrics with all values zero.
    pub fn new() -> Self {
        let histogram = || Histogram::new(LATENCY_BOUNDS_S);
        let mut metrics = Self {
            registry: Registry::with_prefix("sassafrasproxy"),
            answers: Family::default(),
            latency: Family::new_with_constructor(histogram as fn() -> Histogram),
            refusals: Family::default(),
            admission_refusals: Family::default(),
            requests_in_progress: Gauge::default(),
            requests_waiting: Gauge::default(),
            timer_lateness: Histogram::new(LATENESS_BOUNDS_S),
            sends: Family::default(),
            send_ends: Family::default(),
            invalid_work_times: Counter::default(),
            answers_over_limit: Family::default(),
            quarantined_requests: Gauge::default(),
            missing_parts: Counter::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            peer_datagrams: Family::default(),
            peer_bytes: Family::default(),
            sync_answers: Family::default(),
            sync_answer_bytes: Family::default(),
            rate_limit_decisions: Family::default(),
            tokens_exchanged: Family::default(),
            accounts: AccountMetrics::default(),
            rollout_steps: Family::default(),
            trial_ends: Family::default(),
            configuration_version: Gauge::default(),
            store_age: Gauge::default(),
            open_replicas: Gauge::default(),
            members: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Encodes all metrics as text; returns an error if the encoder fails.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register_with_unit(
            "latency",
            "From a request's arrival to its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("refusals", "Requests not served", self.refusals.clone());
        registry.register(
            "admission_refusals",
            "Requests refused by the admission",
            self.admission_refusals.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Started requests",
            self.requests_in_progress.clone(),
        );
        registry.register("requests_waiting", "Waiting requests", self.requests_waiting.clone());
        registry.register_with_unit(
            "timer_lateness",
            "How late a timer of the traffic thread fired",
            Unit::Seconds,
            self.timer_lateness.clone(),
        );
        registry.register("sends", "Sends to replicas by cause", self.sends.clone());
        registry.register("send_ends", "Ends of sends by outcome", self.send_ends.clone());
        registry.register(
            "invalid_work_times",
            "Ignored work times of replicas",
            self.invalid_work_times.clone(),
        );
        registry.register(
            "answers_over_limit",
            "Answers given up for their size",
            self.answers_over_limit.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests refused as they crash replicas",
            self.quarantined_requests.clone(),
        );
        registry.register("missing_parts", "Shards left out", self.missing_parts.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("store_failures", "Failed calls", self.store_failures.clone());
        registry.register("peer_datagrams", "Datagrams to peers", self.peer_datagrams.clone());
        registry.register("peer_bytes", "Bytes of these", self.peer_bytes.clone());
        registry.register("facts_told", "Answers with facts to peers", self.sync_answers.clone());
        registry.register("facts_bytes", "Bytes of these", self.sync_answer_bytes.clone());
        registry.register(
            "rate_limit_decisions",
            "Decisions by the rate limits of accounts",
            self.rate_limit_decisions.clone(),
        );
        registry.register("tokens", "Tokens in datagrams", self.tokens_exchanged.clone());
        self.accounts.register(registry);
        registry.register("rollout_steps", "Steps of roll-outs", self.rollout_steps.clone());
        registry.register("trial_ends", "Ends in trials of versions", self.trial_ends.clone());
        registry.register(
            "configuration_version",
            "The version in force",
            self.configuration_version.clone(),
        );
        registry.register_with_unit(
            "store_age",
            "Since the store was last heard",
            Unit::Seconds,
            self.store_age.clone(),
        );
        registry.register("open_replicas", "Replicas for new work", self.open_replicas.clone());
        registry.register("members", "Nodes that are not dead", self.members.clone());
    }
}

impl AccountMetrics {
    /// Removes all accounts.
    pub fn clear(&self) {
        self.admitted.clear();
        self.refused.clear();
        self.tokens.clear();
        self.rate_limit.clear();
        self.burst.clear();
    }

    /// Sets what this node has admitted and refused of an account, and the tokens that it holds.
    pub fn set_usage(&self, label: &AccountLabel, usage: &AccountUsage) {
        self.admitted.get_or_create(label).set(usage.admitted as i64);
        self.refused.get_or_create(label).set(usage.refused as i64);
        self.tokens.get_or_create(label).set(usage.tokens);
    }

    /// Sets the limit of an account over all nodes.
    pub fn set_limit(&self, label: &AccountLabel, limit: RateLimit) {
        self.rate_limit.get_or_create(label).set(limit.rate_per_s);
        self.burst.get_or_create(label).set(limit.burst);
    }

    fn register(&self, registry: &mut Registry) {
        let since = "of an account since it was last idle";
        registry.register("account_admitted", format!("Admitted {since}"), self.admitted.clone());
        registry.register("account_refused", format!("Refused {since}"), self.refused.clone());
        registry.register("account_tokens", "Tokens held of an account", self.tokens.clone());
        let rate = "Requests per second of an account, over all nodes";
        registry.register("account_rate_limit", rate, self.rate_limit.clone());
        let burst = "Requests at once of an account, over all nodes";
        registry.register("account_burst", burst, self.burst.clone());
    }
}

impl AccountLabel {
    /// Creates a label from an account's name.
    pub fn new(account: &str) -> Self {
        // The metrics library writes labels as they are.
        Self { account: account.replace('\\', "\\\\").replace('"', "\\\"") }
    }
}

impl KindLabel {
    /// Creates a label from a kind.
    pub fn new(kind: &'static str) -> Self {
        Self { kind }
    }
}
