//! What one node saw, on its way to all nodes.

use std::hash::Hash;

use indexmap::IndexMap;

/// How many of a node's datagrams carry a piece of news.
const TRANSMITS_PER_ITEM: u32 = 24;

/// How long a piece of news is remembered, in microseconds, so that it is passed on once.
const RETENTION_US: u64 = 30_000_000;

/// How many pieces of news a datagram carries at the most.
const MAX_ITEMS_PER_DATAGRAM: usize = 16;

/// The news of one kind that this node saw or heard of.
#[derive(Debug)]
pub struct BroadcastQueue<T> {
    items: IndexMap<T, Broadcast>,
}

impl<T> Default for BroadcastQueue<T> {
    fn default() -> Self {
        Self { items: IndexMap::new() }
    }
}

#[derive(Debug, Clone, Copy)]
struct Broadcast {
    expires_us: u64,
    transmits_left: u32,
}

impl<T: Copy + Eq + Hash> BroadcastQueue<T> {
    /// Takes news in; what is known is not passed on again.
    pub fn enqueue(&mut self, now_us: u64, heard: &[T]) {
        self.items.retain(|_, passing| now_us < passing.expires_us);
        for one in heard {
            let passing =
                Broadcast { expires_us: now_us + RETENTION_US, transmits_left: TRANSMITS_PER_ITEM };
            self.items.entry(*one).or_insert(passing);
        }
    }

    /// The news for one datagram.
    pub fn take_batch(&mut self, now_us: u64) -> Vec<T> {
        let passing = self.items.iter_mut();
        let due = passing.filter(|(_, one)| one.transmits_left > 0 && now_us < one.expires_us);
        let taken = due.take(MAX_ITEMS_PER_DATAGRAM).map(|(news, one)| {
            one.transmits_left -= 1;
            *news
        });
        taken.collect()
    }
}
