//! Serves the requests of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use sassafrasproxy_core::{
    Authentication, CallerDeadline, Catalogue, KeyLookup, KeyVerdict, US_PER_MS, retry_delay_ms,
};
use sassafrasproxy_platform::{CallerHead, Credentials, decode_caller_head};
use sassafrasproxy_wire::{Route, RouteTarget};

use crate::answer::{Answer, Refusal, refusal_answer};
use crate::confirmation::key_freshness;
use crate::listener::FirstRequest;
use crate::metrics::{AnswerLabels, RouteLabel};
use crate::quarantine::QuarantineAdmission;
use crate::rate_limits::{RateAdmission, RequestToken, TokenTurn, admit};
use crate::request::{Arrival, CallerRequest, RequestAccount, RequestProgress};
use crate::shutdown::ActiveRequestGuard;
use crate::traffic::TrafficState;
use crate::{gather, single_replica};

/// The retry delay for callers of a node that has no configuration yet, in milliseconds.
///
/// One read of the store usually takes far less; on a slow VM, or when the store has just become
/// available again, it takes about this long.
const NO_CONFIGURATION_RETRY_MS: u64 = 200;

/// Serves one request of a caller; every failure becomes an answer.
pub async fn serve(
    traffic: Rc<TrafficState>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let _active = ActiveRequestGuard::new(traffic.clone());
    let progress = Rc::new(RequestProgress::default());
    let answered = tokio::select! {
        answered = answer(&traffic, request, progress.clone()) => answered,
        // Dropping the request has stopped its sends.
        () = traffic.shutdown.wait_until_given_up() => Err(give_up(&progress)),
    };
    let mut answer = match answered {
        Ok(answer) => answer,
        Err(refusal) => {
            let retry_after_ms = match refusal {
                Refusal::NoConfiguration => {
                    traffic.configuration_needed.send_replace(true);
                    Some(NO_CONFIGURATION_RETRY_MS)
                }
                Refusal::Leaving => Some(traffic.leaving_retry_delay_ms()),
                // A retry would not help, or the delay is already in the answer.
                Refusal::BadRequest
                | Refusal::NoRoute
                | Refusal::UnknownKey
                | Refusal::OverRateLimit
                | Refusal::Quarantined
                | Refusal::KeyMaybeNew
                | Refusal::KeyMaybeRemoved
                | Refusal::TooLarge
                | Refusal::NotRun
                | Refusal::TimedOut
                | Refusal::Lost => None,
            };
            refusal_answer(&traffic.metrics, refusal, retry_after_ms)
        }
    };
    if traffic.shutdown.is_leaving() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Returns the final answer to a request that has not ended within the grace time of this node.
fn give_up(progress: &RequestProgress) -> Refusal {
    if progress.is_sent() { Refusal::Lost } else { Refusal::Leaving }
}

async fn answer(
    traffic: &Rc<TrafficState>,
    request: Request<Incoming>,
    progress: Rc<RequestProgress>,
) -> Result<Answer, Refusal> {
    let arrived_us = traffic.clock.now_us();
    let catalogue = traffic.catalogue();
    if catalogue.version == 0 {
        return Err(Refusal::NoConfiguration);
    }
    let (parts, body) = request.into_parts();
    let head = decode_caller_head(&parts.headers).map_err(|error| {
        log::info!(error:%; "refused a request with malformed headers");
        Refusal::BadRequest
    })?;
    let body = read_body(&catalogue, body).await?;
    let caller = match admit_caller(traffic, &head, &parts).await {
        Ok(caller) => caller,
        Err(refusal) => return Ok(refusal),
    };
    let AdmittedCaller { version, route, account, token, elapsed_us } = caller;
    let arrival = Arrival { arrived_us, elapsed_us };
    let request = CallerRequest::new(head, account, token, parts, body, arrival, progress);
    let request = Rc::new(request);
    if !traffic.can_answer_before_leaving(&request, &route) {
        log::info!(
            request:% = request.attempt_id, route:% = route.name;
            "refused a request that may not end before this node does"
        );
        return Err(Refusal::Leaving);
    }
    match traffic.quarantine.admit(&request).await {
        QuarantineAdmission::Admitted => {}
        QuarantineAdmission::Trial { fingerprint } => request.progress.begin_trial(fingerprint),
        QuarantineAdmission::Refused { retry_after_ms } => {
            let refusal = Refusal::Quarantined;
            return Ok(refusal_answer(&traffic.metrics, refusal, Some(retry_after_ms)));
        }
    }
    let answer = serve_route(traffic, &request, &route).await;
    if let Some(fingerprint) = request.progress.trial_fingerprint() {
        traffic.quarantine.finish_trial(&request, fingerprint);
    }
    let answer = answer?;
    record_answer(traffic, &request, &route, version, &answer);
    Ok(answer)
}

/// A request whose route and client account are known and allow it.
struct AdmittedCaller {
    /// The version of the configuration by which the request was admitted.
    version: u64,
    route: Arc<Route>,
    account: RequestAccount,
    token: Option<RequestToken>,
    /// The time from the caller's start of the request to its arrival, in microseconds.
    elapsed_us: u64,
}

/// Finds the route and the client account of a request and takes a token of the account.
///
/// Returns the final answer as the error if the request is refused. Nothing was sent then.
async fn admit_caller(
    traffic: &Rc<TrafficState>,
    head: &CallerHead,
    parts: &http::request::Parts,
) -> Result<AdmittedCaller, Answer> {
    let refuse =
        |refusal, retry_after_ms| refusal_answer(&traffic.metrics, refusal, retry_after_ms);
    let mut turn = TokenTurn::First;
    let mut elapsed_us = None;
    loop {
        // The configuration may have changed while the body was read or the request waited.
        let catalogue = traffic.catalogue();
        let route = find_route(&catalogue, head, parts.uri.path())
            .map_err(|refusal| refuse(refusal, None))?;
        let account = authenticate(traffic, &catalogue, &route, head)
            .map_err(|refusal| refuse(refusal, key_retry_delay_ms(refusal, head)))?;
        let elapsed_us = *elapsed_us.get_or_insert_with(|| {
            let is_first = parts.extensions.get::<FirstRequest>().is_some();
            elapsed_before_arrival_us(traffic, &route, head, is_first)
        });
        if turn == TokenTurn::First && elapsed_us >= route.goal_ms * US_PER_MS {
            turn = TokenTurn::Late;
        }
        match admit(traffic.rate_limits.as_ref(), &head.attempt_id, &account, turn) {
            RateAdmission::Admitted(token) => {
                let version = catalogue.version;
                return Ok(AdmittedCaller { version, route, account, token, elapsed_us });
            }
            RateAdmission::Wait(wait) => wait.finish().await,
            RateAdmission::Refused { retry_after_ms } => {
                return Err(refuse(Refusal::OverRateLimit, Some(retry_after_ms)));
            }
        }
        turn = TokenTurn::Waited;
    }
}

/// Returns the retry delay after a refusal for a key, in milliseconds; `None` if a retry would not
/// help.
fn key_retry_delay_ms(refusal: Refusal, head: &CallerHead) -> Option<u64> {
    let may_pass = matches!(refusal, Refusal::KeyMaybeNew | Refusal::KeyMaybeRemoved);
    may_pass.then(|| retry_delay_ms(None, 0, &head.attempt_id))
}

/// Returns how long before the request's arrival its caller started it, in microseconds.
fn elapsed_before_arrival_us(
    traffic: &TrafficState,
    route: &Route,
    head: &CallerHead,
    is_first_on_connection: bool,
) -> u64 {
    let Some(deadline_ms) = head.deadline_ms else { return 0 };
    let deadline =
        CallerDeadline { deadline_ms, timeout_ms: route.timeout_ms, is_first_on_connection };
    traffic.caller_delays.borrow_mut().record_request(&route.name, deadline)
}

/// Returns the route of a request.
fn find_route(catalogue: &Catalogue, head: &CallerHead, path: &str) -> Result<Arc<Route>, Refusal> {
    catalogue.routes.find_route(&head.host, path).cloned().ok_or_else(|| {
        let (request, host) = (&head.attempt_id, &head.host);
        log::info!(
            request:%, host:%, path, version = catalogue.version;
            "refused a request that no route matches"
        );
        Refusal::NoRoute
    })
}

/// Returns the client account of a request; [`RequestAccount::NotLookedUp`] where the configuration
/// has none.
fn authenticate(
    traffic: &TrafficState,
    catalogue: &Catalogue,
    route: &Route,
    head: &CallerHead,
) -> Result<RequestAccount, Refusal> {
    let Some(accounts) = &catalogue.accounts else { return Ok(RequestAccount::NotLookedUp) };
    let account = match accounts.authenticate(route, head.credentials.key()) {
        Authentication::Open => return Ok(RequestAccount::Open),
        Authentication::Account(account) => Some(account),
        Authentication::UnknownKey => None,
    };
    let lookup = if account.is_some() { KeyLookup::Known } else { KeyLookup::Unknown };
    let unconfirmed_us = traffic.confirmation.age_us(traffic.clock.now_us());
    let refusal = match (key_verdict(traffic, lookup, unconfirmed_us), account) {
        (KeyVerdict::Serve, Some(account)) => return Ok(RequestAccount::Account(account)),
        (KeyVerdict::RetryIfKept, _) => Refusal::KeyMaybeRemoved,
        (KeyVerdict::RetryIfNew, _) => Refusal::KeyMaybeNew,
        (KeyVerdict::Refuse | KeyVerdict::Serve, _) => Refusal::UnknownKey,
    };
    let (request, route) = (&head.attempt_id, &route.name);
    let is_malformed = head.credentials == Credentials::Malformed;
    let unconfirmed_ms = unconfirmed_us.map(|unconfirmed_us| unconfirmed_us / US_PER_MS);
    log::info!(
        request:%, route:%, reason = refusal.reason(), is_malformed, version = catalogue.version,
        unconfirmed_ms;
        "refused a request for its key"
    );
    Err(refusal)
}

/// Decides on a request by its key; without settings for accounts, no node counts as out of touch.
fn key_verdict(
    traffic: &TrafficState,
    lookup: KeyLookup,
    unconfirmed_us: Option<u64>,
) -> KeyVerdict {
    match (key_freshness(&traffic.settings()), lookup) {
        (Some(freshness), lookup) => freshness.decide(lookup, unconfirmed_us),
        (None, KeyLookup::Known) => KeyVerdict::Serve,
        (None, KeyLookup::Unknown) => KeyVerdict::Refuse,
    }
}

async fn serve_route(
    traffic: &Rc<TrafficState>,
    request: &Rc<CallerRequest>,
    route: &Route,
) -> Result<Answer, Refusal> {
    let request = request.clone();
    Ok(match &route.target {
        RouteTarget::Service(service) => {
            single_replica::serve(traffic, request, route, service.clone()).await
        }
        RouteTarget::Split(parts) => {
            let service =
                traffic.choose_split_service(&route.name, parts).ok_or(Refusal::NotRun)?;
            single_replica::serve(traffic, request, route, service).await
        }
        RouteTarget::Gather(target) => gather::serve(traffic, request, route, target).await,
    })
}

/// Counts an answer and logs it.
///
/// This is the only log line of a request that is answered without incident.
fn record_answer(
    traffic: &TrafficState,
    request: &CallerRequest,
    route: &Route,
    version: u64,
    answer: &Answer,
) {
    let took_us = traffic.clock.now_us() - request.arrived_us;
    let status = answer.status().as_u16();
    let answer_labels = AnswerLabels { route: route.name.to_string(), status };
    traffic.metrics.answers.get_or_create(&answer_labels).inc();
    let route_label = RouteLabel { route: answer_labels.route };
    traffic.metrics.latency.get_or_create(&route_label).observe(took_us as f64 / 1e6);
    let elapsed_ms = request.elapsed_before_arrival_us / US_PER_MS;
    let round_trip_ms = traffic.caller_delays.borrow().round_trip_us() / US_PER_MS;
    let reason = answer.extensions().get::<Refusal>().map_or("", |refusal| refusal.reason());
    let account = request.account.account().map_or("", |account| account.name.as_str());
    let priority = request.priority(route);
    let (request, route, took_ms) = (&request.attempt_id, &route.name, took_us / US_PER_MS);
    log::info!(
        request:%, route:%, account, priority, status, took_ms, gone_ms = elapsed_ms,
        way_ms = round_trip_ms, version, reason;
        "answered"
    );
}

async fn read_body(catalogue: &Catalogue, body: Incoming) -> Result<bytes::Bytes, Refusal> {
    let limited = Limited::new(body, catalogue.caller_limits.body_bytes);
    let collected = limited.collect().await.map_err(|error| {
        let is_large = error.downcast_ref::<LengthLimitError>().is_some();
        if is_large { Refusal::TooLarge } else { Refusal::BadRequest }
    })?;
    Ok(collected.to_bytes())
}
