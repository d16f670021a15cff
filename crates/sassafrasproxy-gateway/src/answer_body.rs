//! Reads the bodies of replicas' answers within the memory of the node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use indexmap::IndexMap;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::AnswerSettings;
use sassafrasproxy_core::{
    AnswerId, AnswerLimits, AnswerMemory, AnswerRoom, DeliveryId, StalledDeliveries,
};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The smallest memory that is reserved for a body whose length is not given, in bytes.
const MIN_BODY_BYTES: usize = 1_024;

/// The largest memory that is reserved for a body before its bytes arrive, in bytes.
const MAX_ANNOUNCED_BYTES: usize = 65_536;

/// The maximum time for which an answer waits for room that deliveries are given up for.
///
/// Their connections are closed by tasks of the same thread.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(20);

/// The reason why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke before the body was complete.
    #[error("the connection broke during the answer: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is larger than that of one answer may be.
    #[error("the answer is larger than {max_bytes} bytes, the limit `answers.max_bytes`")]
    TooLarge {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The answer was the largest while all answers together were too large.
    #[error(
        "the answers in flight are larger than {max_bytes} bytes, the limit \
         `answers.max_in_flight_bytes`, and this one is the largest"
    )]
    NoRoom {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// The memory of the answers of replicas, which is freed as they are delivered.
#[derive(Debug, Clone)]
pub struct AnswerStore {
    clock: Clock,
    shared: Arc<Mutex<SharedMemory>>,
    /// Notified when an answer has ended.
    freed: Arc<Notify>,
}

#[derive(Debug)]
struct SharedMemory {
    memory: AnswerMemory,
    /// Notified when an answer that is being read is dropped for others.
    dropped: IndexMap<AnswerId, Arc<Notify>>,
    stalled: StalledDeliveries,
    /// Notified when a delivery is given up.
    given_up: IndexMap<DeliveryId, Arc<Notify>>,
    next_delivery: DeliveryId,
}

impl AnswerStore {
    /// Creates a store that holds nothing.
    pub fn new(clock: Clock, settings: AnswerSettings) -> Self {
        let shared = SharedMemory {
            memory: AnswerMemory::new(answer_limits(settings)),
            dropped: IndexMap::new(),
            stalled: StalledDeliveries::default(),
            given_up: IndexMap::new(),
            next_delivery: 0,
        };
        Self { clock, shared: Arc::new(Mutex::new(shared)), freed: Arc::default() }
    }

    /// Adds a connection on which answers are delivered, until [`remove_delivery`](Self::remove_delivery).
    ///
    /// The returned notification comes when its answer is given up.
    pub fn add_delivery(&self) -> (DeliveryId, Arc<Notify>) {
        let mut shared = self.lock();
        let id = shared.next_delivery;
        shared.next_delivery += 1;
        let given_up = Arc::new(Notify::new());
        shared.given_up.insert(id, given_up.clone());
        (id, given_up)
    }

    /// Removes a connection that has ended.
    pub fn remove_delivery(&self, id: DeliveryId) {
        let mut shared = self.lock();
        shared.stalled.end_stall(id);
        shared.given_up.swap_remove(&id);
    }

    /// Records whether the caller of a connection takes nothing at this moment.
    pub fn record_stall(&self, id: DeliveryId, is_stalled: bool) {
        let now_us = self.clock.now_us();
        let mut shared = self.lock();
        if is_stalled {
            shared.stalled.record_stall(now_us, id);
        } else {
            shared.stalled.end_stall(id);
        }
    }

    /// Gives up the deliveries that stall if an answer finds no room; returns whether there are any.
    fn give_up_stalled(&self, id: AnswerId, bytes: usize) -> bool {
        let now_us = self.clock.now_us();
        let shared = self.lock();
        if shared.memory.has_room(id, bytes) {
            return false;
        }
        let overdue = shared.stalled.overdue(now_us);
        overdue.iter().filter_map(|id| shared.given_up.get(id)).for_each(|up| up.notify_one());
        !overdue.is_empty()
    }

    /// Applies changed settings.
    pub fn set_settings(&self, settings: AnswerSettings) {
        self.lock().memory.set_limits(answer_limits(settings));
    }

    /// Returns the current limits.
    pub fn limits(&self) -> AnswerLimits {
        self.lock().memory.limits()
    }

    /// Reads a whole body; its memory counts until the returned bytes and their copies are dropped.
    ///
    /// Returns an error as soon as the body is too large, or announces that it will be. The caller
    /// must then close the connection.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let announced = body.size_hint().exact();
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        let mut held = HeldBody::begin(self);
        match announced.map(usize::try_from) {
            Some(Ok(bytes)) if bytes <= self.limits().max_answer_bytes => {
                held.reserve(bytes.min(MAX_ANNOUNCED_BYTES)).await?;
            }
            Some(_) => return Err(self.too_large()),
            None => {}
        }
        let dropped = held.dropped.clone();
        loop {
            let frame = tokio::select! {
                biased;
                () = dropped.notified() => return Err(self.no_room()),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(held.complete()) };
            if let Ok(data) = frame?.into_data() {
                held.append(&data).await?;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedMemory> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn too_large(&self) -> BodyError {
        BodyError::TooLarge { max_bytes: self.limits().max_answer_bytes }
    }

    fn no_room(&self) -> BodyError {
        BodyError::NoRoom { max_bytes: self.limits().max_total_bytes }
    }
}

/// A body that is being read or waits to be delivered; its memory is freed on drop.
struct HeldBody {
    store: AnswerStore,
    id: AnswerId,
    /// Notified when the answer is dropped for others.
    dropped: Arc<Notify>,
    /// The bytes so far; the capacity is what is reserved.
    bytes: Vec<u8>,
}

impl HeldBody {
    fn begin(store: &AnswerStore) -> Self {
        let dropped = Arc::new(Notify::new());
        let mut shared = store.lock();
        let id = shared.memory.begin();
        shared.dropped.insert(id, dropped.clone());
        drop(shared);
        Self { store: store.clone(), id, dropped, bytes: Vec::new() }
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let max_bytes = self.store.limits().max_answer_bytes;
            let doubled = self.bytes.capacity().saturating_mul(2).max(MIN_BODY_BYTES);
            self.reserve(doubled.min(max_bytes).max(needed)).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Waits for a moment for room if other answers are given up for it.
    async fn await_room(&self, capacity: usize) {
        if !self.store.give_up_stalled(self.id, capacity) {
            return;
        }
        let has_room = async {
            while !self.store.lock().memory.has_room(self.id, capacity) {
                self.store.freed.notified().await;
            }
        };
        // Without room in time, the answers that are being read make it.
        let _ = timeout(MAX_ROOM_WAIT, has_room).await;
    }

    /// Reserves memory, `capacity` bytes in all.
    async fn reserve(&mut self, capacity: usize) -> Result<(), BodyError> {
        self.await_room(capacity).await;
        let mut shared = self.store.lock();
        let room = shared.memory.reserve(self.id, capacity);
        let (dropped, is_granted) = match room {
            AnswerRoom::Granted { dropped } => (dropped, true),
            AnswerRoom::NoRoom { dropped } => (dropped, false),
            AnswerRoom::TooLarge => {
                drop(shared);
                return Err(self.store.too_large());
            }
        };
        for id in dropped {
            if let Some(notify) = shared.dropped.swap_remove(&id) {
                notify.notify_one();
            }
        }
        drop(shared);
        if !is_granted {
            return Err(self.store.no_room());
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the bytes, whose memory counts until they are dropped.
    fn complete(self) -> Bytes {
        let mut shared = self.store.lock();
        shared.memory.complete(self.id);
        shared.dropped.swap_remove(&self.id);
        drop(shared);
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut shared = self.store.lock();
        shared.memory.end(self.id);
        shared.dropped.swap_remove(&self.id);
        drop(shared);
        self.store.freed.notify_waiters();
    }
}

fn answer_limits(settings: AnswerSettings) -> AnswerLimits {
    AnswerLimits {
        max_answer_bytes: settings.max_bytes,
        max_total_bytes: settings.max_in_flight_bytes,
    }
}
