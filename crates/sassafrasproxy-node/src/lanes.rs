//! The lanes of a node, one task for each replica group that it serves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{SchedulerEvent, US_PER_MS, View};
use sassafrasproxy_wire::{
    CancelRequest, HandOver, Reason, ReplicaStatus, SubOutcome, SubReply, SubRequest,
};
use tokio::sync::{mpsc, oneshot};

use crate::lane::{self, LaneInput};
use crate::peers::PeerError;
use crate::shared::Shared;
use crate::upstreams::remaining_ms;

/// When to come back after a refusal that no lane made, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// The running lanes by group.
#[derive(Debug, Default)]
pub struct Lanes {
    running: Mutex<IndexMap<EcoString, mpsc::UnboundedSender<LaneInput>>>,
}

impl Lanes {
    /// Runs a sub-request, here or at the group's home.
    ///
    /// A node that is the home no more passes what still comes in on, once; so that a home that
    /// moves refuses nothing, however late its entries hear of it.
    pub async fn ask(&self, shared: &Arc<Shared>, mut request: SubRequest) -> SubReply {
        let view = shared.view.load_full();
        let deadline_us = shared.clock.now_us() + request.deadline_ms * US_PER_MS;
        let Some(group) = view.groups.group_of(&request.shard).map(|group| group.name.clone())
        else {
            return not_run(Reason::NoReplica);
        };
        let mut ran_here = false;
        if view.is_home(&group) || request.fallback {
            let reply = self.ask_here(shared, &group, request.clone(), deadline_us).await;
            let SubOutcome::NotHome { may_have_run } = reply.outcome else { return reply };
            ran_here = may_have_run;
        }
        if request.forwarded {
            return not_home(ran_here);
        }
        request.forwarded = true;
        request.deadline_ms = remaining_ms(deadline_us, shared.clock.now_us());
        let mut reply = self.forward(shared, &group, request).await;
        reply.outcome = reply.outcome.after(ran_here);
        reply
    }

    /// Gives up on a sub-request.
    pub fn give_up(&self, shared: &Shared, cancel: &CancelRequest) {
        let view = shared.view.load();
        let Some(group) = view.groups.group_of(&cancel.shard) else { return };
        if let Some(lane) = self.lock().get(&group.name) {
            let _ = lane.send(LaneInput::GiveUp { id: cancel.id.clone() });
        }
    }

    /// Takes a group's state over from its old home.
    pub fn take_over(&self, given: HandOver) {
        if let Some(lane) = self.lock().get(&given.group) {
            let _ = lane.send(LaneInput::Event(SchedulerEvent::HandOverReceived(given)));
        }
    }

    /// Gives every lane an event.
    pub fn tell_all(&self, event: &SchedulerEvent) {
        for lane in self.lock().values() {
            let _ = lane.send(LaneInput::Event(event.clone()));
        }
    }

    /// Gives every lane the changed view; starts and ends lanes as the view wants.
    pub fn apply(&self, shared: &Arc<Shared>, view: &Arc<View>) {
        let mut running = self.lock();
        running.retain(|group, lane| {
            let stays = view.groups.group(group).is_some();
            let input = if stays { LaneInput::View(view.clone()) } else { LaneInput::Stop };
            lane.send(input).is_ok() && stays
        });
        let missing = view.groups.groups().filter(|group| view.is_home(&group.name));
        for group in missing {
            if !running.contains_key(&group.name)
                && let Some(lane) = lane::start(shared, view.clone(), &group.name)
            {
                running.insert(group.name.clone(), lane);
            }
        }
    }

    /// The replicas of all lanes.
    pub async fn status(&self) -> Vec<ReplicaStatus> {
        let lanes: Vec<_> = self.lock().values().cloned().collect();
        let mut all = Vec::new();
        for lane in lanes {
            let (reply, answer) = oneshot::channel();
            let _ = lane.send(LaneInput::Status { reply });
            all.extend(answer.await.unwrap_or_default());
        }
        all
    }

    /// Whether no lane has anything queued or in flight.
    pub async fn are_idle(&self) -> bool {
        let lanes: Vec<_> = self.lock().values().cloned().collect();
        for lane in lanes {
            let (reply, answer) = oneshot::channel();
            let _ = lane.send(LaneInput::IsIdle { reply });
            if !answer.await.unwrap_or(true) {
                return false;
            }
        }
        true
    }

    /// Runs a sub-request in this node's own lane of the group.
    async fn ask_here(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
        request: SubRequest,
        deadline_us: u64,
    ) -> SubReply {
        let Some(lane) = self.lane(shared, group) else { return not_run(Reason::NoReplica) };
        let (reply, answer) = oneshot::channel();
        let mut guard = GiveUpGuard { lane: &lane, id: Some(request.id.clone()) };
        let _ = lane.send(LaneInput::Submit { request, deadline_us, reply });
        let answer = answer.await;
        guard.id = None;
        answer.unwrap_or_else(|_| not_run(Reason::CallerGone))
    }

    /// Passes a sub-request on to the group's home.
    async fn forward(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
        request: SubRequest,
    ) -> SubReply {
        let view = shared.view.load_full();
        let home = view.home(group).filter(|home| **home != view.local_node);
        let Some(address) = home.and_then(|home| shared.peer_address(home)) else {
            return not_home(false);
        };
        let timeout = Duration::from_millis(request.deadline_ms);
        match shared.peers.sub_request(&address, &request, timeout).await {
            Ok(reply) => reply,
            Err(PeerError::Unreachable) => not_home(false),
            Err(PeerError::Lost | PeerError::TimedOut | PeerError::Refused) => SubReply {
                outcome: SubOutcome::Unknown { reason: Reason::HomeUnreachable },
                holdings: None,
                body: None,
            },
        }
    }

    /// The lane of a group, started now if it does not run.
    fn lane(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
    ) -> Option<mpsc::UnboundedSender<LaneInput>> {
        let mut running = self.lock();
        if let Some(lane) = running.get(group)
            && !lane.is_closed()
        {
            return Some(lane.clone());
        }
        let lane = lane::start(shared, shared.view.load_full(), group)?;
        running.insert(group.clone(), lane.clone());
        Some(lane)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EcoString, mpsc::UnboundedSender<LaneInput>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives up on a sub-request when the one who asks goes away before the answer.
struct GiveUpGuard<'a> {
    lane: &'a mpsc::UnboundedSender<LaneInput>,
    id: Option<EcoString>,
}

impl Drop for GiveUpGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.lane.send(LaneInput::GiveUp { id });
        }
    }
}

/// The answer of a node that cannot reach the home either.
fn not_home(may_have_run: bool) -> SubReply {
    SubReply { outcome: SubOutcome::NotHome { may_have_run }, holdings: None, body: None }
}

/// A refusal that no lane made.
fn not_run(reason: Reason) -> SubReply {
    let outcome = SubOutcome::NotRun { reason, retry_after_ms: RETRY_AFTER_MS };
    SubReply { outcome, holdings: None, body: None }
}
