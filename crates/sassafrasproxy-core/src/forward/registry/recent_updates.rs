//! Keeps the recent changes of members that peers may not have received yet.

use ecow::EcoString;
use indexmap::IndexMap;

use super::datagram::GossipUpdate;
use crate::MemberTable;

/// The time for which a change counts as recent, in microseconds.
///
/// Peers that missed a change in this time find it by comparing digests.
const RETENTION_US: u64 = 2_000_000;

/// The members that changed recently.
#[derive(Debug, Default)]
pub struct RecentUpdates {
    /// The last change of each member, the newest last.
    changes: IndexMap<EcoString, RecentUpdate>,
}

#[derive(Debug, Clone, Copy)]
struct RecentUpdate {
    changed_us: u64,
    /// Whether more than the member's state changed, so that peers need its full record.
    is_full: bool,
}

impl RecentUpdates {
    /// Records a change; `is_full` if more than the member's state changed.
    pub fn record(&mut self, now_us: u64, node: EcoString, is_full: bool) {
        let was_full = self.changes.shift_remove(&node).is_some_and(|change| change.is_full);
        let change = RecentUpdate { changed_us: now_us, is_full: is_full || was_full };
        self.changes.insert(node, change);
    }

    /// Returns at most `max_count` of the recent changes since a time, the newest first.
    pub fn updates_since<'a>(
        &mut self,
        now_us: u64,
        since_us: u64,
        max_count: usize,
        members: &'a MemberTable,
    ) -> impl Iterator<Item = GossipUpdate> + use<'_, 'a> {
        self.changes.retain(|_, change| now_us < change.changed_us + RETENTION_US);
        let newest = self.changes.iter().rev().take(max_count);
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
