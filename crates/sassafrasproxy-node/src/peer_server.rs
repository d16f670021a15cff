//! Serves the RPC methods that peers call.

use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use sassafrasproxy_core::{ControlEvent, SchedulerEvent, US_PER_MS};
use sassafrasproxy_wire::{
    CANCEL_METHOD, CLAIM_METHOD, CONFIGURATION_METHOD, CancelRequest, ClaimAnswer, ClaimRequest,
    ConfigurationRequest, HAND_OVER_METHOD, HOLDINGS_METHOD, HandOver, Heartbeat,
    INDIRECT_PROBE_METHOD, IndirectProbeRequest, NodeHoldings, PING_METHOD, PROBE_METHOD,
    PUSH_HOLDINGS_METHOD, PeerConfiguration, QUARANTINE_METHOD, QuarantineNotice,
    RECORD_ENDING_METHOD, RecordEndingRequest, SUB_REQUEST_METHOD, SubRequest, SubRequestReply,
};
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::control::ControlInput;
use crate::shared::Shared;

/// The maximum message size, which limits the size of a configuration and of a query's body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// The maximum number of connections of peers at once.
const MAX_CONNECTIONS: u32 = 4_096;

/// The code of the error that a node returns while it shuts down.
const SHUTTING_DOWN_ERROR_CODE: i32 = -32_001;

/// The reason why the server could not be started.
pub type ServeError = Box<dyn std::error::Error + Send + Sync>;

/// Serves peers on a bound socket until the handle is stopped.
///
/// Returns the bound address and the handle, or [`ServeError`] if the server cannot be started.
pub fn serve(
    listener: std::net::TcpListener,
    runtime: &tokio::runtime::Handle,
    shared: Arc<Shared>,
) -> Result<(SocketAddr, ServerHandle), ServeError> {
    let _guard = runtime.enter();
    let address = listener.local_addr()?;
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    Ok((address, server.start(rpc_module(shared)?)))
}

/// Returns the RPC module with all methods.
fn rpc_module(shared: Arc<Shared>) -> Result<RpcModule<Shared>, ServeError> {
    let mut module = RpcModule::from_arc(shared);
    module.register_method(PING_METHOD, |_, _, _| ())?;
    module.register_async_method(SUB_REQUEST_METHOD, |params, shared, _| async move {
        let request: SubRequest = parse_params(&params)?;
        Ok::<SubRequestReply, ErrorObjectOwned>(
            shared.schedulers.run_sub_request(&shared, request).await,
        )
    })?;
    module.register_method(CANCEL_METHOD, |params, shared, _| {
        let cancel: CancelRequest = parse_params(&params)?;
        shared.schedulers.abandon(shared, &cancel);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(PROBE_METHOD, |params, shared, _| async move {
        let heartbeat: Heartbeat = parse_params(&params)?;
        call_control(&shared, |reply| ControlInput::ProbeReceived { heartbeat, reply }).await
    })?;
    module.register_async_method(INDIRECT_PROBE_METHOD, |params, shared, _| async move {
        let request: IndirectProbeRequest = parse_params(&params)?;
        let answer = shared.peer_client.probe(&request.peer_address, &request.heartbeat).await;
        Ok::<Option<Heartbeat>, ErrorObjectOwned>(answer.ok())
    })?;
    module.register_async_method(CONFIGURATION_METHOD, |params, shared, _| async move {
        let request: ConfigurationRequest = parse_params(&params)?;
        let answer =
            call_control(&shared, |reply| ControlInput::ConfigurationRequested { request, reply });
        answer.await as Result<PeerConfiguration, ErrorObjectOwned>
    })?;
    module.register_async_method(HOLDINGS_METHOD, |_, shared, _| async move {
        let answer = call_control(&shared, |reply| ControlInput::HoldingsRequested { reply });
        answer.await as Result<NodeHoldings, ErrorObjectOwned>
    })?;
    module.register_method(PUSH_HOLDINGS_METHOD, |params, shared, _| {
        let holdings: NodeHoldings = parse_params(&params)?;
        shared.send_control_event(ControlEvent::HoldingsReceived(holdings));
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method(HAND_OVER_METHOD, |params, shared, _| {
        let hand_over: HandOver = parse_params(&params)?;
        shared.schedulers.apply_hand_over(hand_over);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(CLAIM_METHOD, |params, shared, _| async move {
        let request: ClaimRequest = parse_params(&params)?;
        Ok::<ClaimAnswer, ErrorObjectOwned>(
            shared.claim_buckets.claim_locally(&shared, request).await,
        )
    })?;
    module.register_async_method(RECORD_ENDING_METHOD, |params, shared, _| async move {
        let request: RecordEndingRequest = parse_params(&params)?;
        shared.claim_buckets.record_ending_locally(&shared, request);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method(QUARANTINE_METHOD, |params, shared, _| {
        let notice: QuarantineNotice = parse_params(&params)?;
        let ttl_us = notice.ttl_ms * US_PER_MS;
        let fingerprint = notice.fingerprint;
        shared.schedulers.broadcast(&SchedulerEvent::Quarantine { fingerprint, ttl_us });
        Ok::<(), ErrorObjectOwned>(())
    })?;
    Ok(module)
}

/// Parses the single parameter of a call.
fn parse_params<T: DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.one()
}

/// Sends a request to the control thread and returns its reply, or an error while the node shuts
/// down.
async fn call_control<T>(
    shared: &Shared,
    input: impl FnOnce(oneshot::Sender<T>) -> ControlInput,
) -> Result<T, ErrorObjectOwned> {
    let (reply, answer) = oneshot::channel();
    let _ = shared.control_sender.send(input(reply));
    let to_error =
        |_| ErrorObjectOwned::owned(SHUTTING_DOWN_ERROR_CODE, "the node is ending", None::<()>);
    answer.await.map_err(to_error)
}
