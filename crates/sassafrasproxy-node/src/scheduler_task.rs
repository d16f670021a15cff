//! The task that runs one scheduler: timers, attempts, status reads and replies.

use std::sync::Arc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_core::{
    AttemptId, AttemptReport, AttemptResult, ControlEvent, ReplicaSpec, Scheduler,
    SchedulerConfiguration, SchedulerEffect, SchedulerEvent, SchedulerPolicy, StatusReport,
    SubRequestId, SubRequestSpec, US_PER_MS, View,
};
use sassafrasproxy_wire::{
    Body, FailureReason, GroupHoldings, HandOver, QuarantineNotice, ReplicaStatus, SubRequest,
    SubRequestOutcome, SubRequestReply, TimelineEventKind, UpstreamQuery,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;
use xxhash_rust::xxh3::Xxh3;

use crate::replica_client::{AttemptRequest, ReplicaClient};
use crate::shared::Shared;

/// The time between two status reads of a replica that is down.
const DOWN_STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// One in this many status polls reads all replicas; the others read only those that are down.
const POLLS_PER_FULL_POLL: u64 = 5;

/// How long a scheduler on a node that is not the home reads statuses after its last sub-request.
const FALLBACK_POLL_DURATION_US: u64 = 5_000_000;

/// The maximum number of times that a hand-over is sent.
const MAX_HAND_OVER_TRIES: u32 = 3;

/// An input of a scheduler's task.
#[derive(Debug)]
pub enum SchedulerInput {
    /// A sub-request arrived.
    Submit { request: SubRequest, deadline_us: u64, reply: oneshot::Sender<SubRequestReply> },
    /// The requester no longer waits for a sub-request.
    Abandon { id: EcoString },
    /// An event for the reducer.
    Event(SchedulerEvent),
    /// An attempt ended; `body` is present if the answer is valid.
    AttemptFinished { attempt: AttemptId, report: AttemptReport, body: Option<Body> },
    /// The control state of the node changed.
    ViewChanged(Arc<View>),
    /// The status of the node's replicas is requested.
    StatusRequested { reply: oneshot::Sender<Vec<ReplicaStatus>> },
    /// A node that is shutting down asks whether nothing is queued or in flight.
    IdleCheckRequested { reply: oneshot::Sender<bool> },
    /// The group is no longer configured.
    Stop,
}

/// Starts the task of a group's scheduler; returns `None` if the view does not contain the group.
pub fn start(
    shared: &Arc<Shared>,
    view: Arc<View>,
    group: &EcoString,
) -> Option<mpsc::UnboundedSender<SchedulerInput>> {
    let configuration = scheduler_configuration(shared, &view, group)?;
    let (sender, inputs) = mpsc::unbounded_channel();
    let mut task = SchedulerTask {
        shared: shared.clone(),
        group: group.clone(),
        scheduler: Scheduler::new(configuration.clone()),
        configuration,
        is_home: false,
        sender: sender.clone(),
        sub_requests: IndexMap::new(),
        sub_request_ids: IndexMap::new(),
        attempts: IndexMap::new(),
        replica_clients: IndexMap::new(),
        last_sub_request_id: 0,
        last_submit_us: 0,
        poll_count: 0,
    };
    task.apply_view(&view);
    tokio::spawn(task.run(inputs));
    Some(sender)
}

/// The state of the task that runs one scheduler.
struct SchedulerTask {
    shared: Arc<Shared>,
    group: EcoString,
    scheduler: Scheduler,
    configuration: SchedulerConfiguration,
    is_home: bool,
    sender: mpsc::UnboundedSender<SchedulerInput>,
    sub_requests: IndexMap<SubRequestId, PendingSubRequest>,
    /// The key in `sub_requests` of each sub-request, by the id in its request.
    sub_request_ids: IndexMap<EcoString, SubRequestId>,
    attempts: IndexMap<AttemptId, RunningAttempt>,
    replica_clients: IndexMap<EcoString, ReplicaClient>,
    last_sub_request_id: u64,
    last_submit_us: u64,
    poll_count: u64,
}

/// A sub-request that is not answered yet.
struct PendingSubRequest {
    request: SubRequest,
    deadline_us: u64,
    reply: oneshot::Sender<SubRequestReply>,
}

/// An attempt that uses a slot.
struct RunningAttempt {
    id: EcoString,
    replica: EcoString,
    abort_handle: AbortHandle,
}

impl SchedulerTask {
    /// Handles inputs and timers until the group is no longer configured.
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<SchedulerInput>) {
        let mut poll = tokio::time::interval(DOWN_STATUS_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let now_us = self.shared.clock.now_us();
            let wake_us = self.scheduler.next_timer_us(now_us).unwrap_or(u64::MAX >> 20);
            tokio::select! {
                input = inputs.recv() => match input {
                    None | Some(SchedulerInput::Stop) => return,
                    Some(input) => self.handle_input(input),
                },
                () = tokio::time::sleep_until(self.shared.clock.instant_at(wake_us)) => {
                    self.step(SchedulerEvent::Timer, None);
                }
                _ = poll.tick() => self.poll_statuses(),
            }
        }
    }

    fn handle_input(&mut self, input: SchedulerInput) {
        match input {
            SchedulerInput::Submit { request, deadline_us, reply } => {
                self.submit(request, deadline_us, reply);
            }
            SchedulerInput::Abandon { id } => {
                if let Some(key) = self.sub_request_ids.swap_remove(&id) {
                    self.sub_requests.swap_remove(&key);
                    self.step(SchedulerEvent::Abandon { sub_request: key }, None);
                }
            }
            SchedulerInput::Event(event) => {
                if let SchedulerEvent::Cancelled { attempt } = &event {
                    self.attempts.swap_remove(attempt);
                }
                self.step(event, None);
            }
            SchedulerInput::AttemptFinished { attempt, report, body } => {
                self.attempts.swap_remove(&attempt);
                self.step(SchedulerEvent::Finished { attempt, report }, body);
            }
            SchedulerInput::ViewChanged(view) => self.apply_view(&view),
            SchedulerInput::StatusRequested { reply } => {
                let _ = reply.send(if self.is_home {
                    self.scheduler.replica_statuses()
                } else {
                    Vec::new()
                });
            }
            SchedulerInput::IdleCheckRequested { reply } => {
                let _ = reply.send(self.scheduler.is_idle());
            }
            SchedulerInput::Stop => {}
        }
    }

    /// Passes a sub-request to the reducer under a new key.
    fn submit(
        &mut self,
        request: SubRequest,
        deadline_us: u64,
        reply: oneshot::Sender<SubRequestReply>,
    ) {
        self.last_sub_request_id += 1;
        let key = SubRequestId(self.last_sub_request_id);
        let view = self.shared.view.load();
        let service = view.configuration.services.get(&request.shard.service);
        let kind = service.and_then(|service| service.kinds.get(&request.kind));
        let sub_request = SubRequestSpec {
            id: key,
            shard: request.shard.shard.clone(),
            snapshot: request.snapshot,
            is_idempotent: kind.is_some_and(|kind| kind.idempotent),
            may_hedge: kind.is_some_and(|kind| kind.idempotent && kind.hedge),
            fingerprint: fingerprint(&request),
            deadline_us,
        };
        drop(view);
        self.last_submit_us = self.shared.clock.now_us();
        self.sub_request_ids.insert(request.id.clone(), key);
        self.sub_requests.insert(key, PendingSubRequest { request, deadline_us, reply });
        self.step(SchedulerEvent::Submit(sub_request), None);
    }

    /// Applies a changed view: reconfigures the scheduler and gains or loses the home role.
    fn apply_view(&mut self, view: &View) {
        let Some(configuration) = scheduler_configuration(&self.shared, view, &self.group) else {
            return;
        };
        if configuration != self.configuration {
            self.configuration = configuration.clone();
            self.replica_clients.retain(|address, _| {
                configuration.replicas.iter().any(|replica| replica.address == *address)
            });
            self.step(SchedulerEvent::Reconfigure(configuration), None);
        }
        let is_home = view.is_home(&self.group);
        if is_home == self.is_home {
            return;
        }
        self.is_home = is_home;
        if is_home {
            let kind = TimelineEventKind::HomeGained { group: self.group.clone() };
            self.shared.events.record(None, kind);
            let control = &self.shared.tuning.control;
            let view_skew_us = if control.bypasses_homes { 0 } else { control.view_skew_us() };
            self.step(SchedulerEvent::BecomeHome { view_skew_us }, None);
            self.poll_statuses();
        } else {
            let to = view.home(&self.group).cloned();
            let kind = TimelineEventKind::HomeLost { group: self.group.clone(), to };
            self.shared.events.record(None, kind);
            self.step(SchedulerEvent::LoseHome { local_node: view.local_node.clone() }, None);
        }
    }

    /// Reads the status of each replica that is due.
    ///
    /// Reads nothing if this node is not the home and had no sub-request for
    /// [`FALLBACK_POLL_DURATION_US`].
    fn poll_statuses(&mut self) {
        let now_us = self.shared.clock.now_us();
        if !self.is_home && now_us > self.last_submit_us + FALLBACK_POLL_DURATION_US {
            return;
        }
        self.poll_count += 1;
        let is_full_poll = self.poll_count % POLLS_PER_FULL_POLL == 1;
        let is_due = |replica: &ReplicaStatus| is_full_poll || replica.phase == "down";
        let replicas = self.scheduler.replica_statuses().into_iter().filter(is_due);
        let addresses: Vec<EcoString> = replicas.map(|replica| replica.address).collect();
        for address in addresses {
            let client = self.replica_client(&address).clone();
            self.spawn_status_read(address, None, async move { client.status().await });
        }
    }

    /// Reads a replica's status in a separate task and reports the result to the reducer.
    fn spawn_status_read(
        &self,
        replica: EcoString,
        probe_id: Option<u64>,
        read: impl Future<Output = StatusReport> + Send + 'static,
    ) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let report = read.await;
            let event = SchedulerEvent::Status { replica, probe_id, report };
            let _ = sender.send(SchedulerInput::Event(event));
        });
    }

    /// Steps the reducer and performs its effects; `body` belongs to an attempt that just ended.
    fn step(&mut self, event: SchedulerEvent, body: Option<Body>) {
        let now_us = self.shared.clock.now_us();
        let effects = self.scheduler.step(now_us, event);
        let mut body = body;
        let is_changed = effects.contains(&SchedulerEffect::PublishHoldings);
        for effect in effects {
            self.perform_effect(effect, &mut body);
        }
        if is_changed && self.is_home && self.scheduler.has_all_statuses() {
            let holdings = self.holdings();
            self.shared.send_control_event(ControlEvent::LocalHoldings(holdings));
        }
    }

    fn perform_effect(&mut self, effect: SchedulerEffect, body: &mut Option<Body>) {
        match effect {
            SchedulerEffect::Send { attempt, sub_request, replica } => {
                self.send_attempt(attempt, sub_request, replica);
            }
            SchedulerEffect::Cancel { attempt } => self.cancel_attempt(attempt),
            SchedulerEffect::Reply { sub_request, outcome, attempt } => {
                let body = if attempt.is_some() { body.take() } else { None };
                self.reply(sub_request, outcome, body);
            }
            SchedulerEffect::RetireConnections { replica } => {
                self.replica_client(&replica).retire_connections();
            }
            SchedulerEffect::Probe { replica, probe_id } => {
                let client = self.replica_client(&replica).clone();
                self.spawn_status_read(
                    replica,
                    Some(probe_id),
                    async move { client.probe().await },
                );
            }
            SchedulerEffect::AnnounceQuarantine { fingerprint, ttl_us } => {
                self.announce_quarantine(fingerprint, ttl_us);
            }
            SchedulerEffect::SendHandOver(hand_over) => self.send_hand_over(hand_over),
            SchedulerEffect::PublishHoldings => {}
            SchedulerEffect::RecordEvent { sub_request, kind } => {
                match &kind {
                    TimelineEventKind::Hedged { .. } => {
                        self.shared.metrics.count_extra_attempt("hedge");
                    }
                    TimelineEventKind::Retried { .. } => {
                        self.shared.metrics.count_extra_attempt("retry");
                    }
                    _ => {}
                }
                let pending =
                    sub_request.and_then(|sub_request| self.sub_requests.get(&sub_request));
                let request_id = pending.map(|pending| pending.request.request_id.clone());
                self.shared.events.record(request_id, kind);
            }
        }
    }

    /// Sends a sub-request to a replica in a separate task.
    fn send_attempt(&mut self, attempt: AttemptId, sub_request: SubRequestId, replica: EcoString) {
        let client = self.replica_client(&replica).clone();
        let Some(pending) = self.sub_requests.get(&sub_request) else {
            let report = AttemptResult::NotSent.into();
            let _ =
                self.sender.send(SchedulerInput::AttemptFinished { attempt, report, body: None });
            return;
        };
        let id =
            eco_format!("{}-{}-{}", self.shared.instance_id, self.group_path_segment(), attempt.0);
        let request = AttemptRequest {
            id: id.clone(),
            snapshot: pending.request.snapshot,
            deadline_us: pending.deadline_us,
            query: UpstreamQuery {
                kind: pending.request.kind.clone(),
                shard: pending.request.shard.shard.clone(),
                body: pending.request.body.clone(),
            },
        };
        self.shared.metrics.count_upstream_send();
        let clock = self.shared.clock;
        let sender = self.sender.clone();
        let handle = tokio::spawn(async move {
            let (report, body) = client.send(&clock, &request).await;
            let _ = sender.send(SchedulerInput::AttemptFinished { attempt, report, body });
        });
        self.attempts
            .insert(attempt, RunningAttempt { id, replica, abort_handle: handle.abort_handle() });
    }

    /// Sends a cancellation of an attempt to its replica, and frees the slot once the replica
    /// confirms.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let (id, abort_handle) = (running.id.clone(), running.abort_handle.clone());
        let replica = running.replica.clone();
        let client = self.replica_client(&replica).clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            // Without a confirmation, the slot is freed when the attempt ends at its deadline.
            if client.cancel(&id).await {
                abort_handle.abort();
                let _ = sender.send(SchedulerInput::Event(SchedulerEvent::Cancelled { attempt }));
            }
        });
    }

    /// Replies to a sub-request.
    ///
    /// If the snapshot is not held or no replica is available, a home adds the group's holdings, so
    /// that the requester corrects its outdated view.
    fn reply(&mut self, sub_request: SubRequestId, outcome: SubRequestOutcome, body: Option<Body>) {
        let Some(pending) = self.sub_requests.swap_remove(&sub_request) else { return };
        self.sub_request_ids.swap_remove(&pending.request.id);
        let is_view_outdated = matches!(
            outcome,
            SubRequestOutcome::NotRun {
                reason: FailureReason::NotHeld | FailureReason::NoReplica,
                ..
            }
        );
        let holdings = (is_view_outdated && self.is_home && self.scheduler.has_all_statuses())
            .then(|| self.holdings());
        let _ = pending.reply.send(SubRequestReply { outcome, holdings, body });
    }

    /// Returns the group's current holdings.
    fn holdings(&self) -> GroupHoldings {
        let local_node = self.shared.settings.name.clone();
        self.scheduler.holdings(local_node, self.shared.events.next_hlc())
    }

    /// Sends the quarantine of a request to this node's schedulers and to all peers.
    fn announce_quarantine(&self, fingerprint: u64, ttl_us: u64) {
        self.shared.schedulers.broadcast(&SchedulerEvent::Quarantine { fingerprint, ttl_us });
        let notice = QuarantineNotice { fingerprint, ttl_ms: ttl_us / US_PER_MS };
        let view = self.shared.view.load_full();
        for member in view.members.values().filter(|member| member.node != view.local_node) {
            let (shared, notice) = (self.shared.clone(), notice.clone());
            let address = member.peer_address.clone();
            tokio::spawn(
                async move { shared.peer_client.send_quarantine(&address, &notice).await },
            );
        }
    }

    /// Hands the group's state over to its new home.
    ///
    /// Without the hand-over, the new home starts with a concurrency limit of 1 per replica.
    fn send_hand_over(&self, hand_over: HandOver) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_HAND_OVER_TRIES {
                let view = shared.view.load_full();
                let home = view.home(&hand_over.group).filter(|home| **home != view.local_node);
                let Some(address) = home.and_then(|home| shared.peer_address(home)) else { return };
                if shared.peer_client.send_hand_over(&address, &hand_over).await.is_ok() {
                    return;
                }
            }
        });
    }

    /// Returns the client of a replica; creates it at its first use.
    fn replica_client(&mut self, address: &EcoString) -> &mut ReplicaClient {
        let max_idle_connections = self.configuration.policy.slots as usize;
        self.replica_clients
            .entry(address.clone())
            .or_insert_with(|| ReplicaClient::new(address, max_idle_connections))
    }

    /// Returns the group's name with `.` in place of `/`, so that it fits into one path segment.
    fn group_path_segment(&self) -> EcoString {
        self.group.replace("/", ".")
    }
}

/// Returns the configuration of a group's scheduler, or `None` if the view does not contain the
/// group.
fn scheduler_configuration(
    shared: &Shared,
    view: &View,
    group: &str,
) -> Option<SchedulerConfiguration> {
    let group = view.groups.group(group)?;
    let replicas = group.replicas.iter().map(|replica| ReplicaSpec {
        address: replica.address.clone(),
        failure_domain: replica.failure_domain.clone(),
        shards: replica.shards.iter().cloned().collect(),
    });
    let is_in_group =
        |address: &&EcoString| group.replicas.iter().any(|replica| replica.address == **address);
    Some(SchedulerConfiguration {
        group: group.name.clone(),
        service: group.service.clone(),
        replicas: replicas.collect(),
        policy: SchedulerPolicy {
            budget_fraction: shared.tuning.budget_fraction,
            ..SchedulerPolicy::new(group.limits.slots, group.limits.queue)
        },
        domains_out: view.configuration.domains_out.clone(),
        leaving_upstreams: view.leaving_upstreams.iter().filter(is_in_group).cloned().collect(),
    })
}

/// Returns a hash of kind and body, the same for every repetition of a request.
fn fingerprint(request: &SubRequest) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.kind.as_bytes());
    hash.update(&[0]);
    hash.update(request.body.get().as_bytes());
    hash.digest()
}
