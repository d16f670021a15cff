//! Requests that are not idempotent: claimed, run once, recorded.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_wire::{ClaimAnswer, Ending, Outcome, RecordRequest};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::query::{self, QueryJob, QueryResult};
use crate::shared::Shared;

/// The largest answer that is kept for a repeat of its request, in bytes.
const MAX_KEPT_BYTES: usize = 8_192;

/// What came of a request that may run once only.
pub enum OnceResult {
    /// It ran now, or was refused without a run.
    Ran(QueryResult),
    /// It was answered before, with this text.
    AnsweredBefore(EcoString),
    /// Its key was used before, and what became of that request is not known.
    UsedBefore,
    /// Its key was used before for another request.
    KeyReused,
    /// No claim could be had in time, so it was not run.
    Unclaimed,
}

/// Claims a request's key, runs it if the claim is granted, and records what became of it.
///
/// `to_text` writes the answer that the caller gets, which a repeat gets as well.
pub async fn run(
    shared: &Arc<Shared>,
    job: &QueryJob,
    to_text: impl FnOnce(&QueryResult) -> Option<EcoString>,
) -> OnceResult {
    let fingerprint = fingerprint(job);
    let left_us = job.spec.soft_deadline_us.saturating_sub(shared.clock.now_us());
    let (sender, claim) = oneshot::channel();
    tokio::spawn(claim_for(shared.clone(), job.request_id.clone(), fingerprint, sender));
    let claim = tokio::time::timeout(Duration::from_micros(left_us), claim).await;
    let Ok(Ok((answer, token))) = claim else { return OnceResult::Unclaimed };
    match answer {
        ClaimAnswer::Granted => {}
        ClaimAnswer::Unavailable => return OnceResult::Unclaimed,
        ClaimAnswer::Held { fingerprint: held, .. } if held != fingerprint => {
            return OnceResult::KeyReused;
        }
        ClaimAnswer::Held { ending: Some(Ending::Answered { text: Some(text) }), .. } => {
            return OnceResult::AnsweredBefore(text);
        }
        ClaimAnswer::Held { .. } => return OnceResult::UsedBefore,
    }
    let result = query::run(shared, job).await;
    let ending = match result.end.outcome {
        Outcome::Answered => Ending::Answered { text: to_text(&result).filter(is_small) },
        Outcome::NotRun => Ending::NotRun,
        Outcome::Unknown | Outcome::Partial => Ending::Unknown,
    };
    let record = RecordRequest { key: job.request_id.clone(), token, ending };
    let shared = shared.clone();
    tokio::spawn(async move { shared.claims.record(&shared, record).await });
    OnceResult::Ran(result)
}

/// Claims a key; a claim that comes too late for its request is given back.
async fn claim_for(
    shared: Arc<Shared>,
    key: EcoString,
    fingerprint: u64,
    asker: oneshot::Sender<(ClaimAnswer, EcoString)>,
) {
    let claim = shared.claims.claim(&shared, &key, fingerprint).await;
    if let Err((ClaimAnswer::Granted, token)) = asker.send(claim) {
        let record = RecordRequest { key, token, ending: Ending::NotRun };
        shared.claims.record(&shared, record).await;
    }
}

fn is_small(text: &EcoString) -> bool {
    text.len() <= MAX_KEPT_BYTES
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
