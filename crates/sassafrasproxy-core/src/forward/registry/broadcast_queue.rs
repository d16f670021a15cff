//! Queues short reports that gossip passes on to all nodes.

use std::hash::Hash;

use indexmap::IndexMap;

/// The number of datagrams in which a node sends an item.
const TRANSMITS_PER_ITEM: u32 = 24;

/// The time for which an item is kept so that a node does not queue it again, in microseconds.
const RETENTION_US: u64 = 30_000_000;

/// The maximum number of items in a datagram.
const MAX_ITEMS_PER_DATAGRAM: usize = 16;

/// A queue of the items of one kind that this node reported or received.
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
    /// Adds items; those that are already kept are not queued again.
    pub fn enqueue(&mut self, now_us: u64, items: &[T]) {
        self.items.retain(|_, broadcast| now_us < broadcast.expires_us);
        for item in items {
            let broadcast =
                Broadcast { expires_us: now_us + RETENTION_US, transmits_left: TRANSMITS_PER_ITEM };
            self.items.entry(*item).or_insert(broadcast);
        }
    }

    /// Takes the items for one datagram, and counts the datagram against their transmits.
    pub fn take_batch(&mut self, now_us: u64) -> Vec<T> {
        let items = self.items.iter_mut();
        let due = items
            .filter(|(_, broadcast)| broadcast.transmits_left > 0 && now_us < broadcast.expires_us);
        let taken = due.take(MAX_ITEMS_PER_DATAGRAM).map(|(item, broadcast)| {
            broadcast.transmits_left -= 1;
            *item
        });
        taken.collect()
    }
}
