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
    Body, EventKind, GroupHoldings, HandOver, QuarantineNotice, Reason, ReplicaStatus, SubOutcome,
    SubReply, SubRequest, UpstreamQuery,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;
use xxhash_rust::xxh3::Xxh3;

use crate::shared::Shared;
use crate::upstreams::{AttemptRequest, Upstream};

/// The time between two status reads of a replica that is down.
const DOWN_INTERVAL: Duration = Duration::from_millis(100);

/// How many such times lie between two status reads of a replica that is not.
const STATUS_EVERY: u64 = 5;

/// How long a lane that is only a fallback reads statuses after its last sub-request.
const FALLBACK_POLL_US: u64 = 5_000_000;

/// How often a hand-over is tried.
const HAND_OVER_TRIES: u32 = 3;

/// What a lane's task takes in.
#[derive(Debug)]
pub enum LaneInput {
    /// A sub-request came.
    Submit { request: SubRequest, deadline_us: u64, reply: oneshot::Sender<SubReply> },
    /// Nobody waits for a sub-request any more.
    GiveUp { id: EcoString },
    /// An event for the reducer as it is.
    Event(SchedulerEvent),
    /// A send ended, with the answer's body if it was good.
    Finished { attempt: AttemptId, report: AttemptReport, body: Option<Body> },
    /// The control state changed.
    View(Arc<View>),
    /// The node's status is asked for.
    Status { reply: oneshot::Sender<Vec<ReplicaStatus>> },
    /// Whether anything is queued or in flight is asked for.
    IsIdle { reply: oneshot::Sender<bool> },
    /// The group is gone.
    Stop,
}

/// Starts the task of a group's lane.
pub fn start(
    shared: &Arc<Shared>,
    view: Arc<View>,
    group: &EcoString,
) -> Option<mpsc::UnboundedSender<LaneInput>> {
    let configuration = lane_configuration(shared, &view, group)?;
    let (sender, inputs) = mpsc::unbounded_channel();
    let mut task = LaneTask {
        shared: shared.clone(),
        group: group.clone(),
        lane: Scheduler::new(configuration.clone()),
        configuration,
        is_home: false,
        sender: sender.clone(),
        subs: IndexMap::new(),
        keys: IndexMap::new(),
        attempts: IndexMap::new(),
        upstreams: IndexMap::new(),
        next_key: 0,
        last_submit_us: 0,
        polls: 0,
    };
    task.take_view(&view);
    tokio::spawn(task.run(inputs));
    Some(sender)
}

/// The task around one lane.
struct LaneTask {
    shared: Arc<Shared>,
    group: EcoString,
    lane: Scheduler,
    configuration: SchedulerConfiguration,
    is_home: bool,
    sender: mpsc::UnboundedSender<LaneInput>,
    subs: IndexMap<SubRequestId, Pending>,
    /// The key of each sub-request in `subs`, by its id.
    keys: IndexMap<EcoString, SubRequestId>,
    attempts: IndexMap<AttemptId, Running>,
    upstreams: IndexMap<EcoString, Upstream>,
    next_key: u64,
    last_submit_us: u64,
    polls: u64,
}

/// A sub-request that is not answered yet.
struct Pending {
    request: SubRequest,
    deadline_us: u64,
    reply: oneshot::Sender<SubReply>,
}

/// A send that holds a slot.
struct Running {
    id: EcoString,
    replica: EcoString,
    abort: AbortHandle,
}

impl LaneTask {
    /// Takes inputs in until the group is gone.
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<LaneInput>) {
        let mut poll = tokio::time::interval(DOWN_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let now_us = self.shared.clock.now_us();
            let wake_us = self.lane.next_timer_us(now_us).unwrap_or(u64::MAX >> 20);
            tokio::select! {
                input = inputs.recv() => match input {
                    None | Some(LaneInput::Stop) => return,
                    Some(input) => self.take(input),
                },
                () = tokio::time::sleep_until(self.shared.clock.instant(wake_us)) => {
                    self.step(SchedulerEvent::Timer, None);
                }
                _ = poll.tick() => self.poll(),
            }
        }
    }

    fn take(&mut self, input: LaneInput) {
        match input {
            LaneInput::Submit { request, deadline_us, reply } => {
                self.submit(request, deadline_us, reply);
            }
            LaneInput::GiveUp { id } => {
                if let Some(key) = self.keys.swap_remove(&id) {
                    self.subs.swap_remove(&key);
                    self.step(SchedulerEvent::Abandon { sub_request: key }, None);
                }
            }
            LaneInput::Event(event) => {
                if let SchedulerEvent::Cancelled { attempt } = &event {
                    self.attempts.swap_remove(attempt);
                }
                self.step(event, None);
            }
            LaneInput::Finished { attempt, report, body } => {
                self.attempts.swap_remove(&attempt);
                self.step(SchedulerEvent::Finished { attempt, report }, body);
            }
            LaneInput::View(view) => self.take_view(&view),
            LaneInput::Status { reply } => {
                let _ = reply.send(if self.is_home {
                    self.lane.replica_statuses()
                } else {
                    Vec::new()
                });
            }
            LaneInput::IsIdle { reply } => {
                let _ = reply.send(self.lane.is_idle());
            }
            LaneInput::Stop => {}
        }
    }

    /// Gives the reducer a sub-request under a key of its own.
    fn submit(&mut self, request: SubRequest, deadline_us: u64, reply: oneshot::Sender<SubReply>) {
        self.next_key += 1;
        let key = SubRequestId(self.next_key);
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
        self.keys.insert(request.id.clone(), key);
        self.subs.insert(key, Pending { request, deadline_us, reply });
        self.step(SchedulerEvent::Submit(sub), None);
    }

    /// Takes a changed view in.
    fn take_view(&mut self, view: &View) {
        let Some(configuration) = lane_configuration(&self.shared, view, &self.group) else {
            return;
        };
        if configuration != self.configuration {
            self.configuration = configuration.clone();
            self.upstreams.retain(|address, _| {
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
            let kind = EventKind::HomeGained { group: self.group.clone() };
            self.shared.events.note(None, kind);
            let control = &self.shared.tuning.control;
            let view_skew_us = if control.bypasses_homes { 0 } else { control.view_skew_us() };
            self.step(SchedulerEvent::BecomeHome { view_skew_us }, None);
            self.poll();
        } else {
            let to = view.home(&self.group).cloned();
            let kind = EventKind::HomeLost { group: self.group.clone(), to };
            self.shared.events.note(None, kind);
            self.step(SchedulerEvent::LoseHome { local_node: view.local_node.clone() }, None);
        }
    }

    /// Reads the status of every replica, while this lane is in use.
    fn poll(&mut self) {
        let now_us = self.shared.clock.now_us();
        if !self.is_home && now_us > self.last_submit_us + FALLBACK_POLL_US {
            return;
        }
        self.polls += 1;
        let is_full_poll = self.polls % STATUS_EVERY == 1;
        let is_due = |replica: &ReplicaStatus| is_full_poll || replica.phase == "down";
        let replicas = self.lane.replica_statuses().into_iter().filter(is_due);
        let addresses: Vec<EcoString> = replicas.map(|replica| replica.address).collect();
        for address in addresses {
            let upstream = self.upstream(&address).clone();
            self.report_status(address, None, async move { upstream.status().await });
        }
    }

    /// Reports a status when it is read.
    fn report_status(
        &self,
        replica: EcoString,
        probe: Option<u64>,
        read: impl Future<Output = StatusReport> + Send + 'static,
    ) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let report = read.await;
            let event = SchedulerEvent::Status { replica, probe_id: probe, report };
            let _ = sender.send(LaneInput::Event(event));
        });
    }

    /// Steps the reducer and carries its effects out; `body` belongs to a send that just ended.
    fn step(&mut self, event: SchedulerEvent, body: Option<Body>) {
        let now_us = self.shared.clock.now_us();
        let effects = self.lane.step(now_us, event);
        let mut body = body;
        let is_changed = effects.contains(&SchedulerEffect::PublishHoldings);
        for effect in effects {
            self.carry_out(effect, &mut body);
        }
        if is_changed && self.is_home && self.lane.has_all_statuses() {
            let holdings = self.holdings();
            self.shared.tell(ControlEvent::LocalHoldings(holdings));
        }
    }

    fn carry_out(&mut self, effect: SchedulerEffect, body: &mut Option<Body>) {
        match effect {
            SchedulerEffect::Send { attempt, sub_request: sub, replica } => {
                self.send(attempt, sub, replica);
            }
            SchedulerEffect::Cancel { attempt } => self.cancel(attempt),
            SchedulerEffect::Reply { sub_request: sub, outcome, attempt } => {
                let body = if attempt.is_some() { body.take() } else { None };
                self.reply(sub, outcome, body);
            }
            SchedulerEffect::RetireConnections { replica } => self.upstream(&replica).condemn(),
            SchedulerEffect::Probe { replica, probe_id: number } => {
                let upstream = self.upstream(&replica).clone();
                self.report_status(replica, Some(number), async move { upstream.probe().await });
            }
            SchedulerEffect::AnnounceQuarantine { fingerprint, ttl_us } => {
                self.spread_quarantine(fingerprint, ttl_us);
            }
            SchedulerEffect::SendHandOver(given) => self.hand_over(given),
            SchedulerEffect::PublishHoldings => {}
            SchedulerEffect::RecordEvent { sub_request: sub, kind } => {
                match &kind {
                    EventKind::Hedged { .. } => self.shared.metrics.extra_send("hedge"),
                    EventKind::Retried { .. } => self.shared.metrics.extra_send("retry"),
                    _ => {}
                }
                let pending = sub.and_then(|sub| self.subs.get(&sub));
                let request_id = pending.map(|pending| pending.request.request_id.clone());
                self.shared.events.note(request_id, kind);
            }
        }
    }

    /// Sends a sub-request in a task of its own.
    fn send(&mut self, attempt: AttemptId, sub: SubRequestId, replica: EcoString) {
        let upstream = self.upstream(&replica).clone();
        let Some(pending) = self.subs.get(&sub) else {
            let report = AttemptResult::NotSent.into();
            let _ = self.sender.send(LaneInput::Finished { attempt, report, body: None });
            return;
        };
        let id = eco_format!("{}-{}-{}", self.shared.life, self.group_tag(), attempt.0);
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
        self.shared.metrics.upstream_send();
        let clock = self.shared.clock;
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let (report, body) = upstream.send(&clock, &request).await;
            let _ = sender.send(LaneInput::Finished { attempt, report, body });
        });
        self.attempts.insert(attempt, Running { id, replica, abort: task.abort_handle() });
    }

    /// Tells a replica to stop a send, and frees its slot once that is confirmed.
    fn cancel(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let (id, abort) = (running.id.clone(), running.abort.clone());
        let replica = running.replica.clone();
        let upstream = self.upstream(&replica).clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            // Without a confirmation the send's own end, at its deadline, frees the slot.
            if upstream.cancel(&id).await {
                abort.abort();
                let _ = sender.send(LaneInput::Event(SchedulerEvent::Cancelled { attempt }));
            }
        });
    }

    /// Answers a sub-request; corrects the asker's picture where that was the trouble.
    fn reply(&mut self, sub: SubRequestId, outcome: SubOutcome, body: Option<Body>) {
        let Some(pending) = self.subs.swap_remove(&sub) else { return };
        self.keys.swap_remove(&pending.request.id);
        let is_old = matches!(
            outcome,
            SubOutcome::NotRun { reason: Reason::NotHeld | Reason::NoReplica, .. }
        );
        let holdings =
            (is_old && self.is_home && self.lane.has_all_statuses()).then(|| self.holdings());
        let _ = pending.reply.send(SubReply { outcome, holdings, body });
    }

    /// What the group can serve now.
    fn holdings(&self) -> GroupHoldings {
        let me = self.shared.settings.name.clone();
        self.lane.holdings(me, self.shared.events.stamp())
    }

    /// Tells the other lanes and nodes that a request crashes upstreams.
    fn spread_quarantine(&self, fingerprint: u64, ttl_us: u64) {
        self.shared.lanes.tell_all(&SchedulerEvent::Quarantine { fingerprint, ttl_us });
        let notice = QuarantineNotice { fingerprint, ttl_ms: ttl_us / US_PER_MS };
        let view = self.shared.view.load_full();
        for member in view.members.values().filter(|member| member.node != view.local_node) {
            let (shared, notice) = (self.shared.clone(), notice.clone());
            let address = member.peer_address.clone();
            tokio::spawn(async move { shared.peers.quarantine(&address, &notice).await });
        }
    }

    /// Hands the group to its new home, which starts narrow if that fails.
    fn hand_over(&self, given: HandOver) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            for _ in 0..HAND_OVER_TRIES {
                let view = shared.view.load_full();
                let home = view.home(&given.group).filter(|home| **home != view.local_node);
                let Some(address) = home.and_then(|home| shared.peer_address(home)) else { return };
                if shared.peers.hand_over(&address, &given).await.is_ok() {
                    return;
                }
            }
        });
    }

    /// The connections to a replica.
    fn upstream(&mut self, address: &EcoString) -> &mut Upstream {
        let connections = self.configuration.policy.slots as usize;
        self.upstreams.entry(address.clone()).or_insert_with(|| Upstream::new(address, connections))
    }

    /// The group's name in a form that fits a path.
    fn group_tag(&self) -> EcoString {
        self.group.replace("/", ".")
    }
}

/// What a group's lane serves, by the view.
fn lane_configuration(shared: &Shared, view: &View, group: &str) -> Option<SchedulerConfiguration> {
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
            budget_fraction: shared.tuning.extra_fraction,
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
