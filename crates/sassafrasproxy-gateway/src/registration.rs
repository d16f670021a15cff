//! Keeping this node registered in the store, where new nodes look for others.

use std::rc::Rc;
use std::time::Duration;

use sassafrasproxy_core::NodeRegistration;
use sassafrasproxy_platform::{
    StoreError, StoreRequest, decode_lease, decode_write_status, node_key,
};
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use tokio::time::sleep;

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;

/// How long a registration lasts without being renewed, in milliseconds.
///
/// Only new nodes look for it; who is alive, heartbeats tell. So it may be long and cost little.
const REGISTRATION_TTL_MS: u64 = 30_000;

/// How often the registration is renewed: three times in its life.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// The pause before a registration that failed is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// How often a node that need not be registered looks whether that has changed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this node registered if it is one of the few that are, also after its entry was taken away.
pub async fn keep_registered(state: Rc<ControlState>, me: MemberUpdate) {
    let mut client = PersistentClient::new(state.settings().store);
    let mut lease = None;
    loop {
        if lease.is_none() && !state.gossip.borrow().should_register(state.clock.now_us()) {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let is_there = state.discovery.borrow().is_registered(&me.node);
        let (call, result) = match lease.filter(|_| is_there) {
            Some(lease) => ("renew", renew(&mut client, lease).await),
            None => {
                let node_count = state.gossip.borrow().node_count() as u32;
                let registered = register(&mut client, &me, node_count).await;
                ("register", registered.map(|id| lease = Some(id)))
            }
        };
        state.count_store_call(call, result.as_ref().err());
        let pause = match result {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                log::info!(error:%; "this node's registration failed");
                lease = None;
                REGISTER_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())
            }
        };
        sleep(pause).await;
    }
}

async fn renew(client: &mut PersistentClient, lease: u64) -> Result<(), StoreError> {
    let (status, _) = client.call(StoreRequest::renew_lease(lease), CALL_TIMEOUT).await?;
    decode_write_status(status)
}

/// Registers this node under a new lease.
async fn register(
    client: &mut PersistentClient,
    me: &MemberUpdate,
    node_count: u32,
) -> Result<u64, StoreError> {
    let (status, body) =
        client.call(StoreRequest::grant_lease(REGISTRATION_TTL_MS), CALL_TIMEOUT).await?;
    let lease = decode_lease(status, &body)?.id;
    let member = MemberUpdate { state: MemberState::Alive, ..me.clone() };
    let value = serde_json::to_vec(&NodeRegistration { member, node_count });
    let value =
        value.map_err(|error| StoreError::Malformed { detail: ecow::eco_format!("{error}") })?;
    let put = StoreRequest::put(&node_key(&me.node), &value, lease);
    let (status, _) = client.call(put, CALL_TIMEOUT).await?;
    decode_write_status(status)?;
    Ok(lease)
}
