//! Bounds the memory of the answers that a node holds.

use indexmap::IndexMap;

/// The id of an answer that a node holds.
pub type AnswerId = u64;

/// The limits of the answers that a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// The maximum size of the body of one answer, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum size of all bodies together that are being read or wait to be delivered, in bytes;
    /// at least `max_answer_bytes`.
    pub max_total_bytes: usize,
}

/// The memory of the answers that a node holds.
///
/// Prevents a replica that sends bytes without end, or many that do at once, from taking the memory
/// of the node. When all answers together are over the limit, the largest of those that are being
/// read is dropped, as the others are not the cause.
#[derive(Debug)]
pub struct AnswerMemory {
    limits: AnswerLimits,
    /// The bytes that are reserved for each answer that is being read.
    reading: IndexMap<AnswerId, usize>,
    /// The bytes of complete answers that wait to be delivered.
    complete: IndexMap<AnswerId, usize>,
    /// The bytes of all answers; the sum of the two maps.
    total_bytes: usize,
    next_id: AnswerId,
}

/// Whether an answer may take more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerRoom {
    /// The memory is reserved.
    Granted {
        /// The answers that are dropped for it.
        dropped: Vec<AnswerId>,
    },
    /// The answer is larger than one may be.
    TooLarge,
    /// All answers together are too large, and no other is larger than this one, which is dropped.
    NoRoom {
        /// The other answers that are dropped.
        dropped: Vec<AnswerId>,
    },
}

impl AnswerMemory {
    /// Creates a memory that holds nothing.
    pub fn new(limits: AnswerLimits) -> Self {
        let (reading, complete) = (IndexMap::new(), IndexMap::new());
        Self { limits, reading, complete, total_bytes: 0, next_id: 0 }
    }

    /// Returns the limits.
    pub fn limits(&self) -> AnswerLimits {
        self.limits
    }

    /// Replaces the limits; answers that are held already are kept.
    pub fn set_limits(&mut self, limits: AnswerLimits) {
        self.limits = limits;
    }

    /// Returns the bytes of all answers.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Begins an answer, which holds nothing yet.
    pub fn begin(&mut self) -> AnswerId {
        let id = self.next_id;
        self.next_id += 1;
        self.reading.insert(id, 0);
        id
    }

    /// Whether an answer can take `bytes` in all while the others keep what they hold.
    pub fn has_room(&self, id: AnswerId, bytes: usize) -> bool {
        let held = self.reading.get(&id).copied().unwrap_or(0);
        self.total_bytes - held + bytes <= self.limits.max_total_bytes
    }

    /// Reserves memory for an answer that is being read, `bytes` in all.
    ///
    /// Must not be called for an answer that was dropped.
    pub fn reserve(&mut self, id: AnswerId, bytes: usize) -> AnswerRoom {
        if bytes > self.limits.max_answer_bytes {
            return AnswerRoom::TooLarge;
        }
        let held = self.reading.get(&id).copied().unwrap_or(0);
        let mut dropped = Vec::new();
        while !self.has_room(id, bytes) {
            let others = self.reading.iter().filter(|(other, _)| **other != id);
            let largest = others.max_by_key(|(_, held)| **held);
            let Some(largest) = largest.filter(|(_, held)| **held > bytes).map(|(id, _)| *id)
            else {
                self.end(id);
                return AnswerRoom::NoRoom { dropped };
            };
            self.end(largest);
            dropped.push(largest);
        }
        self.reading.insert(id, bytes);
        self.total_bytes = self.total_bytes - held + bytes;
        AnswerRoom::Granted { dropped }
    }

    /// Records that an answer is complete; it keeps its memory until it ends.
    pub fn complete(&mut self, id: AnswerId) {
        if let Some(held) = self.reading.swap_remove(&id) {
            self.complete.insert(id, held);
        }
    }

    /// Records that an answer was delivered or given up, and frees its memory; does nothing if it was
    /// dropped.
    pub fn end(&mut self, id: AnswerId) {
        let held = self.reading.swap_remove(&id).or_else(|| self.complete.swap_remove(&id));
        self.total_bytes -= held.unwrap_or(0);
    }
}
