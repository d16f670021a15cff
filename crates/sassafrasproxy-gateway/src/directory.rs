//! Serves the address directory for callers, the metrics and the readiness check.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use ecow::EcoString;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use indexmap::IndexSet;
use sassafrasproxy_core::directory_addresses;
use sassafrasproxy_platform::{decode_directory_query, encode_directory_answer};

use crate::answer::Answer;
use crate::traffic::TrafficState;

/// Answers a caller's directory query with the addresses of the ingress nodes to use.
pub async fn serve_directory(
    traffic: Rc<TrafficState>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let caller_domain = decode_directory_query(request.uri().query());
    let view = traffic.view.borrow().clone();
    // The load depends on the number of shards, as a gather sends a sub-request to each of them:
    // all services of all routes count.
    let routes = view.catalogue.routes.routes();
    let services: IndexSet<&EcoString> = routes.flat_map(|route| route.target.services()).collect();
    let counts = traffic.pool.borrow().replicas_by_domain(services);
    let addresses = directory_addresses(&view.nodes, &counts, caller_domain.as_deref());
    let body = encode_directory_answer(&addresses, traffic.settings().address_keep_ms);
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(answer)
}

/// Serves the metrics as text.
pub async fn serve_metrics(
    traffic: Rc<TrafficState>,
    _request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    if let Some(limits) = &traffic.rate_limits {
        limits.update_metrics(traffic.catalogue().accounts.as_deref());
    }
    let mut answer = Response::new(Full::default());
    match traffic.metrics.text() {
        Ok(text) => *answer.body_mut() = Full::from(text),
        Err(error) => {
            log::error!(error:%; "cannot encode the metrics");
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(answer)
}

/// Answers the readiness check: 200 if callers should be sent to this node, 503 if not.
///
/// A node is ready while it has a configuration and is not shutting down.
pub async fn serve_ready(
    traffic: Rc<TrafficState>,
    _request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let is_ready = !traffic.shutdown.is_leaving() && traffic.catalogue().version > 0;
    let mut answer = Response::new(Full::default());
    if !is_ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(answer)
}
