//! Answers to callers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use sassafrasproxy_platform::{
    CoverageSummary, is_forwarded, write_coverage_summary, write_retry_after,
};
use serde_json::json;

use crate::metrics::{GatewayMetrics, KindLabel};
use crate::upstream::UpstreamAnswer;

/// An answer, ready to be sent.
pub type Answer = Response<Full<Bytes>>;

/// Why this node answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request is wrong.
    BadRequest,
    /// No route is for it.
    NoRoute,
    /// Its body is larger than allowed.
    TooLarge,
    /// No configuration is known yet.
    NoConfiguration,
    /// It ran nowhere, as it has crashed replicas before.
    Quarantined,
    /// It ran nowhere, and may be sent again.
    NotRun,
    /// It may have run, and no answer came in time.
    TimedOut,
    /// It may have run, and its answer is lost.
    Lost,
}

impl Refusal {
    /// The reason as logs and metrics give it.
    pub fn reason(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::NoConfiguration => "no_configuration",
            Self::Quarantined => "crashes_replicas",
            Self::NotRun => "not_run",
            Self::TimedOut => "timed_out",
            Self::Lost => "lost",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration | Self::Quarantined | Self::NotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An answer of this node's own, with the time to come back where that helps.
pub fn refusal_answer(
    metrics: &GatewayMetrics,
    refusal: Refusal,
    retry_after_ms: Option<u64>,
) -> Answer {
    metrics.refusals.get_or_create(&KindLabel::new(refusal.reason())).inc();
    let body = json!({ "reason": refusal.reason(), "retry_after_ms": retry_after_ms });
    let mut answer = Response::new(Full::from(body.to_string()));
    *answer.status_mut() = refusal.status();
    // For the log line of the request.
    answer.extensions_mut().insert(refusal);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = retry_after_ms {
        write_retry_after(answer.headers_mut(), retry_after_ms);
    }
    answer
}

/// A replica's answer, unchanged but for what concerns its connection only.
pub fn forward_answer(upstream: UpstreamAnswer) -> Answer {
    let mut answer = Response::new(Full::new(upstream.body));
    *answer.status_mut() = upstream.status;
    *answer.headers_mut() = forwarded_headers(upstream.headers);
    answer
}

/// The answer made of the parts of many shards.
pub fn merged_answer(records: Vec<u8>, summary: &CoverageSummary) -> Answer {
    let mut answer = Response::new(Full::from(records));
    write_coverage_summary(answer.headers_mut(), summary);
    answer
}

fn forwarded_headers(headers: HeaderMap) -> HeaderMap {
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
