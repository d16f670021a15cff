//! The task around one lane: timers, sends, status reads and replies.

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

/// How many such times lie between two status reads of a replica that is not.
const POLLS_PER_FULL_POLL: u64 = 5;

/// How long a lane that is only a fallback reads statuses after its last sub-request.
const FALLBACK_POLL_DURATION_US: u64 = 5_000_000;

/// How often a hand-over is tried.
const MAX_HAND_OVER_TRIES: u32 = 3;

/// What a lane's task takes in.
#[derive(Debug)]
pub enum SchedulerInput {
    /// A sub-request came.
    Submit { request: SubRequest, deadline_us: u64, reply: oneshot::Sender<SubRequestReply> },
    /// Nobody waits for a sub-request any more.
    Abandon { id: EcoString },
    /// An event for the reducer as it is.
    Event(SchedulerEvent),
    /// A send ended, with the answer's body if it was good.
    AttemptFinished { attempt: AttemptId, report: AttemptReport, body: Option<Body> },
    /// The control state changed.
    ViewChanged(Arc<View>),
    /// The node's status is asked for.
    StatusRequested { reply: oneshot::Sender<Vec<ReplicaStatus>> },
    /// Whether anything is queued or in flight is asked for.
    IdleCheckRequested { reply: oneshot::Sender<bool> },
    /// The group is gone.
    Stop,
}

/// Starts the task of a group's lane.
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

/// The task around one lane.
struct SchedulerTask {
    shared: Arc<Shared>,
    group: EcoString,
    scheduler: Scheduler,
    configuration: SchedulerConfiguration,
    is_home: bool,
    sender: mpsc::UnboundedSender<SchedulerInput>,
    sub_requests: IndexMap<SubRequestId, PendingSubRequest>,
    /// The key of each sub-request in `subs`, by its id.
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

/// A send that holds a slot.
struct RunningAttempt {
    id: EcoString,
    replica: EcoString,
    abort_handle: AbortHandle,
}

impl SchedulerTask {
    /// Takes inputs in until the group is gone.
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

    /// Gives the reducer a sub-request under a key of its own.
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
        let sub = SubRequestSpec {
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
        self.step(SchedulerEvent::Submit(sub), None);
    }

    /// Takes a changed view in.
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

    /// Reads the status of every replica, while this lane is in use.
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
            let upstream = self.replica_client(&address).clone();
            self.spawn_status_read(address, None, async move { upstream.status().await });
        }
    }

    /// Reports a status when it is read.
    fn spawn_status_read(
        &self,
        replica: EcoString,
        probe: Option<u64>,
        read: impl Future<Output = StatusReport> + Send + 'static,
    ) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let report = read.await;
            let event = SchedulerEvent::Status { replica, probe_id: probe, report };
            let _ = sender.send(SchedulerInput::Event(event));
        });
    }

    /// Steps the reducer and carries its effects out; `body` belongs to a send that just ended.
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
            SchedulerEffect::Send { attempt, sub_request: sub, replica } => {
                self.send_attempt(attempt, sub, replica);
            }
            SchedulerEffect::Cancel { attempt } => self.cancel_attempt(attempt),
            SchedulerEffect::Reply { sub_request: sub, outcome, attempt } => {
                let body = if attempt.is_some() { body.take() } else { None };
                self.reply(sub, outcome, body);
            }
            SchedulerEffect::RetireConnections { replica } => {
                self.replica_client(&replica).retire_connections();
            }
            SchedulerEffect::Probe { replica, probe_id: number } => {
                let upstream = self.replica_client(&replica).clone();
                self.spawn_status_read(
                    replica,
                    Some(number),
                    async move { upstream.probe().await },
                );
            }
            SchedulerEffect::AnnounceQuarantine { fingerprint, ttl_us } => {
                self.announce_quarantine(fingerprint, ttl_us);
            }
            SchedulerEffect::SendHandOver(given) => self.send_hand_over(given),
            SchedulerEffect::PublishHoldings => {}
            SchedulerEffect::RecordEvent { sub_request: sub, kind } => {
                match &kind {
                    TimelineEventKind::Hedged { .. } => {
                        self.shared.metrics.count_extra_attempt("hedge");
                    }
                    TimelineEventKind::Retried { .. } => {
                        self.shared.metrics.count_extra_attempt("retry");
                    }
                    _ => {}
                }
                let pending = sub.and_then(|sub| self.sub_requests.get(&sub));
                let request_id = pending.map(|pending| pending.request.request_id.clone());
                self.shared.events.record(request_id, kind);
            }
        }
    }

    /// Sends a sub-request in a task of its own.
    fn send_attempt(&mut self, attempt: AttemptId, sub: SubRequestId, replica: EcoString) {
        let upstream = self.replica_client(&replica).clone();
        let Some(pending) = self.sub_requests.get(&sub) else {
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
        let task = tokio::spawn(async move {
            let (report, body) = upstream.send(&clock, &request).await;
            let _ = sender.send(SchedulerInput::AttemptFinished { attempt, report, body });
        });
        self.attempts
            .insert(attempt, RunningAttempt { id, replica, abort_handle: task.abort_handle() });
    }

    /// Tells a replica to stop a send, and frees its slot once that is confirmed.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let (id, abort) = (running.id.clone(), running.abort_handle.clone());
        let replica = running.replica.clone();
        let upstream = self.replica_client(&replica).clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            // Without a confirmation the send's own end, at its deadline, frees the slot.
            if upstream.cancel(&id).await {
                abort.abort();
                let _ = sender.send(SchedulerInput::Event(SchedulerEvent::Cancelled { attempt }));
            }
        });
    }

    /// Answers a sub-request; corrects the asker's picture where that was the trouble.
    fn reply(&mut self, sub: SubRequestId, outcome: SubRequestOutcome, body: Option<Body>) {
        let Some(pending) = self.sub_requests.swap_remove(&sub) else { return };
        self.sub_request_ids.swap_remove(&pending.request.id);
        let is_old = matches!(
            outcome,
            SubRequestOutcome::NotRun {
                reason: FailureReason::NotHeld | FailureReason::NoReplica,
                ..
            }
        );
        let holdings =
            (is_old && self.is_home && self.scheduler.has_all_statuses()).then(|| self.holdings());
        let _ = pending.reply.send(SubRequestReply { outcome, holdings, body });
    }

    /// What the group can serve now.
    fn holdings(&self) -> GroupHoldings {
        let me = self.shared.settings.name.clone();
        self.scheduler.holdings(me, self.shared.events.next_hlc())
    }

    /// Tells the other lanes and nodes that a request crashes upstreams.
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

    /// Hands the group to its new home, which starts narrow if that fails.
    fn send_hand_over(&self, given: HandOver) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_HAND_OVER_TRIES {
                let view = shared.view.load_full();
                let home = view.home(&given.group).filter(|home| **home != view.local_node);
                let Some(address) = home.and_then(|home| shared.peer_address(home)) else { return };
                if shared.peer_client.send_hand_over(&address, &given).await.is_ok() {
                    return;
                }
            }
        });
    }

    /// The connections to a replica.
    fn replica_client(&mut self, address: &EcoString) -> &mut ReplicaClient {
        let connections = self.configuration.policy.slots as usize;
        self.replica_clients
            .entry(address.clone())
            .or_insert_with(|| ReplicaClient::new(address, connections))
    }

    /// The group's name in a form that fits a path.
    fn group_path_segment(&self) -> EcoString {
        self.group.replace("/", ".")
    }
}

/// What a group's lane serves, by the view.
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
    let is_ours =
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
        leaving_upstreams: view.leaving_upstreams.iter().filter(is_ours).cloned().collect(),
    })
}

/// A hash of kind and body, the same for every repeat of a request.
fn fingerprint(request: &SubRequest) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.kind.as_bytes());
    hash.update(&[0]);
    hash.update(request.body.get().as_bytes());
    hash.digest()
}
