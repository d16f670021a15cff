//! Changes of members that peers may not have heard of yet.

use ecow::EcoString;
use indexmap::IndexMap;

use super::datagram::MemberNews;
use crate::MemberTable;

/// How long a change is recent, in microseconds; what spreads later is found by digests.
const RECENT_US: u64 = 2_000_000;

/// The members that changed lately.
#[derive(Debug, Default)]
pub struct RecentNews {
    /// The newest last.
    changes: IndexMap<EcoString, RecentChange>,
}

#[derive(Debug, Clone, Copy)]
struct RecentChange {
    at_us: u64,
    /// Whether peers may not know the member at all.
    is_whole: bool,
}

impl RecentNews {
    /// Notes a change; `is_whole` if more than the member's state changed.
    pub fn note(&mut self, now_us: u64, node: EcoString, is_whole: bool) {
        let was_whole = self.changes.shift_remove(&node).is_some_and(|change| change.is_whole);
        let change = RecentChange { at_us: now_us, is_whole: is_whole || was_whole };
        self.changes.insert(node, change);
    }

    /// The newest of the recent changes, no older than a time.
    pub fn since<'a>(
        &mut self,
        now_us: u64,
        since_us: u64,
        most: usize,
        members: &'a MemberTable,
    ) -> impl Iterator<Item = MemberNews> + use<'_, 'a> {
        self.changes.retain(|_, change| now_us < change.at_us + RECENT_US);
        let newest = self.changes.iter().rev().take(most);
        let wanted = newest.take_while(move |(_, change)| change.at_us >= since_us);
        wanted.filter_map(|(node, change)| {
            let member = members.member(node)?;
            Some(match change.is_whole {
                true => MemberNews::whole(member),
                false => MemberNews::brief(member),
            })
        })
    }
}
