//! Changes of members that peers may not have heard of yet.

use ecow::EcoString;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::SliceRandom;

use super::datagram::MemberNews;
use crate::{Member, MemberTable};

/// How long a change is recent, in microseconds; what spreads later is found by digests.
const RECENT_US: u64 = 5_000_000;

/// The members that changed lately.
#[derive(Debug, Default)]
pub struct RecentNews {
    changes: IndexMap<EcoString, RecentChange>,
}

#[derive(Debug, Clone, Copy)]
struct RecentChange {
    until_us: u64,
    /// Whether peers may not know the member at all.
    is_whole: bool,
}

impl RecentNews {
    /// Notes a change; `is_whole` if more than the member's state changed.
    pub fn note(&mut self, now_us: u64, node: EcoString, is_whole: bool) {
        let was_whole = self.changes.get(&node).is_some_and(|change| change.is_whole);
        let change = RecentChange { until_us: now_us + RECENT_US, is_whole: is_whole || was_whole };
        self.changes.insert(node, change);
    }

    /// The recent changes, in a random order so that peers hear different ones first.
    pub fn pick<'a>(
        &mut self,
        now_us: u64,
        members: &'a MemberTable,
        rng: &mut impl Rng,
    ) -> impl Iterator<Item = MemberNews> + 'a {
        self.changes.retain(|_, change| now_us < change.until_us);
        let known = self.changes.iter().filter_map(|(node, change)| {
            let member = members.member(node)?;
            Some((change.is_whole, member))
        });
        let mut picked: Vec<(bool, &'a Member)> = known.collect();
        picked.shuffle(rng);
        picked.into_iter().map(|(is_whole, member)| match is_whole {
            true => MemberNews::whole(member),
            false => MemberNews::brief(member),
        })
    }
}
