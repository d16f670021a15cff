//! Probes of members that were not answered yet.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::MemberState;

use crate::MemberTable;

/// The probes under way, by member.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: IndexMap<EcoString, Probe>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Probe {
    /// When the last probe was sent; `None` once it counted as missed.
    sent_us: Option<u64>,
    missed: u32,
}

impl ProbeTracker {
    /// Notes that a member is probed.
    pub fn record_sent(&mut self, now_us: u64, node: EcoString) {
        self.pending.entry(node).or_default().sent_us.get_or_insert(now_us);
    }

    /// Notes that a member was heard.
    pub fn record_heard(&mut self, node: &str) {
        self.pending.shift_remove(node);
    }

    /// Probes members that missed their last probe once more, and returns where they are.
    ///
    /// The next probe of the same member comes a whole round later, and a lost failure domain
    /// would be named to callers all the while.
    pub fn retry_missed(&mut self, now_us: u64, members: &MemberTable) -> IndexSet<EcoString> {
        let mut targets = IndexSet::new();
        for (node, probe) in &mut self.pending {
            let Some(member) = members.member(node) else { continue };
            let is_probed = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            if probe.missed > 0 && probe.sent_us.is_none() && is_probed {
                probe.sent_us = Some(now_us);
                targets.insert(member.peer_address.clone());
            }
        }
        targets
    }

    /// Takes out the members that did not answer so many probes in a row in time.
    pub fn take_unresponsive(
        &mut self,
        now_us: u64,
        answer_us: u64,
        misses: u32,
    ) -> Vec<EcoString> {
        let mut silent = Vec::new();
        for (node, probe) in &mut self.pending {
            if probe.sent_us.is_some_and(|sent_us| now_us >= sent_us + answer_us) {
                probe.sent_us = None;
                probe.missed += 1;
            }
            if probe.missed >= misses {
                silent.push(node.clone());
            }
        }
        self.pending.retain(|_, probe| probe.missed < misses);
        silent
    }
}
