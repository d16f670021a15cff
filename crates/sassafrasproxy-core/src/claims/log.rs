//! The log of claims and endings for one bucket and epoch.

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_wire::{
    ClaimAnswer, ClaimLogRecord, ClaimLogSegment, ClaimRequest, Ending, RecordEndingRequest,
};

use super::StoreCall;

/// The log of one bucket and epoch, as replayed from its segments in the store.
#[derive(Debug, Default)]
pub struct ClaimLog {
    prefix: EcoString,
    /// The number of the next segment to read or write.
    next_segment: u64,
    /// The holder of each claimed key.
    pub holders: IndexMap<EcoString, KeyHolder>,
    /// Whether the segments in the store have been read.
    pub is_loaded: bool,
    /// Whether a segment has sealed the log; later claims have no effect.
    pub is_sealed: bool,
}

/// The claim that holds a key, and its ending once recorded.
#[derive(Debug, Clone)]
pub struct KeyHolder {
    pub token: EcoString,
    pub fingerprint: u64,
    pub ending: Option<Ending>,
}

impl ClaimLog {
    pub fn new(bucket: u32, epoch: u64) -> Self {
        Self { prefix: log_prefix(bucket, epoch), ..Self::default() }
    }

    pub fn list_call(&self) -> StoreCall {
        StoreCall::List { prefix: self.prefix.clone() }
    }

    /// Returns the key of the next segment, padded with zeros so that keys sort numerically.
    pub fn next_key(&self) -> EcoString {
        eco_format!("{}{:08}", self.prefix, self.next_segment)
    }

    /// Applies the next segment.
    ///
    /// The first claim of a key holds it until the ending `NotRun` is recorded for that claim. A
    /// claim after the seal has no effect, and a segment that cannot be parsed is skipped.
    pub fn apply_segment(&mut self, text: &str) {
        self.next_segment += 1;
        let Some(segment) = parse_segment(text) else { return };
        for record in segment.records {
            match record {
                ClaimLogRecord::Sealed => self.is_sealed = true,
                ClaimLogRecord::Claim(request) if !self.is_sealed => self.apply_claim(request),
                ClaimLogRecord::Claim(_) => {}
                ClaimLogRecord::Ending(request) => self.apply_ending(request),
            }
        }
    }

    fn apply_claim(&mut self, request: ClaimRequest) {
        let is_free = self
            .holders
            .get(&request.key)
            .is_none_or(|holder| holder.ending == Some(Ending::NotRun));
        if is_free {
            let ClaimRequest { key, token, fingerprint } = request;
            self.holders.insert(key, KeyHolder { token, fingerprint, ending: None });
        }
    }

    fn apply_ending(&mut self, request: RecordEndingRequest) {
        if let Some(holder) = self.holders.get_mut(&request.key)
            && holder.token == request.token
        {
            holder.ending.get_or_insert(request.ending);
        }
    }
}

impl KeyHolder {
    /// Returns the answer to a claim with this token.
    pub fn answer_claim(&self, token: &str) -> ClaimAnswer {
        if self.token == token && self.ending.is_none() {
            return ClaimAnswer::Granted;
        }
        ClaimAnswer::Held { fingerprint: self.fingerprint, ending: self.ending.clone() }
    }
}

/// Returns the store key prefix of a bucket's log for one epoch.
pub fn log_prefix(bucket: u32, epoch: u64) -> EcoString {
    eco_format!("claims/{epoch}/{bucket:02}/")
}

/// Parses a segment; returns `None` if the text is not a valid one.
pub fn parse_segment(text: &str) -> Option<ClaimLogSegment> {
    serde_json::from_str(text).ok()
}

pub fn segment_to_json(segment: &ClaimLogSegment) -> EcoString {
    serde_json::to_string(segment).expect("claim types always serialize").into()
}
