//! Following the store: the calls that the reducer asks for.

use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{
    BootstrapSource, DiscoveryEvent, StoreCallOutcome, StoreStep, StoreSync, StoreSyncPolicy,
};
use sassafrasproxy_platform::{
    ALL_KEYS_PREFIX, StoreError, StoreRequest, decode_changes, decode_page,
};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;
use crate::peer_sync::{FollowResult, FollowedPeer};
use crate::store_events::{change_event, item_event};

/// How often a waiting watch is compared with what peers know.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// In how many comparisons in a row peers must know more before a watch is given up.
///
/// Between the returns of two watches for one change lies at most the pause after a change, 0.4 s:
/// a node that only pauses can look behind in one comparison, but not in two.
const LAG_CHECK_COUNT: u32 = 2;

/// How often a node that has just started looks whether it has heard of a peer to start from.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The least pause after a peer could not be followed.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Lists and watches the store for as long as the process runs.
pub async fn follow_store(state: Rc<ControlState>, asked: watch::Receiver<bool>) {
    let mut client = PersistentClient::new(state.settings().store);
    let mut peer = FollowedPeer::default();
    let mut sync = StoreSync::new(StoreSyncPolicy::default(), rand::random());
    // A node that starts from the store has met nobody yet, and need not wait until it has.
    let mut may_follow = start_from_peer(&state, &mut peer, asked).await;
    if may_follow {
        sync.resume_from(state.store_revision());
    }
    loop {
        let now_us = state.clock.now_us();
        let step = sync.next_step(now_us);
        if let StoreStep::Pause { until_us } = step {
            sleep(Duration::from_micros(until_us.saturating_sub(now_us))).await;
            continue;
        }
        if std::mem::replace(&mut may_follow, true) {
            match peer.follow(&state).await {
                FollowResult::Updated => {
                    sync.advance_to(state.store_revision());
                    continue;
                }
                FollowResult::Failed => {
                    sleep(FOLLOW_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
                    continue;
                }
                FollowResult::ReadStore => {}
            }
        }
        let (call, outcome) = match step {
            StoreStep::Pause { .. } => continue,
            StoreStep::List { after_key } => {
                ("list", list_page(&state, &mut client, after_key.as_deref()).await)
            }
            StoreStep::Watch { after_revision, wait_ms } => {
                let watch = wait_for_changes(&state, &mut client, after_revision, wait_ms);
                let outcome = tokio::select! {
                    outcome = watch => outcome,
                    error = wait_until_behind(&state) => Err(error),
                };
                ("watch", outcome)
            }
        };
        state.count_store_call(call, outcome.as_ref().err());
        state.record_store_read(outcome.as_ref().err());
        let outcome = outcome.unwrap_or_else(|error| {
            log::info!(error:%; "a read of the store failed");
            client.disconnect();
            match error {
                StoreError::HistoryCompacted => StoreCallOutcome::HistoryCompacted,
                _ => StoreCallOutcome::Failed,
            }
        });
        if sync.record_outcome(state.clock.now_us(), outcome) {
            state.apply_events([DiscoveryEvent::ListEnded]);
        }
        // Only now: peers that wait for this revision are told what was discovered up to it.
        state.advance_revision(sync.synced_revision());
    }
}

/// Learns what stands in the store from a peer, if this node is to; returns whether it did.
///
/// A node that callers ask already reads the store at once: after a loss of all nodes the
/// directory of one that has met nobody names itself.
async fn start_from_peer(
    state: &ControlState,
    peer: &mut FollowedPeer,
    mut asked: watch::Receiver<bool>,
) -> bool {
    loop {
        let start_from = state.gossip.borrow().bootstrap_source(state.clock.now_us());
        match start_from {
            BootstrapSource::Store => return false,
            BootstrapSource::Peer { peer_address } => {
                return peer.bootstrap(state, &peer_address).await;
            }
            BootstrapSource::Undecided if *asked.borrow_and_update() => {
                log::info!("a caller asks before the store was read");
                return false;
            }
            BootstrapSource::Undecided => {
                // Either end of the wait means to look again.
                let _ = timeout(PEER_CHECK_INTERVAL, asked.changed()).await;
            }
        }
    }
}

/// Reads one page of the list.
async fn list_page(
    state: &ControlState,
    client: &mut PersistentClient,
    after_key: Option<&str>,
) -> Result<StoreCallOutcome, StoreError> {
    let (status, body) =
        client.call(StoreRequest::list(ALL_KEYS_PREFIX, after_key), CALL_TIMEOUT).await?;
    let page = decode_page(status, &body)?;
    if after_key.is_none() {
        state.apply_events([DiscoveryEvent::ListStarted { revision: page.store_revision }]);
    }
    let last_key: Option<EcoString> = page.items.last().map(|item| item.key.clone());
    let next_after = last_key.filter(|_| page.has_more);
    state.apply_events(page.items.into_iter().filter_map(item_event));
    Ok(StoreCallOutcome::Page { revision: page.store_revision, next_after_key: next_after })
}

/// Waits for changes.
async fn wait_for_changes(
    state: &ControlState,
    client: &mut PersistentClient,
    after_revision: u64,
    wait_ms: u64,
) -> Result<StoreCallOutcome, StoreError> {
    let limit = Duration::from_millis(wait_ms) + CALL_TIMEOUT;
    let call = StoreRequest::watch(ALL_KEYS_PREFIX, after_revision, wait_ms);
    let (status, body) = client.call(call, limit).await?;
    let (changes, revision) = decode_changes(status, &body)?;
    let has_changes = !changes.is_empty();
    state.apply_events(changes.into_iter().filter_map(change_event));
    Ok(StoreCallOutcome::WatchCompleted { revision, has_changes })
}

/// Ends when peers have known more of the store than this node for a while.
///
/// Guards against a watch whose connection went silent: the change that it should have brought
/// shows in the peers' heartbeats long before the watch would have come back.
pub async fn wait_until_behind(state: &ControlState) -> StoreError {
    let mut behind = 0;
    while behind < LAG_CHECK_COUNT {
        sleep(LAG_CHECK_INTERVAL).await;
        let is_behind = state.gossip.borrow().most_advanced_peer().is_some();
        behind = if is_behind { behind + 1 } else { 0 };
    }
    StoreError::NoAnswer {
        detail: "peers have heard of changes that the watch did not bring".into(),
    }
}
