//! Enforces the rate limits of client accounts: exchanges tokens with peers, lets requests wait for
//! them, and logs and measures the use of accounts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::QuotaSettings;
use sassafrasproxy_core::{
    AccountTable, AccountUsage, DirectoryNode, OutgoingTokens, RateDecision, RateLimitPolicy,
    RateLimiter, TokenPeers, US_PER_MS, hash_name, ingress_nodes,
};
use sassafrasproxy_wire::{ClientAccount, MemberState, RateLimit, TokenCount, TokenDatagram};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::metrics::{AccountLabel, GatewayMetrics, KindLabel};
use crate::request::RequestAccount;

/// The format version in the first byte of each datagram.
///
/// Incremented with each change that older nodes cannot decode.
const FORMAT: u8 = 1;

/// The maximum size of a datagram, in bytes.
///
/// With its headers, a datagram of this size fits the usual MTU of 1,500 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The minimum time between two log lines about the refusals of one account, in microseconds.
const REFUSAL_LOG_INTERVAL_US: u64 = 1_000_000;

/// The number of accounts with metrics of their own; the rest are summed.
const MAX_LABELLED_ACCOUNTS: usize = 16;

/// The label of the metrics that sum the accounts without metrics of their own; no account can have
/// an empty name.
const OTHER_ACCOUNTS: &str = "";

/// The rate limits of client accounts at this node.
#[derive(Debug)]
pub struct RateLimits {
    clock: Clock,
    limiter: RefCell<RateLimiter>,
    /// The accounts for whose tokens requests wait, by the hash of the account's name.
    waiting: RefCell<IndexMap<u64, Rc<Notify>>>,
    refusal_log: RefCell<RefusalLog>,
    /// Notified when the next tick or log line may be due earlier than before.
    schedule_changed: Notify,
    /// The addresses from which token datagrams are accepted.
    members: RefCell<IndexSet<SocketAddr>>,
    metrics: Arc<GatewayMetrics>,
}

/// The circumstances in which a request asks for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenTurn {
    /// It has just arrived.
    First,
    /// It has waited for a token.
    Waited,
    /// Its latency goal has passed.
    Late,
}

/// The decision on a request by the rate limit of its account.
pub enum RateAdmission {
    /// The request is admitted; it holds a token if its account has a rate limit.
    Admitted(Option<RequestToken>),
    /// Other nodes were asked for tokens: wait for them, then decide again.
    Wait(TokenWait),
    /// The account is over its limit.
    Refused {
        /// The time after which a token is likely, in milliseconds.
        retry_after_ms: u64,
    },
}

impl RateLimits {
    /// Creates the limits of a node that starts now.
    pub fn new(clock: Clock, quota: &QuotaSettings, metrics: Arc<GatewayMetrics>) -> Self {
        let limiter = RateLimiter::new(rate_limit_policy(quota), rand::random(), clock.now_us());
        Self {
            clock,
            limiter: RefCell::new(limiter),
            waiting: RefCell::default(),
            refusal_log: RefCell::default(),
            schedule_changed: Notify::new(),
            members: RefCell::default(),
            metrics,
        }
    }

    /// Replaces the bound on the requests of an account.
    pub fn set_quota(&self, quota: &QuotaSettings) {
        let policy = rate_limit_policy(quota);
        self.limiter.borrow_mut().set_policy(self.clock.now_us(), policy);
        self.schedule_changed.notify_one();
    }

    /// Replaces the nodes that share the tokens; `own_callers_address` identifies this node.
    pub fn set_nodes(&self, nodes: &[DirectoryNode], own_callers_address: &str) {
        // The first view of a process may be empty, which does not mean that there are no peers.
        if nodes.is_empty() {
            return;
        }
        let now_us = self.clock.now_us();
        let mut limiter = self.limiter.borrow_mut();
        limiter.set_peers(now_us, token_peers(nodes, own_callers_address));
        limiter.retire_peers(now_us, retired_peers(nodes));
        drop(limiter);
        let addresses = nodes.iter().filter_map(|node| node.relay_address.parse().ok());
        self.members.replace(addresses.collect());
        self.schedule_changed.notify_one();
    }

    /// Decides whether a request is admitted.
    pub fn admit(
        self: &Rc<Self>,
        request: &EcoString,
        account: &ClientAccount,
        turn: TokenTurn,
    ) -> RateAdmission {
        let Some(limit) = account.rate_limit else { return RateAdmission::Admitted(None) };
        let now_us = self.clock.now_us();
        let mut limiter = self.limiter.borrow_mut();
        let decision = match turn {
            TokenTurn::First => limiter.admit(now_us, &account.name, limit, false),
            TokenTurn::Waited => limiter.admit(now_us, &account.name, limit, true),
            TokenTurn::Late => limiter.admit_late(now_us, &account.name, limit),
        };
        drop(limiter);
        match decision {
            RateDecision::Admit => {
                self.count_decision("admitted");
                RateAdmission::Admitted(Some(RequestToken::new(self.clone(), &account.name)))
            }
            RateDecision::Wait { until_us } => {
                if turn == TokenTurn::First {
                    self.count_decision("waited");
                }
                self.schedule_changed.notify_one();
                RateAdmission::Wait(TokenWait::new(self.clone(), &account.name, until_us))
            }
            RateDecision::Refuse { retry_after_ms } => {
                self.count_decision("refused");
                self.log_refusal(request, account, limit, retry_after_ms);
                RateAdmission::Refused { retry_after_ms }
            }
        }
    }

    /// Exchanges tokens with peers for as long as the process runs.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        // One extra byte, so that a datagram over the limit is not cut to a valid length.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let now_us = self.clock.now_us();
            let next_tick_us = self.limiter.borrow().next_tick_us();
            if next_tick_us.is_some_and(|at_us| at_us <= now_us) {
                let sends = self.limiter.borrow_mut().tick(now_us);
                for send in sends {
                    self.send(&socket, &send).await;
                }
            }
            self.refusal_log.borrow_mut().log_due(now_us);
            let next_tick_us = self.limiter.borrow().next_tick_us();
            let next_log_us = self.refusal_log.borrow().next_due_us();
            let wake_us = next_tick_us.into_iter().chain(next_log_us).min();
            // At least the timer's resolution, so that a time that has passed does not keep the
            // thread busy.
            let wait_us = wake_us.map_or(0, |at_us| at_us.saturating_sub(now_us).max(US_PER_MS));
            tokio::select! {
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let answer = self.receive(&buffer[..length], from);
                        if let Some(answer) = answer {
                            self.send(&socket, &answer).await;
                        }
                    }
                    // An earlier datagram reached no process; the tokens in it are lost.
                    Err(error) => log::debug!(error:%; "receiving a token datagram failed"),
                },
                () = self.schedule_changed.notified() => {}
                () = sleep(Duration::from_micros(wait_us)), if wake_us.is_some() => {}
            }
        }
    }

    /// Sets the metrics of the accounts whose requests this node got lately.
    pub fn update_metrics(&self, accounts: Option<&AccountTable>) {
        let usage = self.limiter.borrow().usage(self.clock.now_us());
        let metrics = &self.metrics.accounts;
        metrics.clear();
        let (busiest, rest) = usage.split_at(usage.len().min(MAX_LABELLED_ACCOUNTS));
        for account in busiest {
            metrics.set_usage(&AccountLabel::new(&account.account), account);
            let limit =
                accounts.and_then(|accounts| accounts.account(&account.account)?.rate_limit);
            if let Some(limit) = limit {
                metrics.set_limit(&AccountLabel::new(&account.account), limit);
            }
        }
        if !rest.is_empty() {
            let sum = AccountUsage {
                account: OTHER_ACCOUNTS.into(),
                tokens: rest.iter().map(|account| account.tokens).sum(),
                admitted: rest.iter().map(|account| account.admitted).sum(),
                refused: rest.iter().map(|account| account.refused).sum(),
            };
            metrics.set_usage(&AccountLabel::new(OTHER_ACCOUNTS), &sum);
        }
    }

    /// Applies a datagram and returns the answer to it, if any.
    fn receive(&self, bytes: &[u8], from: SocketAddr) -> Option<OutgoingTokens> {
        let datagram = match decode_datagram(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!(from:%, error:%; "ignored a token datagram that cannot be decoded");
                return None;
            }
        };
        if !self.members.borrow().contains(&from) {
            log::debug!(from:%; "ignored a token datagram of a node that is no member");
            return None;
        }
        let now_us = self.clock.now_us();
        let from = eco_format!("{from}");
        let answer = self.limiter.borrow_mut().receive(now_us, &from, &datagram);
        if let TokenDatagram::Grant { given, .. } = &datagram {
            self.count_tokens("received", given.iter().map(|count| count.tokens));
            self.wake_waiting(given);
        }
        answer
    }

    /// Wakes the requests that wait for tokens that have arrived.
    fn wake_waiting(&self, given: &[TokenCount]) {
        let waiting = self.waiting.borrow();
        let granted = given.iter().filter(|count| count.tokens > 0.0);
        for account in granted.filter_map(|count| waiting.get(&count.account_hash)) {
            account.notify_waiters();
        }
    }

    /// Sends a datagram; a failure is logged only, as a lost datagram costs tokens and adds none.
    async fn send(&self, socket: &UdpSocket, send: &OutgoingTokens) {
        let bytes = match encode_datagram(&send.datagram) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!(error:%; "a token datagram is not sent"),
        };
        let address: SocketAddr = match send.address.parse() {
            Ok(address) => address,
            Err(error) => {
                return log::warn!(
                    peer:% = send.address, error:%;
                    "cannot parse a peer's address; the token datagram is not sent"
                );
            }
        };
        let kind = match &send.datagram {
            TokenDatagram::Ask { wanted, .. } => {
                self.count_tokens("asked", wanted.iter().map(|demand| demand.tokens));
                KindLabel::new("token_ask")
            }
            TokenDatagram::Grant { given, .. } => {
                self.count_tokens("given", given.iter().map(|count| count.tokens));
                KindLabel::new("token_grant")
            }
        };
        self.metrics.peer_datagrams.get_or_create(&kind).inc();
        self.metrics.peer_bytes.get_or_create(&kind).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = send.address, error:%; "sending a token datagram failed");
        }
    }

    fn log_refusal(
        &self,
        request: &EcoString,
        account: &ClientAccount,
        limit: RateLimit,
        retry_after_ms: u64,
    ) {
        log::debug!(
            request:%, account:% = account.name, retry_after_ms;
            "refused a request over the rate limit of its account"
        );
        let refusal = LastRefusal { request: request.clone(), limit, retry_after_ms };
        let now_us = self.clock.now_us();
        if self.refusal_log.borrow_mut().record(now_us, &account.name, refusal) {
            // The account's next line may be due before the time until which `run` sleeps.
            self.schedule_changed.notify_one();
        }
    }

    fn count_decision(&self, kind: &'static str) {
        self.metrics.rate_limit_decisions.get_or_create(&KindLabel::new(kind)).inc();
    }

    fn count_tokens(&self, kind: &'static str, tokens: impl Iterator<Item = f64>) {
        // A counter must not fall, and a malformed datagram may contain any number.
        let tokens = tokens.filter(|tokens| tokens.is_finite() && *tokens > 0.0).sum();
        self.metrics.tokens_exchanged.get_or_create(&KindLabel::new(kind)).inc_by(tokens);
    }
}

/// Decides on a request by the rate limit of its account, if it has one and limits are enforced.
pub fn admit(
    limits: Option<&Rc<RateLimits>>,
    request: &EcoString,
    account: &RequestAccount,
    turn: TokenTurn,
) -> RateAdmission {
    match limits.zip(account.account()) {
        Some((limits, account)) => limits.admit(request, account, turn),
        None => RateAdmission::Admitted(None),
    }
}

/// The token of an admitted request; given back when the request ends before any replica was asked.
#[derive(Debug)]
pub struct RequestToken {
    limits: Rc<RateLimits>,
    account: EcoString,
    is_spent: Cell<bool>,
}

impl RequestToken {
    fn new(limits: Rc<RateLimits>, account: &EcoString) -> Self {
        Self { limits, account: account.clone(), is_spent: Cell::new(false) }
    }

    /// Keeps the token from being given back; called before a replica is asked.
    pub fn spend(&self) {
        self.is_spent.set(true);
    }
}

impl Drop for RequestToken {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            let now_us = self.limits.clock.now_us();
            self.limits.count_decision("given_back");
            self.limits.limiter.borrow_mut().give_back(now_us, &self.account);
        }
    }
}

/// A wait for tokens that other nodes were asked for.
#[derive(Debug)]
pub struct TokenWait {
    limits: Rc<RateLimits>,
    account_hash: u64,
    arrived: Rc<Notify>,
    until_us: u64,
}

impl TokenWait {
    fn new(limits: Rc<RateLimits>, account: &EcoString, until_us: u64) -> Self {
        let account_hash = hash_name(account);
        let arrived = limits.waiting.borrow_mut().entry(account_hash).or_default().clone();
        Self { limits, account_hash, arrived, until_us }
    }

    /// Waits until tokens of the account arrive or the time is over.
    pub async fn finish(self) {
        let wait_us = self.until_us.saturating_sub(self.limits.clock.now_us());
        let _ = timeout(Duration::from_micros(wait_us), self.arrived.notified()).await;
    }
}

impl Drop for TokenWait {
    fn drop(&mut self) {
        // The map and this wait hold the last two references: no other request waits.
        if Rc::strong_count(&self.arrived) <= 2 {
            self.limits.waiting.borrow_mut().swap_remove(&self.account_hash);
        }
    }
}

/// The refusals of accounts that are still to be logged; accounts without a refusal in the last
/// [`REFUSAL_LOG_INTERVAL_US`] are forgotten.
#[derive(Debug, Default)]
struct RefusalLog {
    accounts: IndexMap<EcoString, RefusedAccount>,
}

#[derive(Debug)]
struct RefusedAccount {
    /// The time of the account's last log line, in microseconds.
    logged_us: u64,
    /// The refusals since that line.
    count: u64,
    last: LastRefusal,
}

/// The latest refusal of an account.
#[derive(Debug)]
struct LastRefusal {
    request: EcoString,
    limit: RateLimit,
    retry_after_ms: u64,
}

impl RefusalLog {
    /// Records a refusal; returns whether it is the first of its account, which is logged at once.
    fn record(&mut self, now_us: u64, account: &EcoString, refusal: LastRefusal) -> bool {
        if let Some(refused) = self.accounts.get_mut(account) {
            refused.count += 1;
            refused.last = refusal;
            return false;
        }
        let refused = RefusedAccount { logged_us: now_us, count: 1, last: refusal };
        refused.log(account);
        self.accounts.insert(account.clone(), RefusedAccount { count: 0, ..refused });
        true
    }

    /// Logs the accounts whose line is due, and forgets those that were not refused since the last.
    fn log_due(&mut self, now_us: u64) {
        self.accounts.retain(|account, refused| {
            if now_us < refused.logged_us + REFUSAL_LOG_INTERVAL_US {
                return true;
            }
            if refused.count == 0 {
                return false;
            }
            refused.log(account);
            (refused.logged_us, refused.count) = (now_us, 0);
            true
        });
    }

    /// Returns the time at which [`Self::log_due`] has something to do, in microseconds.
    fn next_due_us(&self) -> Option<u64> {
        let times = self.accounts.values();
        times.map(|refused| refused.logged_us + REFUSAL_LOG_INTERVAL_US).min()
    }
}

impl RefusedAccount {
    fn log(&self, account: &EcoString) {
        let LastRefusal { request, limit, retry_after_ms } = &self.last;
        let RateLimit { rate_per_s, burst } = limit;
        log::info!(
            account:%, count = self.count, request:%, rate_per_s, burst, retry_after_ms;
            "refused requests over the rate limit of their account"
        );
    }
}

/// An error from encoding or decoding a datagram.
#[derive(Debug, Error)]
enum TokenDatagramError {
    /// The datagram has no bytes.
    #[error("the datagram is empty; check that no other program sends to the relay port")]
    Empty,
    /// The datagram comes from another version of this program, or from another program.
    #[error(
        "the datagram has format {format}, but this node reads format {FORMAT}; \
         check that all nodes run the same version"
    )]
    UnsupportedFormat {
        /// The format in the first byte.
        format: u8,
    },
    /// The datagram is longer than allowed.
    #[error("the datagram is longer than {MAX_DATAGRAM_BYTES} bytes; report this as a bug")]
    TooLong,
    /// The datagram cannot be encoded or decoded.
    #[error("the datagram is malformed: {0}; its tokens are lost")]
    Malformed(#[from] postcard::Error),
}

fn encode_datagram(datagram: &TokenDatagram) -> Result<Vec<u8>, TokenDatagramError> {
    let bytes = postcard::to_extend(datagram, vec![FORMAT])?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(TokenDatagramError::TooLong);
    }
    Ok(bytes)
}

fn decode_datagram(bytes: &[u8]) -> Result<TokenDatagram, TokenDatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(TokenDatagramError::TooLong);
    }
    match bytes.split_first() {
        Some((&FORMAT, body)) => Ok(postcard::from_bytes(body)?),
        Some((&format, _)) => Err(TokenDatagramError::UnsupportedFormat { format }),
        None => Err(TokenDatagramError::Empty),
    }
}

/// Returns the ingress nodes that share the tokens.
fn token_peers(nodes: &[DirectoryNode], own_callers_address: &str) -> TokenPeers {
    let (own, others): (Vec<&DirectoryNode>, Vec<&DirectoryNode>) =
        ingress_nodes(nodes).into_iter().partition(|node| node.address == own_callers_address);
    let others = others.into_iter().filter(|node| node.state == MemberState::Alive);
    let addresses = others.map(|node| node.relay_address.clone());
    TokenPeers {
        peers: addresses.filter(|address| !address.is_empty()).collect(),
        own: own.first().map(|node| node.relay_address.clone()),
    }
}

/// Returns the relay addresses of the alive nodes that are not ingress nodes.
fn retired_peers(nodes: &[DirectoryNode]) -> Vec<EcoString> {
    let alive = nodes.iter().filter(|node| node.state == MemberState::Alive);
    alive.filter(|node| !node.is_ingress).map(|node| node.relay_address.clone()).collect()
}

fn rate_limit_policy(quota: &QuotaSettings) -> RateLimitPolicy {
    RateLimitPolicy {
        window_us: quota.window_ms * US_PER_MS,
        excess: quota.excess,
        slack: quota.slack,
    }
}
