//! Builds the answers to callers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use sassafrasproxy_platform::{
    CoverageSummary, is_forwarded, write_authentication_challenge, write_coverage_summary,
    write_retry_after,
};
use serde_json::json;

use crate::metrics::{GatewayMetrics, KindLabel};
use crate::upstream::UpstreamAnswer;

/// An answer that is ready to be sent.
pub type Answer = Response<Full<Bytes>>;

/// The reason why this node answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The route needs a key, and no client account has the one that was presented, if any.
    UnknownKey,
    /// The request was not run, because its client account is over its rate limit.
    OverRateLimit,
    /// No client account has the key, but one may in a newer configuration than this node's.
    KeyMaybeNew,
    /// An account has the key, but a newer configuration than this node's may have removed it.
    KeyMaybeRemoved,
    /// The body of the request is larger than allowed.
    TooLarge,
    /// No configuration is known yet.
    NoConfiguration,
    /// The request was not run, because it has crashed replicas before.
    Quarantined,
    /// The request was not run, because this node is leaving and may not live to answer it.
    Leaving,
    /// The request was not run and may be sent again.
    NotRun,
    /// The request may have run, but no answer arrived in time.
    TimedOut,
    /// The request may have run, but its answer was lost.
    Lost,
}

impl Refusal {
    /// Returns the name of the reason in logs, metrics and answer bodies.
    pub fn reason(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverRateLimit => "over_rate_limit",
            Self::KeyMaybeNew => "key_maybe_new",
            Self::KeyMaybeRemoved => "key_maybe_removed",
            Self::TooLarge => "too_large",
            Self::NoConfiguration => "no_configuration",
            Self::Quarantined => "crashes_replicas",
            Self::Leaving => "leaving",
            Self::NotRun => "not_run",
            Self::TimedOut => "timed_out",
            Self::Lost => "lost",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverRateLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::KeyMaybeNew
            | Self::KeyMaybeRemoved
            | Self::Quarantined
            | Self::Leaving
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Returns a refusal by this node, with a retry delay in milliseconds if a retry may help.
pub fn refusal_answer(
    metrics: &GatewayMetrics,
    refusal: Refusal,
    retry_after_ms: Option<u64>,
) -> Answer {
    metrics.refusals.get_or_create(&KindLabel::new(refusal.reason())).inc();
    let body = json!({ "reason": refusal.reason(), "retry_after_ms": retry_after_ms });
    let mut answer = Response::new(Full::from(body.to_string()));
    *answer.status_mut() = refusal.status();
    // The log line of the request reads the reason from the extensions.
    answer.extensions_mut().insert(refusal);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal == Refusal::UnknownKey {
        write_authentication_challenge(answer.headers_mut());
    }
    if let Some(retry_after_ms) = retry_after_ms {
        write_retry_after(answer.headers_mut(), retry_after_ms);
    }
    answer
}

/// Returns the answer of a replica without the headers that concern only its connection.
pub fn forward_answer(upstream: UpstreamAnswer) -> Answer {
    let mut answer = Response::new(Full::new(upstream.body));
    *answer.status_mut() = upstream.status;
    *answer.headers_mut() = forwarded_headers(upstream.headers);
    answer
}

/// Returns the answer to a gather, with the merged records and their coverage.
pub fn merged_answer(records: Vec<u8>, summary: &CoverageSummary) -> Answer {
    let mut answer = Response::new(Full::from(records));
    write_coverage_summary(answer.headers_mut(), summary);
    answer
}

fn forwarded_headers(headers: HeaderMap) -> HeaderMap {
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}
