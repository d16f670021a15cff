//! Keeps the registry in sync by the list and watch calls that [`StoreSync`] asks for, or through a
//! followed peer.

use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{
    AnsweredPoll, BootstrapSource, DiscoveryEvent, LagCheck, StoreCallOutcome, StoreStep,
    StoreSync, StoreSyncPolicy, US_PER_MS,
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

/// The interval at which a starting node checks whether a peer to bootstrap from is known.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum delay after a failed sync from a peer; up to as much again is added at random.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Syncs the registry from the store or a peer for as long as the process runs.
pub async fn follow_store(state: Rc<ControlState>, configuration_needed: watch::Receiver<bool>) {
    let mut client = PersistentClient::new(state.settings().store);
    let mut peer = FollowedPeer::default();
    let policy = StoreSyncPolicy::new(state.settings().store_recovery_ms);
    let mut sync = StoreSync::new(policy, rand::random());
    // A node that bootstraps from the store knows no peers yet and must not wait for them: its
    // first read goes to the store.
    let mut may_follow = bootstrap_from_peer(&state, &mut peer, configuration_needed).await;
    if may_follow {
        sync.resume_from(state.store_revision());
    }
    let mut list_started_us = 0;
    let mut lag_check = LagCheck::default();
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
        let sent_us = state.clock.now_us();
        let mut watch_wait_us = 0;
        let (call, outcome) = match step {
            StoreStep::Pause { .. } => continue,
            StoreStep::List { after_key } => {
                if after_key.is_none() {
                    list_started_us = sent_us;
                }
                ("list", list_page(&state, &mut client, after_key.as_deref()).await)
            }
            StoreStep::Watch { after_revision, wait_ms, timeout_ms } => {
                let wait_ms = state.watch_wait_ms(wait_ms);
                watch_wait_us = wait_ms * US_PER_MS;
                let call = StoreRequest::watch(ALL_KEYS_PREFIX, after_revision, wait_ms);
                let limit = Duration::from_millis(wait_ms + timeout_ms);
                let watch = wait_for_changes(&state, &mut client, call, limit);
                let outcome = tokio::select! {
                    outcome = watch => outcome,
                    error = wait_until_behind(&state, &mut lag_check) => Err(error),
                };
                ("watch", outcome)
            }
        };
        state.count_store_call(call, outcome.as_ref().err());
        state.record_store_read(sent_us, outcome.as_ref().err());
        let outcome = outcome.unwrap_or_else(|error| {
            let now_us = state.clock.now_us();
            log::info!(
                call, wait_ms = watch_wait_us / US_PER_MS, took_ms = (now_us - sent_us) / US_PER_MS,
                answer_age_ms = state.store_answer_age_us() / US_PER_MS, error:%;
                "a store read failed"
            );
            client.disconnect();
            match error {
                StoreError::HistoryCompacted => StoreCallOutcome::HistoryCompacted,
                _ => StoreCallOutcome::Failed,
            }
        });
        if !matches!(outcome, StoreCallOutcome::WatchCompleted { has_changes: false, .. }) {
            lag_check.restart();
        }
        let now_us = state.clock.now_us();
        if let StoreCallOutcome::WatchCompleted { has_changes, .. } = outcome {
            let poll = AnsweredPoll {
                sent_us,
                answered_us: now_us,
                wait_us: watch_wait_us,
                has_changes,
                source_age_us: 0,
            };
            state.confirmation.record(poll.confirmed_us());
        }
        if sync.record_outcome(now_us, outcome) {
            state.apply_events([DiscoveryEvent::ListEnded]);
            state.confirmation.record(list_started_us);
        }
        // Must come after the events are applied: this wakes peers that wait for the revision, and
        // they get the entries known at that time.
        state.advance_revision(sync.synced_revision());
    }
}

/// Bootstraps the registry from a peer if this node should use one; returns whether it did.
///
/// A node that already gets requests reads the store at once: when all nodes restart, the directory
/// of a node that knows no peers lists the node itself, so callers are sent to it and refused.
async fn bootstrap_from_peer(
    state: &ControlState,
    peer: &mut FollowedPeer,
    mut configuration_needed: watch::Receiver<bool>,
) -> bool {
    loop {
        let source = state.gossip.borrow().bootstrap_source(state.clock.now_us());
        match source {
            BootstrapSource::Store => return false,
            BootstrapSource::Peer { peer_address } => {
                return peer.bootstrap(state, &peer_address).await;
            }
            BootstrapSource::Undecided if *configuration_needed.borrow_and_update() => {
                log::info!("a caller asks before the store was read");
                return false;
            }
            BootstrapSource::Undecided => {
                // Checks again after a notification as well as after the timeout.
                let _ = timeout(PEER_CHECK_INTERVAL, configuration_needed.changed()).await;
            }
        }
    }
}

/// Reads and applies one page of the list.
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
    let next_after_key = last_key.filter(|_| page.has_more);
    state.apply_events(page.items.into_iter().filter_map(item_event));
    Ok(StoreCallOutcome::Page { revision: page.store_revision, next_after_key })
}

/// Watches the store and applies the changes that the watch returns.
async fn wait_for_changes(
    state: &ControlState,
    client: &mut PersistentClient,
    call: StoreRequest,
    limit: Duration,
) -> Result<StoreCallOutcome, StoreError> {
    let (status, body) = client.call(call, limit).await?;
    let (changes, revision) = decode_changes(status, &body)?;
    let has_changes = !changes.is_empty();
    state.apply_events(changes.into_iter().filter_map(change_event));
    Ok(StoreCallOutcome::WatchCompleted { revision, has_changes })
}

/// Returns an error once [`LagCheck`] finds that peers have a newer store revision than this node.
pub async fn wait_until_behind(state: &ControlState, lag_check: &mut LagCheck) -> StoreError {
    loop {
        let now_us = state.clock.now_us();
        let next_check_us = lag_check.next_check_us(now_us);
        sleep(Duration::from_micros(next_check_us.saturating_sub(now_us))).await;
        let is_behind = state.gossip.borrow().most_advanced_peer().is_some();
        if lag_check.record(state.clock.now_us(), is_behind) {
            return StoreError::NoAnswer {
                detail: "peers have a newer store revision than this call returned".into(),
            };
        }
    }
}
