//! Claims on request keys, so that a non-idempotent request runs at most once.
//!
//! Each bucket of keys has a log in the platform's store for each epoch. A segment of the log is
//! written with "must not exist", so that whoever writes has read all segments before, and all
//! nodes see the same records in the same order: the first claim of a key holds it. That is right
//! whatever nodes believe of each other; one home for each bucket only makes it cheap, since
//! claims that wait while a write runs go together in the next.
//!
//! An epoch's first segment is written only after the last epoch's log was sealed by a record of
//! its own. Guards against nodes whose wall clocks differ at the turn of an epoch: a late writer
//! finds the seal, so that no key can be claimed once in each.

mod log;
mod message;

use ecow::{EcoString, eco_format};
use sassafrasproxy_wire::{
    ClaimAnswer, ClaimRecord, ClaimRequest, ClaimSegment, Ending, RecordRequest,
};

pub use self::message::*;

use self::log::{Holder, Log, log_prefix, read_segment, to_json};
use crate::hash_name;

/// How many buckets there are; with the pace of each this bounds the writes of the whole fleet.
const BUCKETS: u32 = 16;

/// How often a turned epoch is tried before what waits is refused.
const MAX_RETRIES: u32 = 3;

/// The most that a batch holds, in bytes; far below the store's largest value.
const BATCH_BYTES: usize = 256_000;

/// What a record takes besides its key and text, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// The bucket of a request key.
pub fn bucket_of(key: &str) -> u32 {
    (hash_name(key) % u64::from(BUCKETS)) as u32
}

/// One bucket at its home, or at a node that could not reach the home.
#[derive(Debug)]
pub struct ClaimBucket {
    bucket: u32,
    /// Unique for each life of a bucket, to make batch names from.
    life: EcoString,
    policy: ClaimPolicy,
    epoch: u64,
    /// The last epoch's log; sealed before `current` is written.
    previous: Log,
    current: Log,
    /// Records to write, with the ticket of each claim that is still awaited.
    waiting: Vec<Waiting>,
    /// The batch whose write runs or is not settled yet.
    batch: Option<Batch>,
    /// The call that runs.
    calling: Option<StoreCall>,
    next_batch: u64,
    next_write_us: u64,
    /// When the first ending that waits came.
    ending_since_us: Option<u64>,
    /// The store is left alone until then.
    retry_at_us: u64,
    failures: u32,
    effects: Vec<ClaimEffect>,
}

#[derive(Debug)]
struct Waiting {
    record: ClaimRecord,
    ticket: Option<Ticket>,
}

#[derive(Debug)]
struct Batch {
    segment: ClaimSegment,
    tickets: Vec<Option<Ticket>>,
    /// Whether its write may have taken effect and must be looked for.
    is_unsettled: bool,
}

/// What a bucket does next.
enum Next {
    Call(StoreCall),
    WriteBatch,
    Wait,
}

impl ClaimBucket {
    /// A bucket that has read nothing yet; `life` must be unique.
    pub fn new(bucket: u32, life: EcoString, policy: ClaimPolicy, wall_ms: u64) -> Self {
        let epoch = wall_ms / policy.epoch_ms;
        Self {
            bucket,
            life,
            policy,
            epoch,
            previous: Log::new(bucket, epoch.saturating_sub(1)),
            current: Log::new(bucket, epoch),
            waiting: Vec::new(),
            batch: None,
            calling: None,
            next_batch: 0,
            next_write_us: 0,
            ending_since_us: None,
            retry_at_us: 0,
            failures: 0,
            effects: Vec::new(),
        }
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, wall_ms: u64, event: ClaimEvent) -> Vec<ClaimEffect> {
        match event {
            ClaimEvent::Claim { ticket, request } => self.claim(now_us, ticket, request),
            ClaimEvent::Record(request) => {
                self.ending_since_us.get_or_insert(now_us);
                self.record(request);
            }
            ClaimEvent::Called(result) => self.called(now_us, result),
            ClaimEvent::Timer => {}
        }
        self.turn_epoch(wall_ms);
        self.advance(now_us);
        std::mem::take(&mut self.effects)
    }

    /// When the bucket wants its next [`ClaimEvent::Timer`].
    pub fn wake_us(&self) -> Option<u64> {
        let has_work = !self.waiting.is_empty() || self.batch.is_some();
        (has_work && self.calling.is_none()).then(|| self.retry_at_us.max(self.write_at_us()))
    }

    /// Answers a claim from what is known, or lets it wait for the next write.
    fn claim(&mut self, now_us: u64, ticket: Ticket, request: ClaimRequest) {
        if let Some(holder) = self.holder(&request.key) {
            let answer = holder.answer(&request.token);
            return self.effects.push(ClaimEffect::Answer { ticket, answer });
        }
        if now_us < self.retry_at_us {
            let answer = ClaimAnswer::Unavailable;
            return self.effects.push(ClaimEffect::Answer { ticket, answer });
        }
        let record = ClaimRecord::Claim(request);
        self.waiting.push(Waiting { record, ticket: Some(ticket) });
    }

    /// Lets an ending wait for the next write; one for a claim that was not written drops it.
    fn record(&mut self, request: RecordRequest) {
        let is_its_claim = |waiting: &Waiting| matches!(&waiting.record, ClaimRecord::Claim(claim) if claim.token == request.token);
        if request.ending == Ending::NotRun
            && let Some(index) = self.waiting.iter().position(is_its_claim)
        {
            let ticket = self.waiting.remove(index).ticket;
            let answer = ClaimAnswer::Unavailable;
            let refuse = |ticket| ClaimEffect::Answer { ticket, answer };
            return self.effects.extend(ticket.map(refuse));
        }
        self.waiting.push(Waiting { record: ClaimRecord::Ending(request), ticket: None });
    }

    /// Who holds a key, in either epoch.
    fn holder(&self, key: &str) -> Option<&Holder> {
        let holders = [&self.current, &self.previous].map(|log| log.holders.get(key));
        holders.into_iter().flatten().find(|holder| holder.ending != Some(Ending::NotRun))
    }

    /// Goes over to the logs of the wall clock's epoch, once nothing is unsettled.
    fn turn_epoch(&mut self, wall_ms: u64) {
        // A node whose clock is ahead may have sealed this epoch's log already.
        let sealed_to = self.epoch + u64::from(self.current.is_sealed);
        let epoch = sealed_to.max(wall_ms / self.policy.epoch_ms);
        if epoch <= self.epoch || self.calling.is_some() || self.batch.is_some() {
            return;
        }
        let is_next = epoch == self.epoch + 1;
        self.epoch = epoch;
        let last = std::mem::replace(&mut self.current, Log::new(self.bucket, epoch));
        self.previous = if is_next { last } else { Log::new(self.bucket, epoch - 1) };
        if epoch >= 2 {
            let prefix = log_prefix(self.bucket, epoch - 2);
            self.effects.push(ClaimEffect::Purge { prefix });
        }
    }

    /// Starts the next call, if one is wanted and none runs.
    fn advance(&mut self, now_us: u64) {
        if self.calling.is_some() {
            return;
        }
        let call = match self.next(now_us) {
            Next::Wait => return,
            Next::Call(call) => call,
            Next::WriteBatch => self.write_batch(now_us),
        };
        self.calling = Some(call.clone());
        self.effects.push(ClaimEffect::Call(call));
    }

    fn next(&self, now_us: u64) -> Next {
        let has_work = !self.waiting.is_empty() || self.batch.is_some();
        if !has_work || now_us < self.retry_at_us {
            return Next::Wait;
        }
        if !self.previous.is_loaded {
            return Next::Call(self.previous.list());
        }
        if !self.previous.is_sealed {
            return Next::Call(self.seal());
        }
        if !self.current.is_loaded {
            return Next::Call(self.current.list());
        }
        if self.batch.as_ref().is_some_and(|batch| batch.is_unsettled) {
            return Next::Call(StoreCall::Read { key: self.current.next_key() });
        }
        if now_us < self.write_at_us() { Next::Wait } else { Next::WriteBatch }
    }

    /// When what waits may be written: endings alone wait a while for a claim to go with.
    fn write_at_us(&self) -> u64 {
        let has_claim = self.waiting.iter().any(|one| one.ticket.is_some());
        let ending_at_us = self.ending_since_us.map_or(0, |since| since + self.policy.ending_us);
        let wait_us = if has_claim || self.batch.is_some() { 0 } else { ending_at_us };
        self.next_write_us.max(wait_us)
    }

    /// The write that seals the last epoch's log.
    fn seal(&self) -> StoreCall {
        let batch = eco_format!("{}-seal", self.life);
        let segment = ClaimSegment { batch, records: vec![ClaimRecord::Sealed] };
        StoreCall::Write { key: self.previous.next_key(), text: to_json(&segment) }
    }

    /// The write of everything that waits, or of the batch that has not been settled.
    fn write_batch(&mut self, now_us: u64) -> StoreCall {
        let saved_us = now_us.saturating_sub((self.policy.burst - 1) * self.policy.pace_us);
        self.next_write_us = self.next_write_us.max(saved_us) + self.policy.pace_us;
        self.ending_since_us = None;
        if self.batch.is_none() {
            self.next_batch += 1;
            let waiting: Vec<Waiting> = self.waiting.drain(..batch_len(&self.waiting)).collect();
            let (records, tickets) =
                waiting.into_iter().map(|waiting| (waiting.record, waiting.ticket)).unzip();
            let batch = eco_format!("{}-{}", self.life, self.next_batch);
            let segment = ClaimSegment { batch, records };
            self.batch = Some(Batch { segment, tickets, is_unsettled: false });
        }
        let segment = self.batch.as_ref().map(|batch| to_json(&batch.segment));
        StoreCall::Write { key: self.current.next_key(), text: segment.unwrap_or_default() }
    }

    /// Takes the result of the call that ran.
    fn called(&mut self, now_us: u64, result: StoreResult) {
        let Some(call) = self.calling.take() else { return };
        if result == StoreResult::Failed {
            return self.failed(now_us, &call);
        }
        self.failures = 0;
        let is_previous = !self.previous.is_sealed || !self.previous.is_loaded;
        match (call, result) {
            (StoreCall::List { .. }, StoreResult::Listed(texts)) => {
                let log = if is_previous { &mut self.previous } else { &mut self.current };
                texts.iter().for_each(|text| log.apply(text));
                log.is_loaded = true;
                self.answer_known();
            }
            (StoreCall::Write { text, .. }, StoreResult::Written) => self.took_effect(&text),
            // Somebody else wrote this segment; it is read like one whose answer was lost.
            (StoreCall::Write { key, .. }, StoreResult::Conflict) => {
                let call = StoreCall::Read { key };
                self.calling = Some(call.clone());
                self.effects.push(ClaimEffect::Call(call));
            }
            (StoreCall::Read { .. }, StoreResult::Found(text)) => self.took_effect(&text),
            (StoreCall::Read { .. }, StoreResult::Absent) => {
                if let Some(batch) = &mut self.batch {
                    batch.is_unsettled = false;
                }
            }
            (_, _) => self.failed(now_us, &StoreCall::List { prefix: EcoString::new() }),
        }
    }

    /// Applies a segment that is in the store, whoever wrote it.
    fn took_effect(&mut self, text: &EcoString) {
        if !self.previous.is_sealed {
            return self.previous.apply(text);
        }
        self.current.apply(text);
        let is_ours = self
            .batch
            .as_ref()
            .zip(read_segment(text))
            .is_some_and(|(batch, segment)| batch.segment.batch == segment.batch);
        if is_ours {
            self.answer_batch();
        } else if let Some(batch) = &mut self.batch {
            batch.is_unsettled = false;
        }
        self.answer_known();
    }

    /// Answers the claims of a batch that is in the log now.
    ///
    /// A claim whose entry was told "unavailable" meanwhile runs nowhere, so its key is freed.
    fn answer_batch(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        for (record, ticket) in batch.segment.records.into_iter().zip(batch.tickets) {
            let ClaimRecord::Claim(request) = record else { continue };
            let ClaimRequest { key, token, .. } = request;
            let holder = self.holder(&key).cloned();
            let answer = match &holder {
                // A sealed log took no claims; they wait for the next epoch's.
                None => ClaimAnswer::Unavailable,
                Some(holder) => holder.answer(&token),
            };
            match ticket {
                Some(ticket) => self.effects.push(ClaimEffect::Answer { ticket, answer }),
                None if answer == ClaimAnswer::Granted => {
                    self.record(RecordRequest { key, token, ending: Ending::NotRun });
                }
                None => {}
            }
        }
    }

    /// Answers waiting claims whose key turned out to be held.
    fn answer_known(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for one in waiting {
            let held = match (&one.record, one.ticket) {
                (ClaimRecord::Claim(request), Some(ticket)) => {
                    self.holder(&request.key).map(|holder| (ticket, holder.answer(&request.token)))
                }
                _ => None,
            };
            match held {
                Some((ticket, answer)) => {
                    self.effects.push(ClaimEffect::Answer { ticket, answer });
                }
                None => self.waiting.push(one),
            }
        }
    }

    /// Settles a write whose answer was lost, or refuses what waits while the store is away.
    fn failed(&mut self, now_us: u64, call: &StoreCall) {
        self.failures += 1;
        if matches!(call, StoreCall::Write { .. }) {
            if let Some(batch) = &mut self.batch {
                batch.is_unsettled = true;
            }
            if self.failures < MAX_RETRIES {
                return;
            }
        }
        self.retry_at_us = now_us + self.policy.retry_us;
        let batch = self.batch.iter_mut().flat_map(|batch| &mut batch.tickets);
        let refused: Vec<Ticket> = batch.filter_map(Option::take).collect();
        let (claims, endings): (Vec<Waiting>, Vec<Waiting>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|one| one.ticket.is_some());
        self.waiting = endings;
        for ticket in refused.into_iter().chain(claims.into_iter().filter_map(|one| one.ticket)) {
            let answer = ClaimAnswer::Unavailable;
            self.effects.push(ClaimEffect::Answer { ticket, answer });
        }
    }
}

/// How many records go in the next batch: as many as its size allows, and one at least.
fn batch_len(waiting: &[Waiting]) -> usize {
    let mut bytes = 0;
    let fits = |one: &&Waiting| {
        bytes += record_bytes(&one.record);
        bytes <= BATCH_BYTES
    };
    waiting.iter().take_while(fits).count().max(1).min(waiting.len())
}

/// About how long a record is in the store.
fn record_bytes(record: &ClaimRecord) -> usize {
    let text = match record {
        ClaimRecord::Claim(request) => request.key.len(),
        ClaimRecord::Ending(RecordRequest { key, ending, .. }) => match ending {
            Ending::Answered { text: Some(text) } => key.len() + 2 * text.len(),
            _ => key.len(),
        },
        ClaimRecord::Sealed => 0,
    };
    text + RECORD_OVERHEAD_BYTES
}
