//! Builds the HTTP responses that callers receive: answers and refusals.

use ecow::{EcoString, eco_format};
use poem::Response;
use poem::http::StatusCode;
use sassafrasproxy_wire::{Coverage, FailureReason, Outcome, QueryAnswer, Refusal, ShardResult};

use crate::query::QueryResult;

/// The retry delay of a refusal that this node itself makes, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Returns the JSON text of the answer to a query, or `None` if the query has no answer.
pub fn answer_json(
    request_id: &EcoString,
    index: &EcoString,
    result: &QueryResult,
) -> Option<EcoString> {
    let end = &result.end;
    let snapshot = end.snapshot.filter(|_| end.outcome == Outcome::Answered)?;
    let shards = end.coverage.covered.iter().cloned();
    let results = shards.zip(result.bodies.iter().cloned());
    let answer = QueryAnswer {
        request_id: request_id.clone(),
        outcome: Outcome::Answered,
        index: index.clone(),
        snapshot,
        coverage: end.coverage.clone(),
        results: results.map(|(shard, body)| ShardResult { shard, body }).collect(),
    };
    serde_json::to_string(&answer).ok().map(EcoString::from)
}

/// Returns the response to a query that ran.
pub fn query_response(request_id: EcoString, index: &EcoString, result: QueryResult) -> Response {
    if let Some(text) = answer_json(&request_id, index, &result) {
        return answer_response(&text);
    }
    let end = result.end;
    let reason = match (end.outcome, end.reason) {
        (Outcome::Partial, _) => FailureReason::BelowMinCoverage,
        (_, Some(reason)) => reason,
        (_, None) => FailureReason::NoReplica,
    };
    refusal_response(&Refusal {
        request_id,
        outcome: end.outcome,
        reason,
        detail: describe_missing_shards(&end.coverage),
        retry_after_ms: Some(end.retry_after_ms.unwrap_or(RETRY_AFTER_MS)),
        coverage: Some(end.coverage),
    })
}

/// Returns the response that carries the JSON text of an answer.
pub fn answer_response(text: &EcoString) -> Response {
    json_response(StatusCode::OK, text.as_bytes().to_vec())
}

/// Returns a readable summary of the missing shards.
fn describe_missing_shards(coverage: &Coverage) -> EcoString {
    let shard_count = coverage.covered.len() + coverage.missing.len();
    let first = coverage.missing.first();
    let example = first.map(|one| eco_format!(", first {} ({})", one.shard, one.reason));
    eco_format!(
        "{} of {shard_count} shards are missing{}",
        coverage.missing.len(),
        example.unwrap_or_default()
    )
}

/// Returns the refusal of a request by this node itself, before anything was sent upstream.
pub fn not_run_refusal(request_id: EcoString, reason: FailureReason, detail: EcoString) -> Refusal {
    let is_temporary = matches!(
        reason,
        FailureReason::NoConfiguration
            | FailureReason::ClaimUnavailable
            | FailureReason::KeyUsed
            | FailureReason::DuplicateRequestId
    );
    Refusal {
        request_id,
        outcome: Outcome::NotRun,
        reason,
        detail,
        retry_after_ms: is_temporary.then_some(RETRY_AFTER_MS),
        coverage: None,
    }
}

/// Returns the response to a request that is refused or has no answer.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let status = match (refusal.outcome, refusal.reason) {
        (Outcome::Unknown | Outcome::Partial, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, FailureReason::UnknownService) => StatusCode::NOT_FOUND,
        (_, FailureReason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, FailureReason::KeyReused | FailureReason::DuplicateRequestId) => StatusCode::CONFLICT,
        (_, FailureReason::Overloaded | FailureReason::Shed) => StatusCode::TOO_MANY_REQUESTS,
        (
            _,
            FailureReason::BadRequest
            | FailureReason::UnknownKind
            | FailureReason::SeveralIndexes
            | FailureReason::MissingRequestId,
        ) => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = json_response(status, serde_json::to_vec(refusal).unwrap_or_default());
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

fn json_response(status: StatusCode, text: Vec<u8>) -> Response {
    Response::builder().status(status).content_type("application/json").body(text)
}
