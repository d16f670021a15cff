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

use self::log::{ClaimLog, KeyHolder, log_prefix, parse_segment, segment_to_json};
use crate::hash_name;

/// How many buckets there are; with the pace of each this bounds the writes of the whole fleet.
const BUCKET_COUNT: u32 = 16;

/// How often a turned epoch is tried before what waits is refused.
const MAX_WRITE_FAILURES: u32 = 3;

/// The most that a batch holds, in bytes; far below the store's largest value.
const MAX_BATCH_BYTES: usize = 256_000;

/// What a record takes besides its key and text, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// The bucket of a request key.
pub fn claim_bucket_of(key: &str) -> u32 {
    (hash_name(key) % u64::from(BUCKET_COUNT)) as u32
}

/// One bucket at its home, or at a node that could not reach the home.
#[derive(Debug)]
pub struct ClaimBucket {
    bucket: u32,
    /// Unique for each life of a bucket, to make batch names from.
    instance_id: EcoString,
    policy: ClaimPolicy,
    epoch: u64,
    /// The last epoch's log; sealed before `current` is written.
    previous_log: ClaimLog,
    current_log: ClaimLog,
    /// Records to write, with the ticket of each claim that is still awaited.
    pending: Vec<PendingRecord>,
    /// The batch whose write runs or is not settled yet.
    batch: Option<ClaimBatch>,
    /// The call that runs.
    call_in_flight: Option<StoreCall>,
    next_batch_number: u64,
    next_write_us: u64,
    /// When the first ending that waits came.
    oldest_ending_us: Option<u64>,
    /// The store is left alone until then.
    retry_at_us: u64,
    consecutive_failures: u32,
    effects: Vec<ClaimEffect>,
}

#[derive(Debug)]
struct PendingRecord {
    record: ClaimRecord,
    claim_id: Option<ClaimId>,
}

#[derive(Debug)]
struct ClaimBatch {
    segment: ClaimSegment,
    claim_ids: Vec<Option<ClaimId>>,
    /// Whether its write may have taken effect and must be looked for.
    is_unconfirmed: bool,
}

/// What a bucket does next.
enum NextAction {
    Call(StoreCall),
    WriteBatch,
    Wait,
}

impl ClaimBucket {
    /// A bucket that has read nothing yet; `life` must be unique.
    pub fn new(bucket: u32, instance_id: EcoString, policy: ClaimPolicy, wall_ms: u64) -> Self {
        let epoch = wall_ms / policy.epoch_ms;
        Self {
            bucket,
            instance_id,
            policy,
            epoch,
            previous_log: ClaimLog::new(bucket, epoch.saturating_sub(1)),
            current_log: ClaimLog::new(bucket, epoch),
            pending: Vec::new(),
            batch: None,
            call_in_flight: None,
            next_batch_number: 0,
            next_write_us: 0,
            oldest_ending_us: None,
            retry_at_us: 0,
            consecutive_failures: 0,
            effects: Vec::new(),
        }
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, wall_ms: u64, event: ClaimEvent) -> Vec<ClaimEffect> {
        match event {
            ClaimEvent::Claim { claim_id: ticket, request } => self.claim(now_us, ticket, request),
            ClaimEvent::RecordEnding(request) => {
                self.oldest_ending_us.get_or_insert(now_us);
                self.queue_ending(request);
            }
            ClaimEvent::CallFinished(result) => self.handle_result(now_us, result),
            ClaimEvent::Timer => {}
        }
        self.advance_epoch(wall_ms);
        self.start_next_call(now_us);
        std::mem::take(&mut self.effects)
    }

    /// When the bucket wants its next [`ClaimEvent::Timer`].
    pub fn next_timer_us(&self) -> Option<u64> {
        let has_work = !self.pending.is_empty() || self.batch.is_some();
        (has_work && self.call_in_flight.is_none())
            .then(|| self.retry_at_us.max(self.write_due_us()))
    }

    /// Answers a claim from what is known, or lets it wait for the next write.
    fn claim(&mut self, now_us: u64, ticket: ClaimId, request: ClaimRequest) {
        if let Some(holder) = self.holder(&request.key) {
            let answer = holder.answer_claim(&request.token);
            return self.effects.push(ClaimEffect::Answer { claim_id: ticket, answer });
        }
        if now_us < self.retry_at_us {
            let answer = ClaimAnswer::Unavailable;
            return self.effects.push(ClaimEffect::Answer { claim_id: ticket, answer });
        }
        let record = ClaimRecord::Claim(request);
        self.pending.push(PendingRecord { record, claim_id: Some(ticket) });
    }

    /// Lets an ending wait for the next write; one for a claim that was not written drops it.
    fn queue_ending(&mut self, request: RecordRequest) {
        let is_its_claim = |waiting: &PendingRecord| matches!(&waiting.record, ClaimRecord::Claim(claim) if claim.token == request.token);
        if request.ending == Ending::NotRun
            && let Some(index) = self.pending.iter().position(is_its_claim)
        {
            let ticket = self.pending.remove(index).claim_id;
            let answer = ClaimAnswer::Unavailable;
            let refuse = |ticket| ClaimEffect::Answer { claim_id: ticket, answer };
            return self.effects.extend(ticket.map(refuse));
        }
        self.pending.push(PendingRecord { record: ClaimRecord::Ending(request), claim_id: None });
    }

    /// Who holds a key, in either epoch.
    fn holder(&self, key: &str) -> Option<&KeyHolder> {
        let holders = [&self.current_log, &self.previous_log].map(|log| log.holders.get(key));
        holders.into_iter().flatten().find(|holder| holder.ending != Some(Ending::NotRun))
    }

    /// Goes over to the logs of the wall clock's epoch, once nothing is unsettled.
    fn advance_epoch(&mut self, wall_ms: u64) {
        // A node whose clock is ahead may have sealed this epoch's log already.
        let sealed_to = self.epoch + u64::from(self.current_log.is_sealed);
        let epoch = sealed_to.max(wall_ms / self.policy.epoch_ms);
        if epoch <= self.epoch || self.call_in_flight.is_some() || self.batch.is_some() {
            return;
        }
        let is_next = epoch == self.epoch + 1;
        self.epoch = epoch;
        let last = std::mem::replace(&mut self.current_log, ClaimLog::new(self.bucket, epoch));
        self.previous_log = if is_next { last } else { ClaimLog::new(self.bucket, epoch - 1) };
        if epoch >= 2 {
            let prefix = log_prefix(self.bucket, epoch - 2);
            self.effects.push(ClaimEffect::Purge { prefix });
        }
    }

    /// Starts the next call, if one is wanted and none runs.
    fn start_next_call(&mut self, now_us: u64) {
        if self.call_in_flight.is_some() {
            return;
        }
        let call = match self.next_action(now_us) {
            NextAction::Wait => return,
            NextAction::Call(call) => call,
            NextAction::WriteBatch => self.write_batch(now_us),
        };
        self.call_in_flight = Some(call.clone());
        self.effects.push(ClaimEffect::Call(call));
    }

    fn next_action(&self, now_us: u64) -> NextAction {
        let has_work = !self.pending.is_empty() || self.batch.is_some();
        if !has_work || now_us < self.retry_at_us {
            return NextAction::Wait;
        }
        if !self.previous_log.is_loaded {
            return NextAction::Call(self.previous_log.list_call());
        }
        if !self.previous_log.is_sealed {
            return NextAction::Call(self.seal_call());
        }
        if !self.current_log.is_loaded {
            return NextAction::Call(self.current_log.list_call());
        }
        if self.batch.as_ref().is_some_and(|batch| batch.is_unconfirmed) {
            return NextAction::Call(StoreCall::Read { key: self.current_log.next_key() });
        }
        if now_us < self.write_due_us() { NextAction::Wait } else { NextAction::WriteBatch }
    }

    /// When what waits may be written: endings alone wait a while for a claim to go with.
    fn write_due_us(&self) -> u64 {
        let has_claim = self.pending.iter().any(|one| one.claim_id.is_some());
        let ending_at_us =
            self.oldest_ending_us.map_or(0, |since| since + self.policy.ending_delay_us);
        let wait_us = if has_claim || self.batch.is_some() { 0 } else { ending_at_us };
        self.next_write_us.max(wait_us)
    }

    /// The write that seals the last epoch's log.
    fn seal_call(&self) -> StoreCall {
        let batch = eco_format!("{}-seal", self.instance_id);
        let segment = ClaimSegment { batch, records: vec![ClaimRecord::Sealed] };
        StoreCall::Write { key: self.previous_log.next_key(), value: segment_to_json(&segment) }
    }

    /// The write of everything that waits, or of the batch that has not been settled.
    fn write_batch(&mut self, now_us: u64) -> StoreCall {
        let saved_us =
            now_us.saturating_sub((self.policy.write_burst - 1) * self.policy.write_interval_us);
        self.next_write_us = self.next_write_us.max(saved_us) + self.policy.write_interval_us;
        self.oldest_ending_us = None;
        if self.batch.is_none() {
            self.next_batch_number += 1;
            let waiting: Vec<PendingRecord> =
                self.pending.drain(..next_batch_len(&self.pending)).collect();
            let (records, tickets) =
                waiting.into_iter().map(|waiting| (waiting.record, waiting.claim_id)).unzip();
            let batch = eco_format!("{}-{}", self.instance_id, self.next_batch_number);
            let segment = ClaimSegment { batch, records };
            self.batch = Some(ClaimBatch { segment, claim_ids: tickets, is_unconfirmed: false });
        }
        let segment = self.batch.as_ref().map(|batch| segment_to_json(&batch.segment));
        StoreCall::Write { key: self.current_log.next_key(), value: segment.unwrap_or_default() }
    }

    /// Takes the result of the call that ran.
    fn handle_result(&mut self, now_us: u64, result: StoreResult) {
        let Some(call) = self.call_in_flight.take() else { return };
        if result == StoreResult::Failed {
            return self.handle_failure(now_us, &call);
        }
        self.consecutive_failures = 0;
        let is_previous = !self.previous_log.is_sealed || !self.previous_log.is_loaded;
        match (call, result) {
            (StoreCall::List { .. }, StoreResult::Listed(texts)) => {
                let log = if is_previous { &mut self.previous_log } else { &mut self.current_log };
                texts.iter().for_each(|text| log.apply_segment(text));
                log.is_loaded = true;
                self.answer_held_claims();
            }
            (StoreCall::Write { value: text, .. }, StoreResult::Written) => {
                self.apply_stored_segment(&text);
            }
            // Somebody else wrote this segment; it is read like one whose answer was lost.
            (StoreCall::Write { key, .. }, StoreResult::Conflict) => {
                let call = StoreCall::Read { key };
                self.call_in_flight = Some(call.clone());
                self.effects.push(ClaimEffect::Call(call));
            }
            (StoreCall::Read { .. }, StoreResult::Found(text)) => self.apply_stored_segment(&text),
            (StoreCall::Read { .. }, StoreResult::Absent) => {
                if let Some(batch) = &mut self.batch {
                    batch.is_unconfirmed = false;
                }
            }
            (_, _) => self.handle_failure(now_us, &StoreCall::List { prefix: EcoString::new() }),
        }
    }

    /// Applies a segment that is in the store, whoever wrote it.
    fn apply_stored_segment(&mut self, text: &EcoString) {
        if !self.previous_log.is_sealed {
            return self.previous_log.apply_segment(text);
        }
        self.current_log.apply_segment(text);
        let is_ours = self
            .batch
            .as_ref()
            .zip(parse_segment(text))
            .is_some_and(|(batch, segment)| batch.segment.batch == segment.batch);
        if is_ours {
            self.answer_batch();
        } else if let Some(batch) = &mut self.batch {
            batch.is_unconfirmed = false;
        }
        self.answer_held_claims();
    }

    /// Answers the claims of a batch that is in the log now.
    ///
    /// A claim whose entry was told "unavailable" meanwhile runs nowhere, so its key is freed.
    fn answer_batch(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        for (record, ticket) in batch.segment.records.into_iter().zip(batch.claim_ids) {
            let ClaimRecord::Claim(request) = record else { continue };
            let ClaimRequest { key, token, .. } = request;
            let holder = self.holder(&key).cloned();
            let answer = match &holder {
                // A sealed log took no claims; they wait for the next epoch's.
                None => ClaimAnswer::Unavailable,
                Some(holder) => holder.answer_claim(&token),
            };
            match ticket {
                Some(ticket) => self.effects.push(ClaimEffect::Answer { claim_id: ticket, answer }),
                None if answer == ClaimAnswer::Granted => {
                    self.queue_ending(RecordRequest { key, token, ending: Ending::NotRun });
                }
                None => {}
            }
        }
    }

    /// Answers waiting claims whose key turned out to be held.
    fn answer_held_claims(&mut self) {
        let waiting = std::mem::take(&mut self.pending);
        for one in waiting {
            let held = match (&one.record, one.claim_id) {
                (ClaimRecord::Claim(request), Some(ticket)) => self
                    .holder(&request.key)
                    .map(|holder| (ticket, holder.answer_claim(&request.token))),
                _ => None,
            };
            match held {
                Some((ticket, answer)) => {
                    self.effects.push(ClaimEffect::Answer { claim_id: ticket, answer });
                }
                None => self.pending.push(one),
            }
        }
    }

    /// Settles a write whose answer was lost, or refuses what waits while the store is away.
    fn handle_failure(&mut self, now_us: u64, call: &StoreCall) {
        self.consecutive_failures += 1;
        if matches!(call, StoreCall::Write { .. }) {
            if let Some(batch) = &mut self.batch {
                batch.is_unconfirmed = true;
            }
            if self.consecutive_failures < MAX_WRITE_FAILURES {
                return;
            }
        }
        self.retry_at_us = now_us + self.policy.retry_delay_us;
        let batch = self.batch.iter_mut().flat_map(|batch| &mut batch.claim_ids);
        let refused: Vec<ClaimId> = batch.filter_map(Option::take).collect();
        let (claims, endings): (Vec<PendingRecord>, Vec<PendingRecord>) =
            std::mem::take(&mut self.pending).into_iter().partition(|one| one.claim_id.is_some());
        self.pending = endings;
        for ticket in refused.into_iter().chain(claims.into_iter().filter_map(|one| one.claim_id)) {
            let answer = ClaimAnswer::Unavailable;
            self.effects.push(ClaimEffect::Answer { claim_id: ticket, answer });
        }
    }
}

/// How many records go in the next batch: as many as its size allows, and one at least.
fn next_batch_len(waiting: &[PendingRecord]) -> usize {
    let mut bytes = 0;
    let fits = |one: &&PendingRecord| {
        bytes += record_bytes(&one.record);
        bytes <= MAX_BATCH_BYTES
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
