//! The lanes of a node, one task for each replica group that it serves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{SchedulerEvent, US_PER_MS, View};
use sassafrasproxy_wire::{
    CancelRequest, FailureReason, HandOver, ReplicaStatus, SubRequest, SubRequestOutcome,
    SubRequestReply,
};
use tokio::sync::{mpsc, oneshot};

use crate::peer_client::PeerError;
use crate::replica_client::remaining_ms;
use crate::scheduler_task::{self, SchedulerInput};
use crate::shared::Shared;

/// When to come back after a refusal that no lane made, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// The running lanes by group.
#[derive(Debug, Default)]
pub struct Schedulers {
    senders: Mutex<IndexMap<EcoString, mpsc::UnboundedSender<SchedulerInput>>>,
}

impl Schedulers {
    /// Runs a sub-request, here or at the group's home.
    ///
    /// A node that is the home no more passes what still comes in on, once; so that a home that
    /// moves refuses nothing, however late its entries hear of it.
    pub async fn run_sub_request(
        &self,
        shared: &Arc<Shared>,
        mut request: SubRequest,
    ) -> SubRequestReply {
        let view = shared.view.load_full();
        let deadline_us = shared.clock.now_us() + request.deadline_ms * US_PER_MS;
        let Some(group) = view.groups.group_of(&request.shard).map(|group| group.name.clone())
        else {
            return not_run_reply(FailureReason::NoReplica);
        };
        let mut ran_here = false;
        if view.is_home(&group) || request.fallback {
            let reply = self.run_locally(shared, &group, request.clone(), deadline_us).await;
            let SubRequestOutcome::NotHome { may_have_run } = reply.outcome else { return reply };
            ran_here = may_have_run;
        }
        if request.forwarded {
            return not_home_reply(ran_here);
        }
        request.forwarded = true;
        request.deadline_ms = remaining_ms(deadline_us, shared.clock.now_us());
        let mut reply = self.forward_to_home(shared, &group, request).await;
        reply.outcome = reply.outcome.with_prior_run(ran_here);
        reply
    }

    /// Gives up on a sub-request.
    pub fn abandon(&self, shared: &Shared, cancel: &CancelRequest) {
        let view = shared.view.load();
        let Some(group) = view.groups.group_of(&cancel.shard) else { return };
        if let Some(lane) = self.lock().get(&group.name) {
            let _ = lane.send(SchedulerInput::Abandon { id: cancel.id.clone() });
        }
    }

    /// Takes a group's state over from its old home.
    pub fn apply_hand_over(&self, given: HandOver) {
        if let Some(lane) = self.lock().get(&given.group) {
            let _ = lane.send(SchedulerInput::Event(SchedulerEvent::HandOverReceived(given)));
        }
    }

    /// Gives every lane an event.
    pub fn broadcast(&self, event: &SchedulerEvent) {
        for lane in self.lock().values() {
            let _ = lane.send(SchedulerInput::Event(event.clone()));
        }
    }

    /// Gives every lane the changed view; starts and ends lanes as the view wants.
    pub fn apply_view(&self, shared: &Arc<Shared>, view: &Arc<View>) {
        let mut running = self.lock();
        running.retain(|group, lane| {
            let stays = view.groups.group(group).is_some();
            let input = if stays {
                SchedulerInput::ViewChanged(view.clone())
            } else {
                SchedulerInput::Stop
            };
            lane.send(input).is_ok() && stays
        });
        let missing = view.groups.groups().filter(|group| view.is_home(&group.name));
        for group in missing {
            if !running.contains_key(&group.name)
                && let Some(lane) = scheduler_task::start(shared, view.clone(), &group.name)
            {
                running.insert(group.name.clone(), lane);
            }
        }
    }

    /// The replicas of all lanes.
    pub async fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let lanes: Vec<_> = self.lock().values().cloned().collect();
        let mut all = Vec::new();
        for lane in lanes {
            let (reply, answer) = oneshot::channel();
            let _ = lane.send(SchedulerInput::StatusRequested { reply });
            all.extend(answer.await.unwrap_or_default());
        }
        all
    }

    /// Whether no lane has anything queued or in flight.
    pub async fn are_idle(&self) -> bool {
        let lanes: Vec<_> = self.lock().values().cloned().collect();
        for lane in lanes {
            let (reply, answer) = oneshot::channel();
            let _ = lane.send(SchedulerInput::IdleCheckRequested { reply });
            if !answer.await.unwrap_or(true) {
                return false;
            }
        }
        true
    }

    /// Runs a sub-request in this node's own lane of the group.
    async fn run_locally(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
        request: SubRequest,
        deadline_us: u64,
    ) -> SubRequestReply {
        let Some(lane) = self.scheduler_sender(shared, group) else {
            return not_run_reply(FailureReason::NoReplica);
        };
        let (reply, answer) = oneshot::channel();
        let mut guard = AbandonGuard { scheduler: &lane, id: Some(request.id.clone()) };
        let _ = lane.send(SchedulerInput::Submit { request, deadline_us, reply });
        let answer = answer.await;
        guard.id = None;
        answer.unwrap_or_else(|_| not_run_reply(FailureReason::CallerGone))
    }

    /// Passes a sub-request on to the group's home.
    async fn forward_to_home(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
        request: SubRequest,
    ) -> SubRequestReply {
        let view = shared.view.load_full();
        let home = view.home(group).filter(|home| **home != view.local_node);
        let Some(address) = home.and_then(|home| shared.peer_address(home)) else {
            return not_home_reply(false);
        };
        let timeout = Duration::from_millis(request.deadline_ms);
        match shared.peer_client.send_sub_request(&address, &request, timeout).await {
            Ok(reply) => reply,
            Err(PeerError::Unreachable) => not_home_reply(false),
            Err(PeerError::ConnectionLost | PeerError::TimedOut | PeerError::Refused) => {
                SubRequestReply {
                    outcome: SubRequestOutcome::Unknown { reason: FailureReason::HomeUnreachable },
                    holdings: None,
                    body: None,
                }
            }
        }
    }

    /// The lane of a group, started now if it does not run.
    fn scheduler_sender(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
    ) -> Option<mpsc::UnboundedSender<SchedulerInput>> {
        let mut running = self.lock();
        if let Some(lane) = running.get(group)
            && !lane.is_closed()
        {
            return Some(lane.clone());
        }
        let lane = scheduler_task::start(shared, shared.view.load_full(), group)?;
        running.insert(group.clone(), lane.clone());
        Some(lane)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EcoString, mpsc::UnboundedSender<SchedulerInput>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives up on a sub-request when the one who asks goes away before the answer.
struct AbandonGuard<'a> {
    scheduler: &'a mpsc::UnboundedSender<SchedulerInput>,
    id: Option<EcoString>,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.scheduler.send(SchedulerInput::Abandon { id });
        }
    }
}

/// The answer of a node that cannot reach the home either.
fn not_home_reply(may_have_run: bool) -> SubRequestReply {
    SubRequestReply {
        outcome: SubRequestOutcome::NotHome { may_have_run },
        holdings: None,
        body: None,
    }
}

/// A refusal that no lane made.
fn not_run_reply(reason: FailureReason) -> SubRequestReply {
    let outcome = SubRequestOutcome::NotRun { reason, retry_after_ms: RETRY_AFTER_MS };
    SubRequestReply { outcome, holdings: None, body: None }
}
