//! Serves a request that a single replica of one service answers.

use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{Fetch, FetchFailure, FetchFailureReason, FetchStep};
use sassafrasproxy_wire::Route;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::admission::{self, NeededReplicas};
use crate::answer::{Answer, Refusal, forward_answer, refusal_answer};
use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::{
    SendSpec, SendTasks, UpstreamAnswer, UpstreamResult, is_failure, start_send,
};

/// Serves a request with the answer of one replica of a service.
pub async fn serve(
    traffic: &Rc<TrafficState>,
    request: Rc<CallerRequest>,
    route: &Route,
    service: EcoString,
) -> Answer {
    let mut plan = traffic.fetch_plan(route);
    let deadline_us = request.answer_deadline_us(route);
    let replicas = NeededReplicas::of_service(&service);
    // Without a replica in use, the fetch may still find one on trial, or else logs that there is
    // none. Where requests do not queue, a request waits only once the fetch has found no replica.
    let usable_in_us = match traffic.admission.is_shared() {
        true => replicas.usable_in_us(traffic).or(Some(0)),
        false => Some(0),
    };
    let entered = admission::enter(traffic, &request, route, replicas.clone(), usable_in_us).await;
    let mut admitted = match entered {
        Ok(admitted) => admitted,
        Err(refusal) => {
            return admission::build_refusal(traffic, &request, route, &replicas, refusal);
        }
    };
    let mut fetch = Fetch::new(service);
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let mut sends = SendTasks::default();
    let mut failure_answer: Option<UpstreamAnswer> = None;
    traffic.retry_budget.borrow_mut().record_request(fetch.service(), request.arrived_us);
    loop {
        let now_us = traffic.clock.now_us();
        if now_us >= deadline_us {
            sends.detach();
            return build_timeout_answer(traffic, &fetch, failure_answer);
        }
        plan.extra_sends = traffic.admission.extra_sends(now_us);
        traffic.limit_attempts(&request, &mut plan);
        let step = {
            let (mut pool, mut budget) =
                (traffic.pool.borrow_mut(), traffic.retry_budget.borrow_mut());
            fetch.next(now_us, &plan, &mut pool, &mut budget)
        };
        let until_us = match step {
            FetchStep::Send { replica, send_id, cause } => {
                traffic.count_send(cause);
                log::debug!(
                    request:% = request.attempt_id, replica:%, cause:?;
                    "starting a send to a replica"
                );
                let entry = traffic.pool.borrow().entry(&replica).cloned();
                let Some(replica) = entry else { continue };
                let spec = SendSpec {
                    request: request.clone(),
                    route: route.name.clone(),
                    replica,
                    send_id,
                    deadline_us,
                    is_fan_out: false,
                    is_idempotent: route.is_idempotent,
                };
                let result_sender = result_sender.clone();
                // The channel is closed if the request was answered without this result.
                let on_result = move |result| drop(result_sender.send(result));
                sends.push(start_send(traffic, spec, on_result));
                continue;
            }
            FetchStep::Wait { until_us } => until_us.unwrap_or(deadline_us).min(deadline_us),
            FetchStep::Failed(failure) => {
                if can_wait_for_replica(traffic, &replicas, failure) {
                    admitted = match admitted.wait_again().await {
                        Ok(admitted) => admitted,
                        Err(refusal) => {
                            return admission::build_refusal(
                                traffic, &request, route, &replicas, refusal,
                            );
                        }
                    };
                    continue;
                }
                log_failure(&request, &fetch, failure);
                return build_failure_answer(
                    traffic,
                    &request,
                    &replicas,
                    plan.expected_us,
                    failure,
                    failure_answer,
                );
            }
        };
        let wait = Duration::from_micros(until_us.saturating_sub(now_us));
        let Ok(Some(result)) = timeout(wait, results.recv()).await else { continue };
        fetch.record_result(result.send_result());
        if let UpstreamResult::Answered(answer) = result {
            if !is_failure(answer.status) || !route.is_idempotent {
                sends.detach();
                return forward_answer(answer);
            }
            failure_answer = Some(answer);
        }
    }
}

/// Returns whether a request that no replica can take at this moment may wait for one.
///
/// If a replica is usable, the request has been refused by it or its tokens are spent, and waiting
/// would not help.
fn can_wait_for_replica(
    traffic: &TrafficState,
    replicas: &NeededReplicas,
    failure: FetchFailure,
) -> bool {
    failure.reason == FetchFailureReason::NoReplica
        && !failure.may_have_run
        && replicas.usable_in_us(traffic).is_some_and(|usable_in_us| usable_in_us > 0)
}

/// Returns the final answer at the deadline of the caller or the timeout of the route.
fn build_timeout_answer(
    traffic: &TrafficState,
    fetch: &Fetch,
    failure_answer: Option<UpstreamAnswer>,
) -> Answer {
    if let Some(answer) = failure_answer {
        return forward_answer(answer);
    }
    let refusal = if fetch.may_have_run() { Refusal::TimedOut } else { Refusal::NotRun };
    refusal_answer(&traffic.metrics, refusal, None)
}

/// Logs why a request cannot be sent to another replica; the answer does not contain the reason.
fn log_failure(request: &CallerRequest, fetch: &Fetch, failure: FetchFailure) {
    let (request, service, last) = (&request.attempt_id, fetch.service(), fetch.last_replica());
    let FetchFailure { reason, may_have_run } = failure;
    log::info!(
        request:%, service:%, end:? = reason, last, may_have_run;
        "no replica is left to ask"
    );
}

/// Returns the final answer when no replica can be tried any more.
///
/// A failure answered by a replica is preferred to a refusal of this node.
fn build_failure_answer(
    traffic: &TrafficState,
    request: &CallerRequest,
    replicas: &NeededReplicas,
    expected_us: u64,
    failure: FetchFailure,
    failure_answer: Option<UpstreamAnswer>,
) -> Answer {
    if let Some(answer) = failure_answer {
        return forward_answer(answer);
    }
    let refusal = if failure.may_have_run { Refusal::Lost } else { Refusal::NotRun };
    let usable_in_us = replicas.usable_in_us(traffic);
    let retry_after_ms = admission::retry_after_ms(traffic, request, usable_in_us, expected_us);
    refusal_answer(&traffic.metrics, refusal, Some(retry_after_ms))
}
