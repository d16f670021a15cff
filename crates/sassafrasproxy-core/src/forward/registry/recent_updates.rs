//! Changes of members that peers may not have heard of yet.

use ecow::EcoString;
use indexmap::IndexMap;

use super::datagram::GossipUpdate;
use crate::MemberTable;

/// How long a change is recent, in microseconds; what spreads later is found by digests.
const RETENTION_US: u64 = 2_000_000;

/// The members that changed lately.
#[derive(Debug, Default)]
pub struct RecentUpdates {
    /// The newest last.
    changes: IndexMap<EcoString, RecentUpdate>,
}

#[derive(Debug, Clone, Copy)]
struct RecentUpdate {
    changed_us: u64,
    /// Whether peers may not know the member at all.
    is_full: bool,
}

impl RecentUpdates {
    /// Notes a change; `is_whole` if more than the member's state changed.
    pub fn record(&mut self, now_us: u64, node: EcoString, is_whole: bool) {
        let was_whole = self.changes.shift_remove(&node).is_some_and(|change| change.is_full);
        let change = RecentUpdate { changed_us: now_us, is_full: is_whole || was_whole };
        self.changes.insert(node, change);
    }

    /// The newest of the recent changes, no older than a time.
    pub fn updates_since<'a>(
        &mut self,
        now_us: u64,
        since_us: u64,
        most: usize,
        members: &'a MemberTable,
    ) -> impl Iterator<Item = GossipUpdate> + use<'_, 'a> {
        self.changes.retain(|_, change| now_us < change.changed_us + RETENTION_US);
        let newest = self.changes.iter().rev().take(most);
        let wanted = newest.take_while(move |(_, change)| change.changed_us >= since_us);
        wanted.filter_map(|(node, change)| {
            let member = members.member(node)?;
            Some(match change.is_full {
                true => GossipUpdate::full(member),
                false => GossipUpdate::state_only(member),
            })
        })
    }
}
