//! Serves a request that a single replica of one service answers.

use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{
    Admission, Fetch, FetchFailure, FetchFailureReason, FetchStep, admit, retry_delay_ms,
};
use sassafrasproxy_wire::Route;
use tokio::sync::mpsc;
use tokio::time::timeout;

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
    let plan = traffic.fetch_plan(route);
    let deadline_us = request.answer_deadline_us(route);
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
                if let Admission::Wait { until_us } =
                    admit_without_replica(traffic, &request, route, &fetch, failure)
                {
                    traffic.sleep_until(until_us).await;
                    continue;
                }
                log_failure(&request, &fetch, failure);
                return build_failure_answer(
                    traffic,
                    &request,
                    &fetch,
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

/// Decides whether a request waits for a replica when none is usable at this moment.
fn admit_without_replica(
    traffic: &TrafficState,
    request: &CallerRequest,
    route: &Route,
    fetch: &Fetch,
    failure: FetchFailure,
) -> Admission {
    if failure.reason != FetchFailureReason::NoReplica || failure.may_have_run {
        return Admission::Refuse;
    }
    let now_us = traffic.clock.now_us();
    let soonest_us = traffic.pool.borrow().usable_in_us(fetch.service(), now_us);
    admit(now_us, request.arrived_us, request.goal_deadline_us(route), soonest_us)
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
    fetch: &Fetch,
    expected_us: u64,
    failure: FetchFailure,
    failure_answer: Option<UpstreamAnswer>,
) -> Answer {
    if let Some(answer) = failure_answer {
        return forward_answer(answer);
    }
    let refusal = if failure.may_have_run { Refusal::Lost } else { Refusal::NotRun };
    let now_us = traffic.clock.now_us();
    let soonest_us = traffic.pool.borrow().usable_in_us(fetch.service(), now_us);
    let retry_after_ms = retry_delay_ms(soonest_us, expected_us, &request.attempt_id);
    refusal_answer(&traffic.metrics, refusal, Some(retry_after_ms))
}
