//! Keeps this node registered in the store, where starting nodes find peers.

use std::rc::Rc;
use std::time::Duration;

use sassafrasproxy_core::{NodeRegistration, RegistrationCheck};
use sassafrasproxy_platform::{
    StoreError, StoreRequest, decode_lease, decode_write_status, node_key,
};
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use tokio::time::{sleep, timeout};

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;

/// The time to live of a registration's lease, in milliseconds.
///
/// Only starting nodes use registrations; heartbeats show which nodes are alive. The lease can
/// therefore be long, which keeps the load on the store low.
const REGISTRATION_TTL_MS: u64 = 30_000;

/// The interval between lease renewals; three fit into the time to live.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// The minimum delay before a failed registration is retried; up to as much again is added at
/// random.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// The interval at which a node checks whether it should register, or is no longer registered.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this node registered if it is one of the few nodes that should be.
///
/// Registers again if the entry was removed from the store.
pub async fn keep_registered(state: Rc<ControlState>, local_member: MemberUpdate) {
    let mut client = PersistentClient::new(state.settings().store);
    let mut lease = None;
    loop {
        if lease.is_none() && !state.gossip.borrow().should_register(state.clock.now_us()) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let is_registered = state.discovery.borrow().is_registered(&local_member.node);
        let (call, result) = match lease.filter(|_| is_registered) {
            Some(lease) => ("renew", renew(&mut client, lease).await),
            None => {
                let node_count = state.gossip.borrow().node_count() as u32;
                let registered = register(&mut client, &local_member, node_count).await;
                ("register", registered.map(|id| lease = Some(id)))
            }
        };
        state.count_store_call(call, result.as_ref().err());
        match result {
            Ok(()) => {
                // Renews the lease after the timeout; an entry that is gone needs a new one sooner.
                let _ =
                    timeout(RENEW_INTERVAL, wait_until_removed(&state, &local_member.node)).await;
            }
            Err(error) => {
                log::info!(error:%; "registering this node in the store failed; retrying");
                lease = None;
                sleep(REGISTER_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            }
        }
    }
}

/// Waits until this node's registration has been removed from the store, for example because its
/// lease ended in an outage.
async fn wait_until_removed(state: &ControlState, node: &str) {
    let mut check = RegistrationCheck::default();
    while !check.record(state.discovery.borrow().is_registered(node)) {
        sleep(CHECK_INTERVAL).await;
    }
}

async fn renew(client: &mut PersistentClient, lease: u64) -> Result<(), StoreError> {
    let (status, _) = client.call(StoreRequest::renew_lease(lease), CALL_TIMEOUT).await?;
    decode_write_status(status)
}

/// Registers this node under a new lease.
async fn register(
    client: &mut PersistentClient,
    local_member: &MemberUpdate,
    node_count: u32,
) -> Result<u64, StoreError> {
    let (status, body) =
        client.call(StoreRequest::grant_lease(REGISTRATION_TTL_MS), CALL_TIMEOUT).await?;
    let lease = decode_lease(status, &body)?.id;
    let member = MemberUpdate { state: MemberState::Alive, ..local_member.clone() };
    let value = serde_json::to_vec(&NodeRegistration { member, node_count });
    let value =
        value.map_err(|error| StoreError::Malformed { detail: ecow::eco_format!("{error}") })?;
    let put = StoreRequest::put(&node_key(&local_member.node), &value, lease);
    let (status, _) = client.call(put, CALL_TIMEOUT).await?;
    decode_write_status(status)?;
    Ok(lease)
}
