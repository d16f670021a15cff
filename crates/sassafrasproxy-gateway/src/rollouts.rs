//! Roll-outs: what the decider is told, and what it asks for.

use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{
    DiscoveryEvent, OutgoingDatagram, RolloutEffect, RolloutLogEvent, RolloutPhase, RolloutPolicy,
    RolloutRecord, RolloutState, TrialReport,
};
use sassafrasproxy_platform::{
    RolloutStatus, StoreError, StoreRequest, decode_write_status, encode_rollout_status,
    rollout_record_key, rollout_status_key,
};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;

/// How often roll-outs are looked at, and what nodes counted is told.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Decides on roll-outs for as long as the process runs; `stops` brings orders that must be left
/// at once to the task that tells the peers.
pub async fn run_coordinator(state: Rc<ControlState>, stops: mpsc::UnboundedSender<u64>) {
    let mut client = PersistentClient::new(state.settings().store);
    loop {
        let states = state.discovery.borrow().rollouts();
        if !states.iter().any(RolloutState::is_running) {
            state.rollout_changed.notified().await;
            continue;
        }
        sleep(TRIAL_INTERVAL).await;
        let Some(rollouts) = state.settings().rollouts else { continue };
        let policy = RolloutPolicy::new(rollouts.exposure_share, rollouts.exposure_slack);
        let now_us = state.clock.now_us();
        let nodes = state.gossip.borrow().rollout_nodes(now_us);
        let effects = {
            let mut decider = state.rollout_coordinator.borrow_mut();
            let effects = decider.step(now_us, &states, &nodes, &policy);
            for note in decider.take_log_events() {
                state.count_rollout_step(&note);
                log_note(&note);
            }
            effects
        };
        for effect in effects {
            match effect {
                RolloutEffect::Stop { order_revision } => {
                    state.apply_events([DiscoveryEvent::RolloutStopped { order_revision }]);
                    // Without the task there are no peers to tell.
                    let _ = stops.send(order_revision);
                }
                RolloutEffect::Write { record, expected_revision } => {
                    write_record(&state, &mut client, &record, expected_revision).await;
                }
            }
        }
    }
}

/// Takes what this node counted in, and returns what to send of it.
pub fn report_local_trials(
    state: &ControlState,
    reports: Vec<TrialReport>,
) -> Vec<OutgoingDatagram> {
    let now_us = state.clock.now_us();
    let mut sends = Vec::new();
    state.set_trial_counts(&reports);
    for report in reports {
        let send = state.gossip.borrow_mut().report_trial(now_us, report.clone());
        match send {
            Some(send) => sends.push(send),
            None => {
                let me = state.settings().name.clone();
                state.rollout_coordinator.borrow_mut().add_report(now_us, &me, &report);
            }
        }
    }
    sends
}

/// Takes what a peer counted in.
pub fn record_peer_trials(state: &ControlState, node: &EcoString, reports: &[TrialReport]) {
    let now_us = state.clock.now_us();
    for report in reports {
        state.rollout_coordinator.borrow_mut().add_report(now_us, node, report);
    }
}

/// Writes a record and what operators read of it.
///
/// A write without an answer may have been done, or may be done later: the record's next revision
/// tells, and the decider tries again until it sees one.
async fn write_record(
    state: &ControlState,
    client: &mut PersistentClient,
    record: &RolloutRecord,
    expected_revision: u64,
) {
    let status = match record.phase {
        RolloutPhase::Trial | RolloutPhase::Promoted => RolloutStatus::Running,
        RolloutPhase::Completed => RolloutStatus::Completed,
        RolloutPhase::RolledBack => RolloutStatus::RolledBack,
    };
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => return log::error!(error:%; "the record of a roll-out cannot be written"),
    };
    let status = encode_rollout_status(status, &record.target_version);
    let service = &record.service;
    let values = [(rollout_record_key(service), value), (rollout_status_key(service), status)];
    let call = StoreRequest::put_if_revision(expected_revision, &values);
    let result = client.call(call, CALL_TIMEOUT).await;
    let result = result.and_then(|(status, _)| decode_write_status(status));
    state.count_store_call("rollout", result.as_ref().err());
    match result {
        Ok(()) => {}
        Err(StoreError::Conflict) => {
            log::info!(service:%; "another write to the record of a roll-out was first");
        }
        Err(error) => {
            client.disconnect();
            log::warn!(service:%, error:%; "the record of a roll-out was not written, or no answer came");
        }
    }
}

fn log_note(note: &RolloutLogEvent) {
    match note {
        RolloutLogEvent::UnknownService { service } => {
            log::warn!(service:%; "a roll-out is ordered for a service that nobody knows");
        }
        RolloutLogEvent::PhaseChange {
            service,
            target_version,
            phase,
            elapsed_ms,
            ended,
            bad,
            score,
        } => {
            log::info!(
                service:%, target_version:%, phase:?, elapsed_ms, ended, bad, score;
                "a roll-out goes on"
            );
        }
    }
}
