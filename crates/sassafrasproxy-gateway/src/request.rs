//! Holds a caller's request and computes its deadlines.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Method, Uri};
use sassafrasproxy_core::{FingerprintedRequest, RequestFingerprints, SendResult, US_PER_MS};
use sassafrasproxy_platform::{CallerHead, is_forwarded, replace_credentials};
use sassafrasproxy_wire::{ClientAccount, Route};

use crate::rate_limits::RequestToken;

/// The divisor of the caller's waiting time that gives the answer reserve: the time reserved for the
/// answer to reach the caller.
const ANSWER_RESERVE_DIVISOR: u64 = 50;

/// The minimum answer reserve, in milliseconds.
const MIN_ANSWER_RESERVE_MS: u64 = 3;

/// The number of replicas that crash during one attempt of a query, without any answer, from which
/// the crashes count twice.
///
/// The loss of a failure domain ends many replicas of a query too, but others of it answer.
const MANY_CRASHES: usize = 3;

/// A complete request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id of the caller attempt.
    pub attempt_id: EcoString,
    /// The client account that the request belongs to.
    pub account: RequestAccount,
    /// The token that the request has taken; `None` if no rate limit applies to it here.
    pub token: Option<RequestToken>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query, unchanged.
    pub uri: Uri,
    /// The headers that are forwarded to replicas.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time at which the request arrived, in microseconds of this node's clock.
    pub arrived_us: u64,
    /// The time at which the caller stops waiting, in microseconds; `u64::MAX` if it gave no
    /// deadline.
    pub deadline_us: u64,
    /// The time from the caller's start of the request to its arrival, in microseconds.
    pub elapsed_before_arrival_us: u64,
    /// The hashes by which the quarantine knows the request.
    pub fingerprints: RequestFingerprints,
    /// What the sends of the request have shown so far.
    pub progress: Rc<RequestProgress>,
}

/// What the sends of a request have shown so far on this node.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// The quarantined fingerprint whose trial this is; such a request is sent once.
    trial_fingerprint: Cell<Option<u64>>,
    /// Whether the request has been passed on to a replica or a relay.
    is_sent: Cell<bool>,
    /// Whether a replica has run the request, or may have.
    may_have_run: Cell<bool>,
    /// Whether a replica has answered the request.
    is_answered: Cell<bool>,
    /// The number of replicas that crashed while they ran the request.
    crashes: Cell<usize>,
}

impl RequestProgress {
    /// Makes the request the trial of a quarantined fingerprint.
    pub fn begin_trial(&self, fingerprint: u64) {
        self.trial_fingerprint.set(Some(fingerprint));
    }

    /// Returns the quarantined fingerprint whose trial this is.
    pub fn trial_fingerprint(&self) -> Option<u64> {
        self.trial_fingerprint.get()
    }

    /// Returns whether this is the trial of a quarantined request.
    pub fn is_trial(&self) -> bool {
        self.trial_fingerprint.get().is_some()
    }

    /// Returns whether the request has been passed on to a replica or a relay.
    pub fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Records the result of a send.
    pub fn record_result(&self, result: SendResult) {
        match result {
            SendResult::Answered => {
                self.may_have_run.set(true);
                self.is_answered.set(true);
            }
            SendResult::MayHaveRun => self.may_have_run.set(true),
            SendResult::NotRun | SendResult::Unsent => {}
        }
    }

    /// Records the crash of a replica; returns whether it shows that the request crashes replicas,
    /// as several have crashed and none has answered.
    pub fn record_crash(&self) -> bool {
        self.crashes.set(self.crashes.get() + 1);
        self.crashes.get() == MANY_CRASHES && !self.is_answered.get()
    }

    /// Returns whether a replica has run the request, or may have.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }
}

/// When a request arrived.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The time at which the request arrived, in microseconds of this node's clock.
    pub arrived_us: u64,
    /// The time from the caller's start of the request to its arrival, in microseconds.
    pub elapsed_us: u64,
}

/// The client account that a request belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestAccount {
    /// No account was looked up, because the configuration has none or the ingress node has done
    /// it; the headers are forwarded unchanged.
    NotLookedUp,
    /// The route needs no key.
    Open,
    /// The account whose key the caller presented.
    Account(Arc<ClientAccount>),
}

impl RequestAccount {
    /// Returns the account, if the request belongs to one.
    pub fn account(&self) -> Option<&Arc<ClientAccount>> {
        match self {
            Self::Account(account) => Some(account),
            Self::NotLookedUp | Self::Open => None,
        }
    }
}

impl CallerRequest {
    /// Creates a request that has been read completely.
    pub fn new(
        head: CallerHead,
        account: RequestAccount,
        token: Option<RequestToken>,
        parts: http::request::Parts,
        body: Bytes,
        Arrival { arrived_us, elapsed_us }: Arrival,
        progress: Rc<RequestProgress>,
    ) -> Self {
        let account_name = account.account().map_or("", |account| account.name.as_str());
        let fingerprinted =
            fingerprinted_request(&head.host, &parts.method, &parts.uri, &body, account_name);
        let fingerprints = RequestFingerprints::new(&fingerprinted);
        let mut headers = parts.headers;
        let dropped: Vec<_> = headers.keys().filter(|name| !is_forwarded(name)).cloned().collect();
        for name in dropped {
            headers.remove(name);
        }
        match &account {
            RequestAccount::NotLookedUp => {}
            RequestAccount::Open => replace_credentials(&mut headers, None),
            RequestAccount::Account(account) => {
                replace_credentials(&mut headers, Some(&account.name));
            }
        }
        let deadline_us = match head.deadline_ms {
            Some(deadline_ms) => arrived_us + deadline_ms * US_PER_MS,
            None => u64::MAX,
        };
        Self {
            attempt_id: head.attempt_id,
            account,
            token,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            arrived_us,
            deadline_us,
            elapsed_before_arrival_us: elapsed_us,
            fingerprints,
            progress,
        }
    }

    /// Records that a replica may get the request from now on, so that its token is spent.
    pub fn mark_sent(&self) {
        self.progress.is_sent.set(true);
        if let Some(token) = &self.token {
            token.spend();
        }
    }

    /// Returns the priority of the request: that of its client account, if it has one, or else that of
    /// its route. 0 is the most urgent.
    pub fn priority(&self, route: &Route) -> u32 {
        self.account.account().and_then(|account| account.priority).unwrap_or(route.priority)
    }

    /// Returns the time at which the caller started the request, in microseconds.
    pub fn started_us(&self) -> u64 {
        self.arrived_us.saturating_sub(self.elapsed_before_arrival_us)
    }

    /// Returns the time at which the latency goal of the route ends, in microseconds.
    pub fn goal_deadline_us(&self, route: &Route) -> u64 {
        self.started_us().saturating_add(route.goal_ms * US_PER_MS)
    }

    /// Returns the time by which the final answer must be sent, in microseconds.
    ///
    /// This is the end of the route's timeout or the caller's deadline less the answer reserve,
    /// whichever is earlier.
    pub fn answer_deadline_us(&self, route: &Route) -> u64 {
        let timeout_us = self.arrived_us.saturating_add(route.timeout_ms * US_PER_MS);
        let wait_us = self.deadline_us.saturating_sub(self.arrived_us);
        let reserve_us = (wait_us / ANSWER_RESERVE_DIVISOR).max(MIN_ANSWER_RESERVE_MS * US_PER_MS);
        timeout_us.min(self.deadline_us.saturating_sub(reserve_us))
    }
}

/// Returns the parts of a request that its fingerprints are made of; `account` is empty if there is
/// none.
pub fn fingerprinted_request<'a>(
    host: &'a str,
    method: &'a Method,
    uri: &'a Uri,
    body: &'a [u8],
    account: &'a str,
) -> FingerprintedRequest<'a> {
    let query = uri.query().unwrap_or("");
    FingerprintedRequest { host, method: method.as_str(), path: uri.path(), query, body, account }
}
