//! Runs the schedulers of a node, one task per replica group that it serves.

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

/// The retry delay of a refusal that does not come from a scheduler, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// The tasks of the running schedulers, by replica group.
#[derive(Debug, Default)]
pub struct Schedulers {
    senders: Mutex<IndexMap<EcoString, mpsc::UnboundedSender<SchedulerInput>>>,
}

impl Schedulers {
    /// Runs a sub-request on this node or at the group's home.
    ///
    /// A node that is no longer the home forwards a sub-request to the new home, at most once. This
    /// prevents refusals while the view of an ingress node still contains the old home.
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
        let mut may_have_run_here = false;
        if view.is_home(&group) || request.fallback {
            let reply = self.run_locally(shared, &group, request.clone(), deadline_us).await;
            let SubRequestOutcome::NotHome { may_have_run } = reply.outcome else { return reply };
            may_have_run_here = may_have_run;
        }
        if request.forwarded {
            return not_home_reply(may_have_run_here);
        }
        request.forwarded = true;
        request.deadline_ms = remaining_ms(deadline_us, shared.clock.now_us());
        let mut reply = self.forward_to_home(shared, &group, request).await;
        reply.outcome = reply.outcome.with_prior_run(may_have_run_here);
        reply
    }

    /// Abandons a sub-request, whose requester no longer waits for it.
    pub fn abandon(&self, shared: &Shared, cancel: &CancelRequest) {
        let view = shared.view.load();
        let Some(group) = view.groups.group_of(&cancel.shard) else { return };
        if let Some(scheduler) = self.lock().get(&group.name) {
            let _ = scheduler.send(SchedulerInput::Abandon { id: cancel.id.clone() });
        }
    }

    /// Passes a hand-over from a group's old home to the group's scheduler, if that is running.
    pub fn apply_hand_over(&self, hand_over: HandOver) {
        if let Some(scheduler) = self.lock().get(&hand_over.group) {
            let _ =
                scheduler.send(SchedulerInput::Event(SchedulerEvent::HandOverReceived(hand_over)));
        }
    }

    /// Sends an event to every scheduler.
    pub fn broadcast(&self, event: &SchedulerEvent) {
        for scheduler in self.lock().values() {
            let _ = scheduler.send(SchedulerInput::Event(event.clone()));
        }
    }

    /// Sends a changed view to every scheduler.
    ///
    /// Starts the schedulers of groups whose home is this node, and stops those of groups that are
    /// no longer configured.
    pub fn apply_view(&self, shared: &Arc<Shared>, view: &Arc<View>) {
        let mut schedulers = self.lock();
        schedulers.retain(|group, scheduler| {
            let is_configured = view.groups.group(group).is_some();
            let input = if is_configured {
                SchedulerInput::ViewChanged(view.clone())
            } else {
                SchedulerInput::Stop
            };
            scheduler.send(input).is_ok() && is_configured
        });
        let home_groups = view.groups.groups().filter(|group| view.is_home(&group.name));
        for group in home_groups {
            if !schedulers.contains_key(&group.name)
                && let Some(scheduler) = scheduler_task::start(shared, view.clone(), &group.name)
            {
                schedulers.insert(group.name.clone(), scheduler);
            }
        }
    }

    /// Returns the statuses of the replicas of all groups whose home is this node.
    pub async fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let schedulers: Vec<_> = self.lock().values().cloned().collect();
        let mut statuses = Vec::new();
        for scheduler in schedulers {
            let (reply, answer) = oneshot::channel();
            let _ = scheduler.send(SchedulerInput::StatusRequested { reply });
            statuses.extend(answer.await.unwrap_or_default());
        }
        statuses
    }

    /// Returns whether nothing is queued or in flight in any scheduler.
    pub async fn are_idle(&self) -> bool {
        let schedulers: Vec<_> = self.lock().values().cloned().collect();
        for scheduler in schedulers {
            let (reply, answer) = oneshot::channel();
            let _ = scheduler.send(SchedulerInput::IdleCheckRequested { reply });
            if !answer.await.unwrap_or(true) {
                return false;
            }
        }
        true
    }

    /// Runs a sub-request in this node's own scheduler of the group.
    async fn run_locally(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
        request: SubRequest,
        deadline_us: u64,
    ) -> SubRequestReply {
        let Some(scheduler) = self.scheduler_sender(shared, group) else {
            return not_run_reply(FailureReason::NoReplica);
        };
        let (reply, answer) = oneshot::channel();
        let mut guard = AbandonGuard { scheduler: &scheduler, id: Some(request.id.clone()) };
        let _ = scheduler.send(SchedulerInput::Submit { request, deadline_us, reply });
        let answer = answer.await;
        guard.id = None;
        answer.unwrap_or_else(|_| not_run_reply(FailureReason::CallerGone))
    }

    /// Forwards a sub-request to the group's home.
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

    /// Returns the sender to a group's scheduler; starts the scheduler if it is not running.
    fn scheduler_sender(
        &self,
        shared: &Arc<Shared>,
        group: &EcoString,
    ) -> Option<mpsc::UnboundedSender<SchedulerInput>> {
        let mut schedulers = self.lock();
        if let Some(scheduler) = schedulers.get(group)
            && !scheduler.is_closed()
        {
            return Some(scheduler.clone());
        }
        let scheduler = scheduler_task::start(shared, shared.view.load_full(), group)?;
        schedulers.insert(group.clone(), scheduler.clone());
        Some(scheduler)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EcoString, mpsc::UnboundedSender<SchedulerInput>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Abandons a sub-request when its requester is dropped before the reply arrives.
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

/// Returns the reply of a node that is not the home and cannot forward the sub-request.
fn not_home_reply(may_have_run: bool) -> SubRequestReply {
    SubRequestReply {
        outcome: SubRequestOutcome::NotHome { may_have_run },
        holdings: None,
        body: None,
    }
}

/// Returns a refusal that does not come from a scheduler.
fn not_run_reply(reason: FailureReason) -> SubRequestReply {
    let outcome = SubRequestOutcome::NotRun { reason, retry_after_ms: RETRY_AFTER_MS };
    SubRequestReply { outcome, holdings: None, body: None }
}
