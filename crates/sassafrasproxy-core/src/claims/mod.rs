//! Claims on request keys, so that a non-idempotent request runs at most once.
//!
//! Each bucket of keys has one log per epoch in the platform's store. A segment of the log is
//! written under the condition that its key does not exist yet. A writer has therefore read all
//! earlier segments, and all nodes see the same records in the same order. The first claim of a key
//! holds it. This is correct even if nodes disagree on the membership. One home per bucket only
//! reduces the number of writes, because claims that arrive during a write share the next one.
//!
//! The first segment of an epoch is written only after a record has sealed the log of the previous
//! epoch. This guards against nodes whose wall clocks differ when the epoch changes: a late writer
//! finds the seal, so a key can't be claimed once in each epoch.

mod log;
mod message;

use ecow::{EcoString, eco_format};
use sassafrasproxy_wire::{
    ClaimAnswer, ClaimLogRecord, ClaimLogSegment, ClaimRequest, Ending, RecordEndingRequest,
};

pub use self::message::*;

use self::log::{ClaimLog, KeyHolder, log_prefix, parse_segment, segment_to_json};
use crate::hash_name;

/// The number of buckets. Together with the write interval of a bucket it limits the rate of
/// store writes of all nodes.
const BUCKET_COUNT: u32 = 16;

/// The number of consecutive failed writes of a seal after which the pending claims are refused.
///
/// After a failed write of a batch, the bucket first reads the segment's key, and refuses the
/// pending claims if that read fails too.
const MAX_WRITE_FAILURES: u32 = 3;

/// The maximum estimated size of a batch; far below the store's limit for a value.
const MAX_BATCH_BYTES: usize = 256_000;

/// The estimated size of a record without its key and text.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// Returns the bucket of a request key.
pub fn claim_bucket_of(key: &str) -> u32 {
    (hash_name(key) % u64::from(BUCKET_COUNT)) as u32
}

/// The state of one bucket, at its home or at a node that could not reach the home.
#[derive(Debug)]
pub struct ClaimBucket {
    bucket: u32,
    /// The unique id of this bucket instance, used to build unique batch names.
    instance_id: EcoString,
    policy: ClaimPolicy,
    epoch: u64,
    /// The log of the previous epoch; it is sealed before `current_log` is written.
    previous_log: ClaimLog,
    current_log: ClaimLog,
    /// Records to write, with the claim id of each claim that awaits an answer.
    pending: Vec<PendingRecord>,
    /// The batch whose write is in flight or has an unknown result.
    batch: Option<ClaimBatch>,
    /// The store call in flight.
    call_in_flight: Option<StoreCall>,
    next_batch_number: u64,
    next_write_us: u64,
    /// The time at which the oldest ending since the last write was queued.
    oldest_ending_us: Option<u64>,
    /// The time before which no store call is made.
    retry_at_us: u64,
    consecutive_failures: u32,
    effects: Vec<ClaimEffect>,
}

#[derive(Debug)]
struct PendingRecord {
    record: ClaimLogRecord,
    claim_id: Option<ClaimId>,
}

#[derive(Debug)]
struct ClaimBatch {
    segment: ClaimLogSegment,
    claim_ids: Vec<Option<ClaimId>>,
    /// Whether its write failed but may have taken effect, so that the key must be read.
    is_unconfirmed: bool,
}

/// The next action of a bucket.
enum NextAction {
    Call(StoreCall),
    WriteBatch,
    Wait,
}

impl ClaimBucket {
    /// Creates a bucket that has read nothing yet; `instance_id` must be unique.
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

    /// Handles one event and returns the effects to apply, in order.
    pub fn step(&mut self, now_us: u64, wall_ms: u64, event: ClaimEvent) -> Vec<ClaimEffect> {
        match event {
            ClaimEvent::Claim { claim_id, request } => self.claim(now_us, claim_id, request),
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

    /// Returns when the bucket needs its next [`ClaimEvent::Timer`], if at all.
    pub fn next_timer_us(&self) -> Option<u64> {
        let has_work = !self.pending.is_empty() || self.batch.is_some();
        (has_work && self.call_in_flight.is_none())
            .then(|| self.retry_at_us.max(self.write_due_us()))
    }

    /// Answers a claim if its key is held or the store is unavailable, else queues it for the
    /// next write.
    fn claim(&mut self, now_us: u64, claim_id: ClaimId, request: ClaimRequest) {
        if let Some(holder) = self.holder(&request.key) {
            let answer = holder.answer_claim(&request.token);
            return self.effects.push(ClaimEffect::Answer { claim_id, answer });
        }
        if now_us < self.retry_at_us {
            let answer = ClaimAnswer::Unavailable;
            return self.effects.push(ClaimEffect::Answer { claim_id, answer });
        }
        let record = ClaimLogRecord::Claim(request);
        self.pending.push(PendingRecord { record, claim_id: Some(claim_id) });
    }

    /// Queues an ending for the next write.
    ///
    /// An ending `NotRun` for a claim that is still queued removes the claim instead.
    fn queue_ending(&mut self, request: RecordEndingRequest) {
        let is_its_claim = |pending: &PendingRecord| matches!(&pending.record, ClaimLogRecord::Claim(claim) if claim.token == request.token);
        if request.ending == Ending::NotRun
            && let Some(index) = self.pending.iter().position(is_its_claim)
        {
            let claim_id = self.pending.remove(index).claim_id;
            let answer = ClaimAnswer::Unavailable;
            let refuse = |claim_id| ClaimEffect::Answer { claim_id, answer };
            return self.effects.extend(claim_id.map(refuse));
        }
        self.pending
            .push(PendingRecord { record: ClaimLogRecord::Ending(request), claim_id: None });
    }

    /// Returns the holder of a key in the current or previous epoch.
    fn holder(&self, key: &str) -> Option<&KeyHolder> {
        let holders = [&self.current_log, &self.previous_log].map(|log| log.holders.get(key));
        holders.into_iter().flatten().find(|holder| holder.ending != Some(Ending::NotRun))
    }

    /// Switches to the logs of the wall clock's epoch, once no call is in flight and no batch is
    /// left to write.
    fn advance_epoch(&mut self, wall_ms: u64) {
        // A node whose clock is ahead may have sealed this epoch's log already.
        let min_epoch = self.epoch + u64::from(self.current_log.is_sealed);
        let epoch = min_epoch.max(wall_ms / self.policy.epoch_ms);
        if epoch <= self.epoch || self.call_in_flight.is_some() || self.batch.is_some() {
            return;
        }
        let is_next = epoch == self.epoch + 1;
        self.epoch = epoch;
        let previous = std::mem::replace(&mut self.current_log, ClaimLog::new(self.bucket, epoch));
        self.previous_log = if is_next { previous } else { ClaimLog::new(self.bucket, epoch - 1) };
        if epoch >= 2 {
            let prefix = log_prefix(self.bucket, epoch - 2);
            self.effects.push(ClaimEffect::Purge { prefix });
        }
    }

    /// Starts the next store call, if one is needed and none is in flight.
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

    /// Returns when the queued records may be written. Endings without a claim are delayed so that
    /// they can share a write with one.
    fn write_due_us(&self) -> u64 {
        let has_claim = self.pending.iter().any(|pending| pending.claim_id.is_some());
        let ending_at_us =
            self.oldest_ending_us.map_or(0, |since| since + self.policy.ending_delay_us);
        let wait_us = if has_claim || self.batch.is_some() { 0 } else { ending_at_us };
        self.next_write_us.max(wait_us)
    }

    /// Returns the write that seals the previous epoch's log.
    fn seal_call(&self) -> StoreCall {
        let batch = eco_format!("{}-seal", self.instance_id);
        let segment = ClaimLogSegment { batch, records: vec![ClaimLogRecord::Sealed] };
        StoreCall::Write { key: self.previous_log.next_key(), value: segment_to_json(&segment) }
    }

    /// Returns the write of the current batch, or of a new one made from the queued records.
    fn write_batch(&mut self, now_us: u64) -> StoreCall {
        let burst_start_us =
            now_us.saturating_sub((self.policy.write_burst - 1) * self.policy.write_interval_us);
        self.next_write_us = self.next_write_us.max(burst_start_us) + self.policy.write_interval_us;
        self.oldest_ending_us = None;
        if self.batch.is_none() {
            self.next_batch_number += 1;
            let drained: Vec<PendingRecord> =
                self.pending.drain(..next_batch_len(&self.pending)).collect();
            let (records, claim_ids) =
                drained.into_iter().map(|pending| (pending.record, pending.claim_id)).unzip();
            let batch = eco_format!("{}-{}", self.instance_id, self.next_batch_number);
            let segment = ClaimLogSegment { batch, records };
            self.batch = Some(ClaimBatch { segment, claim_ids, is_unconfirmed: false });
        }
        let segment = self.batch.as_ref().map(|batch| segment_to_json(&batch.segment));
        StoreCall::Write { key: self.current_log.next_key(), value: segment.unwrap_or_default() }
    }

    /// Handles the result of the call in flight.
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
            // This segment exists, written by another node or by an earlier attempt whose answer
            // was lost. Reading it shows which.
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
            // A result that does not fit the call is handled like a failed read.
            (_, _) => self.handle_failure(now_us, &StoreCall::List { prefix: EcoString::new() }),
        }
    }

    /// Applies a segment that is in the store, written by this or another node.
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

    /// Answers the claims of a batch that is now in the log.
    ///
    /// The request of a claim that was already answered with "unavailable" is not run, so its key
    /// is freed.
    fn answer_batch(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        for (record, claim_id) in batch.segment.records.into_iter().zip(batch.claim_ids) {
            let ClaimLogRecord::Claim(request) = record else { continue };
            let ClaimRequest { key, token, .. } = request;
            let holder = self.holder(&key).cloned();
            let answer = match &holder {
                // The log was sealed before this batch, so the claim has no effect.
                None => ClaimAnswer::Unavailable,
                Some(holder) => holder.answer_claim(&token),
            };
            match claim_id {
                Some(claim_id) => self.effects.push(ClaimEffect::Answer { claim_id, answer }),
                None if answer == ClaimAnswer::Granted => {
                    self.queue_ending(RecordEndingRequest { key, token, ending: Ending::NotRun });
                }
                None => {}
            }
        }
    }

    /// Answers queued claims whose key is held now.
    fn answer_held_claims(&mut self) {
        let records = std::mem::take(&mut self.pending);
        for pending in records {
            let held = match (&pending.record, pending.claim_id) {
                (ClaimLogRecord::Claim(request), Some(claim_id)) => self
                    .holder(&request.key)
                    .map(|holder| (claim_id, holder.answer_claim(&request.token))),
                _ => None,
            };
            match held {
                Some((claim_id, answer)) => {
                    self.effects.push(ClaimEffect::Answer { claim_id, answer });
                }
                None => self.pending.push(pending),
            }
        }
    }

    /// Handles a failed store call.
    ///
    /// Marks the batch of a failed write as unconfirmed. After a failed read or repeated failed
    /// writes, refuses all waiting claims and makes no store call for the retry delay.
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
            std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|pending| pending.claim_id.is_some());
        self.pending = endings;
        for claim_id in
            refused.into_iter().chain(claims.into_iter().filter_map(|pending| pending.claim_id))
        {
            let answer = ClaimAnswer::Unavailable;
            self.effects.push(ClaimEffect::Answer { claim_id, answer });
        }
    }
}

/// Returns the number of records in the next batch: as many as fit in [`MAX_BATCH_BYTES`], and
/// at least one.
fn next_batch_len(pending: &[PendingRecord]) -> usize {
    let mut bytes = 0;
    let fits = |record: &&PendingRecord| {
        bytes += record_bytes(&record.record);
        bytes <= MAX_BATCH_BYTES
    };
    pending.iter().take_while(fits).count().max(1).min(pending.len())
}

/// Estimates the size of a record in the store.
fn record_bytes(record: &ClaimLogRecord) -> usize {
    let text = match record {
        ClaimLogRecord::Claim(request) => request.key.len(),
        ClaimLogRecord::Ending(RecordEndingRequest { key, ending, .. }) => match ending {
            Ending::Answered { text: Some(text) } => key.len() + 2 * text.len(),
            _ => key.len(),
        },
        ClaimLogRecord::Sealed => 0,
    };
    text + RECORD_OVERHEAD_BYTES
}
