//! Serves the HTTP interface of a node to callers and operators.

use std::sync::{Arc, Mutex, PoisonError};

use ecow::{EcoString, eco_format};
use indexmap::IndexSet;
use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{Body, EndpointExt, IntoEndpoint, Request, Response, Route, get, handler, post};
use rand::seq::SliceRandom;
use sassafrasproxy_core::{QuerySpec, US_PER_MS, View};
use sassafrasproxy_wire::{
    AddressList, DEADLINE_HEADER, FailureReason, GroupStatus, IngressAddress, MAX_REQUEST_ID_BYTES,
    MemberState, NodeStatus, Outcome, QueryRequest, REQUEST_ID_HEADER, Refusal, ServiceSpec,
    TimelineEvent,
};
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::caller_connections::CallerConnections;
use crate::control::ControlInput;
use crate::non_idempotent::{self, NonIdempotentResult};
use crate::query::{self, QueryJob, QueryResult};
use crate::responses::{
    answer_json, answer_response, not_run_refusal, query_response, refusal_response,
};
use crate::shared::Shared;

/// The maximum size of a query's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;

/// The minimum answer reserve, the time kept to assemble and send the answer, in microseconds.
const MIN_ANSWER_RESERVE_US: u64 = 3_000;

/// The answer reserve is the deadline divided by this value, but at least the minimum and at most
/// half of the deadline.
const ANSWER_RESERVE_DIVISOR: u64 = 20;

/// The maximum number of ingress addresses that are returned to a caller.
const MAX_ADDRESSES: usize = 16;

/// The state of the HTTP interface.
pub struct HttpState {
    shared: Arc<Shared>,
    caller_connections: CallerConnections,
    /// The ids of the idempotent requests that are running.
    active_request_ids: Mutex<IndexSet<EcoString>>,
}

/// Returns the routes of the HTTP interface.
pub fn routes(shared: Arc<Shared>, caller_connections: CallerConnections) -> impl IntoEndpoint {
    let http =
        Arc::new(HttpState { shared, caller_connections, active_request_ids: Mutex::default() });
    Route::new()
        .at("/v1/query", post(run_query))
        .at("/v1/addresses", get(addresses))
        .at("/v1/status", get(node_status))
        .at("/v1/timeline", get(timeline))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .data(http)
}

/// A query that passed validation.
struct ValidatedQuery {
    job: QueryJob,
    index: EcoString,
}

#[handler]
async fn run_query(http: Data<&Arc<HttpState>>, request: &Request, body: Body) -> Response {
    let request_id = match request.header(REQUEST_ID_HEADER) {
        Some(id) => EcoString::from(id),
        None => eco_format!("{:032x}", rand::random::<u128>()),
    };
    let has_request_id = request.header(REQUEST_ID_HEADER).is_some();
    let deadline = request.header(DEADLINE_HEADER);
    let body = body.into_bytes_limit(MAX_BODY_BYTES).await;
    let validated = match body {
        Ok(text) => http.validate(request_id.clone(), has_request_id, deadline, &text),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            let detail = eco_format!("send at most {MAX_BODY_BYTES} bytes");
            Err(not_run_refusal(request_id, FailureReason::BodyTooLarge, detail))
        }
        Err(error) => {
            Err(not_run_refusal(request_id, FailureReason::BadRequest, eco_format!("{error}")))
        }
    };
    let validated = match validated {
        Ok(validated) => validated,
        Err(refusal) => return refusal_response(&refusal),
    };
    if !validated.job.spec.is_idempotent {
        return run_non_idempotent(&http, validated).await;
    }
    let Some(_guard) = ActiveRequestGuard::try_insert(&http, &validated.job.request_id) else {
        let detail = "a request with this id is running; use an id for one request only".into();
        let refusal =
            not_run_refusal(validated.job.request_id, FailureReason::DuplicateRequestId, detail);
        return refusal_response(&refusal);
    };
    let caller = request.remote_addr().as_socket_addr().copied();
    let result = tokio::select! {
        result = query::run(&http.shared, &validated.job) => result,
        () = http.caller_connections.wait_until_closed(caller) => {
            let detail = "the caller closed its connection".into();
            return refusal_response(&not_run_refusal(
                validated.job.request_id,
                FailureReason::CallerGone,
                detail,
            ));
        }
    };
    query_response(validated.job.request_id, &validated.index, result)
}

/// Runs a request that is not idempotent; it runs to its end even if its caller disconnects.
async fn run_non_idempotent(http: &HttpState, validated: ValidatedQuery) -> Response {
    let shared = http.shared.clone();
    let ValidatedQuery { job, index } = validated;
    let request_id = job.request_id.clone();
    let run = tokio::spawn(async move {
        let to_text = |result: &QueryResult| answer_json(&job.request_id, &index, result);
        let result = non_idempotent::run(&shared, &job, to_text).await;
        (result, index)
    });
    let result = run.await;
    let refuse_as = |outcome, reason, detail: &str| {
        let refusal = not_run_refusal(request_id.clone(), reason, detail.into());
        refusal_response(&Refusal { outcome, ..refusal })
    };
    match result {
        Ok((NonIdempotentResult::Finished(result), index)) => {
            query_response(request_id, &index, result)
        }
        Ok((NonIdempotentResult::AlreadyAnswered(text), _)) => answer_response(&text),
        Ok((NonIdempotentResult::KeyUsed, _)) => {
            let detail = "this key was used before and its outcome is not known yet, or for good";
            refuse_as(Outcome::Unknown, FailureReason::KeyUsed, detail)
        }
        Ok((NonIdempotentResult::KeyReused, _)) => {
            let detail = "this key was used for another request; use a key for one request only";
            refuse_as(Outcome::NotRun, FailureReason::KeyReused, detail)
        }
        Ok((NonIdempotentResult::ClaimUnavailable, _)) => {
            let detail = "the request could not be claimed in time, so it was not run";
            refuse_as(Outcome::NotRun, FailureReason::ClaimUnavailable, detail)
        }
        Err(_) => {
            refuse_as(Outcome::Unknown, FailureReason::KeyUsed, "the request ended unexpectedly")
        }
    }
}

#[handler]
fn addresses(
    http: Data<&Arc<HttpState>>,
    Query(params): Query<AddressParams>,
) -> Json<AddressList> {
    let view = http.shared.view.load();
    Json(AddressList {
        addresses: ingress_addresses(&view, params.failure_domain.as_ref()),
        keep_ms: http.shared.settings.address_keep_ms,
    })
}

#[handler]
async fn node_status(http: Data<&Arc<HttpState>>) -> Json<NodeStatus> {
    let (reply, answer) = oneshot::channel();
    let _ = http.shared.control_sender.send(ControlInput::StatusRequested { reply });
    let control = answer.await.ok();
    let view = http.shared.view.load_full();
    let homes = view.groups.groups().map(|group| GroupStatus {
        group: group.name.clone(),
        home: view.home(&group.name).cloned(),
        snapshots: view
            .holdings
            .get(&group.name)
            .map(|held| held.snapshots.iter().map(|snapshot| snapshot.id).collect())
            .unwrap_or_default(),
    });
    Json(NodeStatus {
        node: view.local_node.clone(),
        failure_domain: http.shared.settings.failure_domain.clone(),
        leaving: view.leaving,
        revision: view.configuration.revision,
        rejected_revision: control.as_ref().and_then(|control| control.rejected_revision.clone()),
        domains_out: view.configuration.domains_out.iter().cloned().collect(),
        members: control.map(|control| control.members).unwrap_or_default(),
        homes: homes.collect(),
        replicas: http.shared.schedulers.replica_statuses().await,
    })
}

#[handler]
fn timeline(
    http: Data<&Arc<HttpState>>,
    Query(params): Query<TimelineParams>,
) -> Json<Vec<TimelineEvent>> {
    Json(http.shared.events.events_after(params.after))
}

#[handler]
fn healthz() -> &'static str {
    "ok"
}

#[handler]
fn readyz(http: Data<&Arc<HttpState>>) -> (StatusCode, &'static str) {
    let view = http.shared.view.load();
    if view.leaving {
        return (StatusCode::SERVICE_UNAVAILABLE, "shutting down");
    }
    if view.configuration.revision == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    }
    (StatusCode::OK, "ready")
}

#[derive(Debug)]
#[derive(Deserialize)]
struct AddressParams {
    failure_domain: Option<EcoString>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TimelineParams {
    #[serde(default)]
    after: u64,
}

impl HttpState {
    /// Validates a request against the active configuration and computes its soft deadline.
    fn validate(
        &self,
        request_id: EcoString,
        has_request_id: bool,
        deadline: Option<&str>,
        text: &[u8],
    ) -> Result<ValidatedQuery, Refusal> {
        let refuse =
            |reason, detail: EcoString| Err(not_run_refusal(request_id.clone(), reason, detail));
        if request_id.is_empty() || request_id.len() > MAX_REQUEST_ID_BYTES {
            let detail = eco_format!("use a request id of 1 to {MAX_REQUEST_ID_BYTES} bytes");
            return refuse(FailureReason::BadRequest, detail);
        }
        let query: QueryRequest = match serde_json::from_slice(text) {
            Ok(query) => query,
            Err(error) => return refuse(FailureReason::BadRequest, eco_format!("{error}")),
        };
        let view = self.shared.view.load();
        if view.configuration.revision == 0 {
            let detail = "no configuration is in force yet; come back".into();
            return refuse(FailureReason::NoConfiguration, detail);
        }
        let services = match find_services(&view, &query) {
            Ok(services) => services,
            Err((reason, detail)) => return refuse(reason, detail),
        };
        let Some(index) = services.first().map(|service| service.index.clone()) else {
            return refuse(FailureReason::BadRequest, "name at least one service".into());
        };
        let is_idempotent = services
            .iter()
            .filter_map(|service| service.kinds.get(&query.kind))
            .all(|kind| kind.idempotent);
        if !is_idempotent && !has_request_id {
            let detail =
                eco_format!("`{}` is not idempotent: send {REQUEST_ID_HEADER}", query.kind);
            return refuse(FailureReason::MissingRequestId, detail);
        }
        let max_deadline_ms = services.iter().map(|service| service.deadline_ms).max().unwrap_or(0);
        let deadline_ms = match deadline.map(str::parse::<u64>) {
            None => max_deadline_ms,
            Some(Ok(deadline_ms)) if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) => deadline_ms,
            Some(_) => {
                let detail = eco_format!("{DEADLINE_HEADER} takes 1 to {MAX_DEADLINE_MS}");
                return refuse(FailureReason::BadRequest, detail);
            }
        };
        if !(0.0..=1.0).contains(&query.min_coverage) {
            return refuse(FailureReason::BadRequest, "min_coverage takes 0 to 1".into());
        }
        let deadline_us = deadline_ms * US_PER_MS;
        let answer_reserve_us =
            MIN_ANSWER_RESERVE_US.max(deadline_us / ANSWER_RESERVE_DIVISOR).min(deadline_us / 2);
        let spec = QuerySpec {
            services: services.iter().map(|service| service.service.clone()).collect(),
            is_idempotent,
            min_coverage: query.min_coverage,
            soft_deadline_us: self.shared.clock.now_us() + deadline_us - answer_reserve_us,
        };
        let job = QueryJob { request_id, kind: query.kind, body: query.body, spec };
        Ok(ValidatedQuery { job, index })
    }
}

/// Returns the services of a query, without duplicates.
///
/// All services must be configured, belong to one index and declare the request kind.
fn find_services<'a>(
    view: &'a View,
    query: &QueryRequest,
) -> Result<Vec<&'a ServiceSpec>, (FailureReason, EcoString)> {
    let mut services: Vec<&ServiceSpec> = Vec::new();
    let mut seen = IndexSet::new();
    for name in query.services.iter().filter(|name| seen.insert(*name)) {
        let Some(service) = view.configuration.services.get(name) else {
            let detail = eco_format!("service `{name}` is not configured");
            return Err((FailureReason::UnknownService, detail));
        };
        if !service.kinds.contains_key(&query.kind) {
            let detail = eco_format!("service `{name}` declares no kind `{}`", query.kind);
            return Err((FailureReason::UnknownKind, detail));
        }
        if let Some(first) = services.first().filter(|first| first.index != service.index) {
            let detail = eco_format!("`{}` and `{name}` are of two indexes", first.service);
            return Err((FailureReason::SeveralIndexes, detail));
        }
        services.push(service);
    }
    Ok(services)
}

/// Keeps a request id in the set of running requests; dropping the guard removes the id.
struct ActiveRequestGuard {
    http: Arc<HttpState>,
    id: EcoString,
}

impl ActiveRequestGuard {
    /// Returns a guard for an id, or `None` if a request with this id is already running.
    fn try_insert(http: &Arc<HttpState>, id: &EcoString) -> Option<Self> {
        let mut active_request_ids =
            http.active_request_ids.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = active_request_ids.insert(id.clone());
        drop(active_request_ids);
        is_new.then(|| Self { http: http.clone(), id: id.clone() })
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        let mut active_request_ids =
            self.http.active_request_ids.lock().unwrap_or_else(PoisonError::into_inner);
        active_request_ids.swap_remove(&self.id);
    }
}

/// Returns the addresses of the ingress nodes for a caller, those of its own failure domain first.
///
/// Only members that are alive and not in a domain that is out of service are included.
fn ingress_addresses(view: &View, failure_domain: Option<&EcoString>) -> Vec<IngressAddress> {
    let domains_out = &view.configuration.domains_out;
    let is_alive = |state: MemberState| matches!(state, MemberState::Alive);
    let mut members: Vec<_> = view
        .members
        .values()
        .filter(|member| is_alive(member.state) && !domains_out.contains(&member.failure_domain))
        .collect();
    // The random order spreads callers over the nodes. The sort is stable, so the order stays
    // random within the caller's own domain and among the other domains.
    members.shuffle(&mut rand::rng());
    members.sort_by_key(|member| Some(&member.failure_domain) != failure_domain);
    members.truncate(MAX_ADDRESSES);
    let to_ingress_address = |member: &&sassafrasproxy_core::Member| IngressAddress {
        address: member.address.clone(),
        failure_domain: member.failure_domain.clone(),
    };
    members.iter().map(to_ingress_address).collect()
}
