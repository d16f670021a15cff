//! Runs requests that are not idempotent: claims the key, runs the request once and records its
//! ending.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_wire::{ClaimAnswer, Ending, Outcome, RecordEndingRequest};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::query::{self, QueryJob, QueryResult};
use crate::shared::Shared;

/// The maximum size of an answer that is stored for repetitions of its request, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 8_192;

/// The result of a request that may run only once.
pub enum NonIdempotentResult {
    /// It was run now, or refused without a run.
    Finished(QueryResult),
    /// It was answered before, with this text.
    AlreadyAnswered(EcoString),
    /// Its key was used before, and that request's outcome is unknown or its answer is not stored.
    KeyUsed,
    /// Its key was used before for a different request.
    KeyReused,
    /// Its key could not be claimed at all or in time, so it was not run.
    ClaimUnavailable,
}

/// Claims a request's key, runs the request if the claim is granted, and records its ending.
///
/// `to_text` returns the text of the caller's answer, which is also the answer to a repetition.
pub async fn run(
    shared: &Arc<Shared>,
    job: &QueryJob,
    to_text: impl FnOnce(&QueryResult) -> Option<EcoString>,
) -> NonIdempotentResult {
    let fingerprint = fingerprint(job);
    let remaining_us = job.spec.soft_deadline_us.saturating_sub(shared.clock.now_us());
    let (sender, claim) = oneshot::channel();
    tokio::spawn(claim_or_release(shared.clone(), job.request_id.clone(), fingerprint, sender));
    let claim = tokio::time::timeout(Duration::from_micros(remaining_us), claim).await;
    let Ok(Ok((answer, token))) = claim else { return NonIdempotentResult::ClaimUnavailable };
    match answer {
        ClaimAnswer::Granted => {}
        ClaimAnswer::Unavailable => return NonIdempotentResult::ClaimUnavailable,
        ClaimAnswer::Held { fingerprint: held_fingerprint, .. }
            if held_fingerprint != fingerprint =>
        {
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
    let ending_request = RecordEndingRequest { key: job.request_id.clone(), token, ending };
    let shared = shared.clone();
    tokio::spawn(async move { shared.claim_buckets.record_ending(&shared, ending_request).await });
    NonIdempotentResult::Finished(result)
}

/// Claims a key; releases the claim if it is granted after the requester stopped waiting.
async fn claim_or_release(
    shared: Arc<Shared>,
    key: EcoString,
    fingerprint: u64,
    requester: oneshot::Sender<(ClaimAnswer, EcoString)>,
) {
    let claim = shared.claim_buckets.claim(&shared, &key, fingerprint).await;
    if let Err((ClaimAnswer::Granted, token)) = requester.send(claim) {
        let ending_request = RecordEndingRequest { key, token, ending: Ending::NotRun };
        shared.claim_buckets.record_ending(&shared, ending_request).await;
    }
}

fn fits_stored_answer(text: &EcoString) -> bool {
    text.len() <= MAX_STORED_ANSWER_BYTES
}

/// Returns a hash of the services, the kind and the body, which identify a request.
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
