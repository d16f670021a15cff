//! Tracks the probes of members that are not answered yet.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::MemberState;

use crate::MemberTable;

/// The pending probes, by member.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: IndexMap<EcoString, Probe>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Probe {
    /// The time at which the oldest unanswered probe was sent; `None` once it counted as missed.
    sent_us: Option<u64>,
    /// The number of probes in a row that were not answered in time.
    missed: u32,
}

impl ProbeTracker {
    /// Records that a probe was sent to a member.
    pub fn record_sent(&mut self, now_us: u64, node: EcoString) {
        self.pending.entry(node).or_default().sent_us.get_or_insert(now_us);
    }

    /// Records that a datagram was received from a member, which ends its pending probe.
    pub fn record_received(&mut self, node: &str) {
        self.pending.shift_remove(node);
    }

    /// Records another probe of each member that missed its last one, and returns the members' peer
    /// addresses.
    ///
    /// The regular probe of the same member follows only after all other members were probed. Until
    /// then, callers would still be sent to the nodes of a lost failure domain.
    pub fn retry_missed(&mut self, now_us: u64, members: &MemberTable) -> IndexSet<EcoString> {
        let mut peer_addresses = IndexSet::new();
        for (node, probe) in &mut self.pending {
            let Some(member) = members.member(node) else { continue };
            let is_probed = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            if probe.missed > 0 && probe.sent_us.is_none() && is_probed {
                probe.sent_us = Some(now_us);
                peer_addresses.insert(member.peer_address.clone());
            }
        }
        peer_addresses
    }

    /// Removes and returns the members that did not answer `suspect_after_misses` probes in a row.
    ///
    /// A probe counts as missed `timeout_us` after it was sent.
    pub fn take_unresponsive(
        &mut self,
        now_us: u64,
        timeout_us: u64,
        suspect_after_misses: u32,
    ) -> Vec<EcoString> {
        let mut unresponsive = Vec::new();
        for (node, probe) in &mut self.pending {
            if probe.sent_us.is_some_and(|sent_us| now_us >= sent_us + timeout_us) {
                probe.sent_us = None;
                probe.missed += 1;
            }
            if probe.missed >= suspect_after_misses {
                unresponsive.push(node.clone());
            }
        }
        self.pending.retain(|_, probe| probe.missed < suspect_after_misses);
        unresponsive
    }
}
