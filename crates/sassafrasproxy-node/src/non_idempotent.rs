//! Requests that are not idempotent: claimed, run once, recorded.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_wire::{ClaimAnswer, Ending, Outcome, RecordEndingRequest};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::query::{self, QueryJob, QueryResult};
use crate::shared::Shared;

/// The largest answer that is kept for a repeat of its request, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 8_192;

/// What came of a request that may run once only.
pub enum NonIdempotentResult {
    /// It ran now, or was refused without a run.
    Finished(QueryResult),
    /// It was answered before, with this text.
    AlreadyAnswered(EcoString),
    /// Its key was used before, and what became of that request is not known.
    KeyUsed,
    /// Its key was used before for another request.
    KeyReused,
    /// No claim could be had in time, so it was not run.
    ClaimUnavailable,
}

/// Claims a request's key, runs it if the claim is granted, and records what became of it.
///
/// `to_text` writes the answer that the caller gets, which a repeat gets as well.
pub async fn run(
    shared: &Arc<Shared>,
    job: &QueryJob,
    to_text: impl FnOnce(&QueryResult) -> Option<EcoString>,
) -> NonIdempotentResult {
    let fingerprint = fingerprint(job);
    let left_us = job.spec.soft_deadline_us.saturating_sub(shared.clock.now_us());
    let (sender, claim) = oneshot::channel();
    tokio::spawn(claim_or_release(shared.clone(), job.request_id.clone(), fingerprint, sender));
    let claim = tokio::time::timeout(Duration::from_micros(left_us), claim).await;
    let Ok(Ok((answer, token))) = claim else { return NonIdempotentResult::ClaimUnavailable };
    match answer {
        ClaimAnswer::Granted => {}
        ClaimAnswer::Unavailable => return NonIdempotentResult::ClaimUnavailable,
        ClaimAnswer::Held { fingerprint: held, .. } if held != fingerprint => {
            return NonIdempotentResult::KeyReused;
        }
        ClaimAnswer::Held { ending: Some(Ending::Answered { text: Some(text) }), .. } => {
            return NonIdempotentResult::AlreadyAnswered(text);
        }
        ClaimAnswer::Held { .. } => return NonIdempotentResult::KeyUsed,
    }
    let result = query::run(shared, job).await;
    let ending = match result.end.outcome {
        Outcome::Answered => Ending::Answered { text: to_text(&result).filter(fits_stored_answer) },
        Outcome::NotRun => Ending::NotRun,
        Outcome::Unknown | Outcome::Partial => Ending::Unknown,
    };
    let record = RecordEndingRequest { key: job.request_id.clone(), token, ending };
    let shared = shared.clone();
    tokio::spawn(async move { shared.claim_buckets.record_ending(&shared, record).await });
    NonIdempotentResult::Finished(result)
}

/// Claims a key; a claim that comes too late for its request is given back.
async fn claim_or_release(
    shared: Arc<Shared>,
    key: EcoString,
    fingerprint: u64,
    asker: oneshot::Sender<(ClaimAnswer, EcoString)>,
) {
    let claim = shared.claim_buckets.claim(&shared, &key, fingerprint).await;
    if let Err((ClaimAnswer::Granted, token)) = asker.send(claim) {
        let record = RecordEndingRequest { key, token, ending: Ending::NotRun };
        shared.claim_buckets.record_ending(&shared, record).await;
    }
}

fn fits_stored_answer(text: &EcoString) -> bool {
    text.len() <= MAX_STORED_ANSWER_BYTES
}

/// A hash of everything that makes a request what it is.
fn fingerprint(job: &QueryJob) -> u64 {
    let mut hash = Xxh3::new();
    for service in &job.spec.services {
        hash.update(service.as_bytes());
        hash.update(&[0]);
    }
    hash.update(job.kind.as_bytes());
    hash.update(&[0]);
    hash.update(job.body.get().as_bytes());
    hash.digest()
}
