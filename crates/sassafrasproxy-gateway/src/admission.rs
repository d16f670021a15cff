//! Runs the admission of requests: passes events to the reducer, and decisions to the requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_config::AdmissionMode;
use sassafrasproxy_core::{
    Admission, AdmissionDecision, AdmissionId, AdmissionRefusal, AdmissionRequest, AdmissionStatus,
    ExtraSends, GatherPlan, NodeAdmission, RefusalCause, US_PER_MS, admit, min_parts_usable_in_us,
    retry_delay_within_ms,
};
use sassafrasproxy_wire::{GatherTarget, Route};
use tokio::sync::{Notify, oneshot};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::answer::{Answer, Refusal, refusal_answer};
use crate::metrics::AdmissionLabels;
use crate::request::CallerRequest;
use crate::traffic::TrafficState;

/// The interval of the timer whose lateness is measured, in microseconds.
///
/// Short against latency goals, and long enough that the timer itself is little work.
const TIMER_INTERVAL_US: u64 = 10 * US_PER_MS;

/// The cost of reading a request and writing its answer, in sub-requests.
const CALLER_COST: u32 = 1;

/// The admission of this node and the requests that wait for its decisions.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    reducer: RefCell<NodeAdmission>,
    last_id: Cell<AdmissionId>,
    /// The requests that wait, and the replicas that each needs.
    waiting: RefCell<IndexMap<AdmissionId, WaitingRequest>>,
    /// Notified when a request enters, so that the lateness of the timer is measured from then on.
    entered: Notify,
    /// Notified when a decision may be due.
    changed: Notify,
    /// Whether requests queue; otherwise each is decided on alone, without the reducer.
    is_shared: bool,
}

/// A request that waits for a decision.
#[derive(Debug)]
struct WaitingRequest {
    replicas: NeededReplicas,
    decision: oneshot::Sender<AdmissionDecision>,
}

/// The replicas that a request needs before it can start.
#[derive(Debug, Clone)]
pub struct NeededReplicas {
    /// The name under which requests that need the same replicas compete.
    room: EcoString,
    services: Vec<EcoString>,
    min_parts: usize,
}

/// A request from its entry into the admission to its end.
///
/// Dropping it records the end, also if the caller disconnects.
pub struct AdmittedRequest {
    traffic: Rc<TrafficState>,
    id: AdmissionId,
    replicas: NeededReplicas,
    arrived_us: u64,
    goal_deadline_us: u64,
}

impl NeededReplicas {
    /// Returns the need for one replica of a service.
    pub fn of_service(service: &EcoString) -> Self {
        let room = eco_format!("service {service}");
        Self { room, services: vec![service.clone()], min_parts: 1 }
    }

    /// Returns the need for replicas of as many shards as a query over them must have.
    pub fn of_query(route: &Route, target: &GatherTarget) -> Self {
        Self {
            room: eco_format!("route {}", route.name),
            services: target.services.clone(),
            min_parts: GatherPlan::min_parts(target.services.len(), target.min_coverage),
        }
    }

    /// Returns the time until the replicas can probably take a request, in microseconds, `None` if
    /// it is unknown.
    pub fn usable_in_us(&self, traffic: &TrafficState) -> Option<u64> {
        let (now_us, pool) = (traffic.clock.now_us(), traffic.pool.borrow());
        let times_us: Vec<Option<u64>> =
            self.services.iter().map(|service| pool.usable_in_us(service, now_us)).collect();
        min_parts_usable_in_us(&times_us, self.min_parts)
    }

    /// Counts the services without a usable replica.
    fn count_unusable(&self, traffic: &TrafficState) -> usize {
        let (now_us, pool) = (traffic.clock.now_us(), traffic.pool.borrow());
        let is_unusable = |service: &&EcoString| pool.usable_in_us(service, now_us) != Some(0);
        self.services.iter().filter(is_unusable).count()
    }
}

/// Waits until a request may start; returns an error if it is refused.
///
/// `usable_in_us` is the time until the replicas that it needs can probably take it, in
/// microseconds.
pub async fn enter(
    traffic: &Rc<TrafficState>,
    request: &CallerRequest,
    route: &Route,
    replicas: NeededReplicas,
    usable_in_us: Option<u64>,
) -> Result<AdmittedRequest, AdmissionRefusal> {
    let queue = &traffic.admission;
    let id = queue.last_id.get() + 1;
    queue.last_id.set(id);
    let (arrived_us, goal_deadline_us) = (request.arrived_us, request.goal_deadline_us(route));
    let traffic = traffic.clone();
    if !queue.is_shared {
        let alone = AdmittedRequest { traffic, id, replicas, arrived_us, goal_deadline_us };
        return alone.until_usable(usable_in_us).await;
    }
    let account = request.account.account();
    let arrival = AdmissionRequest {
        id,
        rank: request.priority(route),
        account: account.map_or_else(EcoString::new, |account| account.name.clone()),
        room: replicas.room.clone(),
        cost: CALLER_COST + replicas.services.len() as u32,
        arrived_us,
        goal_deadline_us,
        deadline_us: request.answer_deadline_us(route),
    };
    let admitted = AdmittedRequest { traffic, id, replicas, arrived_us, goal_deadline_us };
    let traffic = &admitted.traffic;
    let decision = queue.wait_for_decision(id, &admitted.replicas);
    let decisions = {
        let room = arrival.room.clone();
        let usable_in_us = |name: &str| match name == room {
            true => usable_in_us,
            false => queue.usable_in_us(traffic, name),
        };
        queue.reducer.borrow_mut().arrive(traffic.clock.now_us(), arrival, usable_in_us)
    };
    queue.deliver(decisions);
    queue.entered.notify_one();
    queue.changed.notify_one();
    admitted.until_decided(decision).await
}

impl AdmittedRequest {
    /// Waits again, because no replica could take the request after all; returns an error if it is
    /// refused.
    pub async fn wait_again(self) -> Result<Self, AdmissionRefusal> {
        if !self.traffic.admission.is_shared {
            let usable_in_us = self.replicas.usable_in_us(&self.traffic);
            return self.until_usable(usable_in_us).await;
        }
        let queue = &self.traffic.admission;
        let decision = queue.wait_for_decision(self.id, &self.replicas);
        let decisions =
            queue.reducer.borrow_mut().wait_again(self.traffic.clock.now_us(), self.id, |room| {
                queue.usable_in_us(&self.traffic, room)
            });
        queue.deliver(decisions);
        queue.changed.notify_one();
        self.until_decided(decision).await
    }

    /// Waits until replicas can take the request, as long as it can still be answered in time.
    async fn until_usable(self, usable_in_us: Option<u64>) -> Result<Self, AdmissionRefusal> {
        let mut usable_in_us = usable_in_us;
        loop {
            let now_us = self.traffic.clock.now_us();
            match admit(now_us, self.arrived_us, self.goal_deadline_us, usable_in_us) {
                Admission::Admit => return Ok(self),
                Admission::Wait { until_us } => self.traffic.sleep_until(until_us).await,
                Admission::Refuse => {
                    let cause = match usable_in_us {
                        Some(_) => RefusalCause::ReplicasBusy,
                        None => RefusalCause::NoReplica,
                    };
                    return Err(AdmissionRefusal { cause, room_in_us: usable_in_us });
                }
            }
            usable_in_us = self.replicas.usable_in_us(&self.traffic);
        }
    }

    async fn until_decided(
        self,
        decision: oneshot::Receiver<AdmissionDecision>,
    ) -> Result<Self, AdmissionRefusal> {
        match decision.await.expect("the sender is dropped by this request's end only") {
            AdmissionDecision::Start => Ok(self),
            AdmissionDecision::Refuse(refusal) => Err(refusal),
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let queue = &self.traffic.admission;
        if !queue.is_shared {
            return;
        }
        queue.reducer.borrow_mut().end(self.traffic.clock.now_us(), self.id);
        queue.waiting.borrow_mut().swap_remove(&self.id);
        if !queue.waiting.borrow().is_empty() {
            queue.changed.notify_one();
        }
    }
}

impl AdmissionQueue {
    /// Creates the queue of a node that starts now.
    pub fn new(mode: AdmissionMode) -> Self {
        Self { is_shared: mode == AdmissionMode::FairShare, ..Self::default() }
    }

    /// Whether requests queue by priority and share.
    pub fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Returns which extra sends the load of the node allows.
    pub fn extra_sends(&self, now_us: u64) -> ExtraSends {
        self.reducer.borrow().extra_sends(now_us)
    }

    fn wait_for_decision(
        &self,
        id: AdmissionId,
        replicas: &NeededReplicas,
    ) -> oneshot::Receiver<AdmissionDecision> {
        let (decision, receiver) = oneshot::channel();
        let request = WaitingRequest { replicas: replicas.clone(), decision };
        self.waiting.borrow_mut().insert(id, request);
        receiver
    }

    fn usable_in_us(&self, traffic: &TrafficState, room: &str) -> Option<u64> {
        let waiting = self.waiting.borrow();
        // All requests of a room need the same replicas; the latest has the latest configuration.
        let request = waiting.values().rfind(|request| request.replicas.room == room)?;
        request.replicas.usable_in_us(traffic)
    }

    fn deliver(&self, decisions: Vec<(AdmissionId, AdmissionDecision)>) {
        for (id, decision) in decisions {
            if let Some(request) = self.waiting.borrow_mut().shift_remove(&id) {
                // The receiver is dropped if the caller has left.
                let _ = request.decision.send(decision);
            }
        }
    }
}

/// Makes the decisions on waiting requests when they are due, until the process ends.
pub async fn decide_when_due(traffic: Rc<TrafficState>) {
    let queue = &traffic.admission;
    loop {
        let usable_in_us = |room: &str| queue.usable_in_us(&traffic, room);
        let now_us = traffic.clock.now_us();
        let decisions = queue.reducer.borrow_mut().tick(now_us, usable_in_us);
        if !decisions.is_empty() {
            queue.deliver(decisions);
            // The started requests send first, so that the pool counts their sends.
            yield_now().await;
            continue;
        }
        let next_us = queue.reducer.borrow().next_tick_us(now_us, usable_in_us);
        match next_us {
            Some(next_us) => {
                let wait = Duration::from_micros(next_us.saturating_sub(now_us));
                // An elapsed timeout is a due tick.
                let _ = timeout(wait, queue.changed.notified()).await;
            }
            None => queue.changed.notified().await,
        }
    }
}

/// Measures how late a timer of this thread fires while requests are in progress, until the process
/// ends.
pub async fn measure_lateness(traffic: Rc<TrafficState>) {
    let queue = &traffic.admission;
    let mut was_paced = false;
    loop {
        let status = queue.reducer.borrow().status(traffic.clock.now_us());
        traffic.metrics.requests_in_progress.set(status.in_progress as i64);
        traffic.metrics.requests_waiting.set(status.waiting as i64);
        let is_paced = status.pace_per_s.is_some();
        if is_paced != was_paced {
            was_paced = is_paced;
            log_pace_change(&status);
        }
        if status.in_progress + status.waiting == 0 {
            queue.reducer.borrow_mut().expect_timer(None);
            queue.entered.notified().await;
        }
        let due_us = traffic.clock.now_us() + TIMER_INTERVAL_US;
        queue.reducer.borrow_mut().expect_timer(Some(due_us));
        traffic.sleep_until(due_us).await;
        let now_us = traffic.clock.now_us();
        let lateness_us = now_us.saturating_sub(due_us);
        traffic.metrics.timer_lateness.observe(lateness_us as f64 / 1e6);
        queue.reducer.borrow_mut().record_lateness(now_us, lateness_us);
        if !queue.waiting.borrow().is_empty() {
            queue.changed.notify_one();
        }
    }
}

/// Logs that the start of requests is paced from now on, or no longer.
fn log_pace_change(status: &AdmissionStatus) {
    let lateness_ms = status.lateness_us / US_PER_MS;
    let (in_progress, waiting) = (status.in_progress, status.waiting);
    let pace_per_s = status.pace_per_s.unwrap_or(0.0);
    let message = match status.pace_per_s {
        Some(_) => "processor time is short; pacing the start of requests",
        None => "processor time is no longer short",
    };
    log::info!(lateness_ms, pace_per_s, in_progress, waiting; "{message}");
}

/// Returns the answer to a request that the admission refused, and logs and counts the cause.
pub fn build_refusal(
    traffic: &TrafficState,
    request: &CallerRequest,
    route: &Route,
    replicas: &NeededReplicas,
    refusal: AdmissionRefusal,
) -> Answer {
    let status = traffic.admission.reducer.borrow().status(traffic.clock.now_us());
    let expected_us = traffic.fetch_plan(route).expected_us;
    let retry_after_ms = retry_after_ms(traffic, request, refusal.room_in_us, expected_us);
    let (priority, cause) = (request.priority(route), refusal.cause.name());
    traffic.metrics.admission_refusals.get_or_create(&AdmissionLabels { priority, cause }).inc();
    let account = request.account.account().map_or("", |account| account.name.as_str());
    let unusable_count = replicas.count_unusable(traffic);
    let room_ms = refusal.room_in_us.map_or(-1, |room_us| (room_us / US_PER_MS) as i64);
    let lateness_ms = status.lateness_us / US_PER_MS;
    let (in_progress, waiting) = (status.in_progress, status.waiting);
    let (request, route) = (&request.attempt_id, &route.name);
    log::info!(
        request:%, route:%, account, priority, cause, away = unusable_count, room_ms, lateness_ms,
        in_progress, waiting, retry_after_ms;
        "refused a request: no room in time"
    );
    refusal_answer(&traffic.metrics, Refusal::NotRun, Some(retry_after_ms))
}

/// Returns the retry delay of a refused caller, in milliseconds.
///
/// `room_in_us` is the time until room is expected for it, in microseconds, `None` if it is
/// unknown; `expected_us` is the usual time of such a request. Where requests queue, the delay
/// also depends on the time left to the caller.
pub fn retry_after_ms(
    traffic: &TrafficState,
    request: &CallerRequest,
    room_in_us: Option<u64>,
    expected_us: u64,
) -> u64 {
    let is_bounded = request.deadline_us != u64::MAX && traffic.admission.is_shared;
    let left_us = is_bounded.then(|| request.deadline_us.saturating_sub(traffic.clock.now_us()));
    retry_delay_within_ms(room_in_us, expected_us, left_us, &request.attempt_id)
}
