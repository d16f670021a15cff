//! Makes the sends of a query over shards: from this node, or through relays.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{SendCause, SendId, distribute_parts};
use sassafrasproxy_wire::ReplicaEntry;

use super::{GatherEvent, GatherQuery};
use crate::relay_call::{RelayCallSpec, start_relay_call};
use crate::upstream::{SendSpec, start_send};

/// The minimum number of parts in another failure domain for which a relay is called.
///
/// Relaying a single part costs the relay's time and saves nothing.
const MIN_RELAYED_PARTS: usize = 2;

/// A first send to a replica, to be made by this node or by a relay.
#[derive(Debug)]
pub(super) struct DeferredSend {
    shard: usize,
    replica: Arc<ReplicaEntry>,
    send_id: SendId,
}

impl GatherQuery<'_> {
    /// Sends a hedge or retry directly, also a first send whose relay has failed, and defers other
    /// first sends.
    pub(super) fn start_or_defer_send(
        &mut self,
        shard: usize,
        replica: &EcoString,
        send_id: SendId,
        cause: SendCause,
    ) {
        let entry = self.traffic.pool.borrow().entry(replica).cloned();
        let Some(replica) = entry else { return };
        let send = DeferredSend { shard, replica, send_id };
        match cause {
            SendCause::First if !self.shards[shard].skips_relays => self.deferred.push(send),
            SendCause::First | SendCause::Hedge | SendCause::Retry => self.send_directly(send),
        }
    }

    /// Sends to a replica from this node.
    fn send_directly(&mut self, send: DeferredSend) {
        let spec = SendSpec {
            request: self.request.clone(),
            route: self.route.name.clone(),
            replica: send.replica,
            send_id: send.send_id,
            deadline_us: self.plan.deadline_us,
            is_fan_out: true,
            is_idempotent: true,
        };
        let (events, shard) = (self.events.clone(), send.shard);
        let on_result = move |result| {
            // The channel is closed if the query was answered without this result.
            let _ = events.send(GatherEvent::SendFinished(shard, result));
        };
        self.sends.push(start_send(self.traffic, spec, on_result));
    }

    /// Makes the deferred sends: directly, or through relays in the failure domain of the replicas.
    pub(super) fn send_deferred(&mut self) {
        let mut by_domain: IndexMap<EcoString, Vec<DeferredSend>> = IndexMap::new();
        for send in std::mem::take(&mut self.deferred) {
            by_domain.entry(send.replica.failure_domain.clone()).or_default().push(send);
        }
        for (domain, sends) in by_domain {
            let is_own = domain == self.traffic.settings().failure_domain;
            if is_own {
                self.send_in_own_domain(&domain, sends);
            } else {
                self.send_to_remote_domain(&domain, sends);
            }
        }
    }

    /// Sends to replicas in this node's own failure domain, sharing the work with other nodes
    /// there if it is too much for this node.
    fn send_in_own_domain(&mut self, domain: &EcoString, mut sends: Vec<DeferredSend>) {
        let nodes = 1 + self.traffic.relays.relay_count(domain);
        let cpu_millis = self.traffic.relays.largest_cpu_millis(domain);
        let shares = distribute_parts(sends.len(), nodes, cpu_millis);
        let (own, others) = shares.split_at(1);
        let rest = sends.split_off(own[0]);
        // The relay calls come first, so that the relays work while this node sends its share.
        self.send_through_relays(domain, rest, others);
        sends.into_iter().for_each(|send| self.send_directly(send));
    }

    /// Sends to replicas in another failure domain through relays there.
    ///
    /// Fewer than [`MIN_RELAYED_PARTS`] sends go directly.
    fn send_to_remote_domain(&mut self, domain: &EcoString, sends: Vec<DeferredSend>) {
        if sends.len() < MIN_RELAYED_PARTS {
            return sends.into_iter().for_each(|send| self.send_directly(send));
        }
        let relays = &self.traffic.relays;
        let shares = distribute_parts(
            sends.len(),
            relays.relay_count(domain),
            relays.largest_cpu_millis(domain),
        );
        self.send_through_relays(domain, sends, &shares);
    }

    /// Sends each share through a separate relay; sends left without a relay go directly.
    fn send_through_relays(
        &mut self,
        domain: &EcoString,
        sends: Vec<DeferredSend>,
        shares: &[usize],
    ) {
        let now_us = self.traffic.clock.now_us();
        let expected_us = self.fetch_plan.expected_us;
        let relays = self.traffic.relays.pick_relays(domain, now_us, expected_us, shares.len());
        let mut sends = sends.into_iter();
        for (relay, share) in relays.into_iter().zip(shares) {
            let relay_sends = sends.by_ref().take(*share).collect();
            self.send_through_relay(relay, relay_sends);
        }
        sends.for_each(|send| self.send_directly(send));
    }

    fn send_through_relay(&mut self, relay: EcoString, sends: Vec<DeferredSend>) {
        let spec = RelayCallSpec {
            request: self.request.clone(),
            route: self.route.name.clone(),
            relay,
            sends: sends.into_iter().map(|send| (send.shard, send.replica, send.send_id)).collect(),
            top_k: self.top_k,
            deadline_us: self.plan.deadline_us,
            expected_us: self.fetch_plan.expected_us,
            stall_after_us: self.fetch_plan.hedge_after_us,
        };
        let events = self.events.clone();
        let on_report = move |report| {
            // The channel is closed if the query was answered without this report.
            let _ = events.send(GatherEvent::RelayReported(report));
        };
        self.sends.push(start_relay_call(self.traffic, spec, on_report));
    }
}
