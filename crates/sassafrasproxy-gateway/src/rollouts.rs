//! Feeds the rollout coordinator with reports and carries out its decisions.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_core::{
    DiscoveryEvent, OutgoingDatagram, RolloutEffect, RolloutLogEvent, RolloutPhase, RolloutPolicy,
    RolloutRecord, RolloutState, TrialReport,
};
use sassafrasproxy_platform::{
    RolloutStatus, StoreError, StoreRequest, decode_write_status, encode_rollout_status,
    rollout_record_key, rollout_status_key,
};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;

/// The interval between coordinator steps, and between trial reports.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the rollout coordinator for as long as the process runs.
///
/// `stopped_orders` passes the revisions of stopped orders to the task that sends datagrams to
/// peers.
pub async fn run_coordinator(state: Rc<ControlState>, stopped_orders: mpsc::UnboundedSender<u64>) {
    // A write that the store does not answer must not hold up the decisions on other rollouts.
    let services_in_flight: Rc<RefCell<IndexSet<EcoString>>> = Rc::default();
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
            let mut coordinator = state.rollout_coordinator.borrow_mut();
            let effects = coordinator.step(now_us, &states, &nodes, &policy);
            for log_event in coordinator.take_log_events() {
                state.count_rollout_step(&log_event);
                log_rollout_event(&log_event);
            }
            effects
        };
        for effect in effects {
            match effect {
                RolloutEffect::Stop { order_revision } => {
                    state.apply_events([DiscoveryEvent::RolloutStopped { order_revision }]);
                    // Fails only if the gossip task has ended, so that no peer can be reached.
                    let _ = stopped_orders.send(order_revision);
                }
                RolloutEffect::Write { record, expected_revision } => {
                    if !services_in_flight.borrow_mut().insert(record.service.clone()) {
                        continue;
                    }
                    let (state, in_flight) = (state.clone(), services_in_flight.clone());
                    spawn_local(async move {
                        write_record(&state, &record, expected_revision).await;
                        in_flight.borrow_mut().swap_remove(&record.service);
                    });
                }
            }
        }
    }
}

/// Records this node's trial reports and returns the datagrams that pass them to the coordinator.
///
/// A report needs no datagram if this node is the coordinator.
pub fn report_local_trials(
    state: &ControlState,
    reports: Vec<TrialReport>,
) -> Vec<OutgoingDatagram> {
    let now_us = state.clock.now_us();
    let mut datagrams = Vec::new();
    state.set_trial_counts(&reports);
    for report in reports {
        let datagram = state.gossip.borrow_mut().report_trial(now_us, report.clone());
        match datagram {
            Some(datagram) => datagrams.push(datagram),
            None => {
                let local_node = state.settings().name.clone();
                state.rollout_coordinator.borrow_mut().add_report(now_us, &local_node, &report);
            }
        }
    }
    datagrams
}

/// Records a peer's trial reports.
pub fn record_peer_trials(state: &ControlState, node: &EcoString, reports: &[TrialReport]) {
    let now_us = state.clock.now_us();
    for report in reports {
        state.rollout_coordinator.borrow_mut().add_report(now_us, node, report);
    }
}

/// Writes a rollout record together with the status that operators read.
///
/// A write without an answer may have been applied, or may be applied later. The coordinator
/// retries until it sees a new revision of the record.
async fn write_record(state: &ControlState, record: &RolloutRecord, expected_revision: u64) {
    let status = match record.phase {
        RolloutPhase::Trial | RolloutPhase::Promoted => RolloutStatus::Running,
        RolloutPhase::Completed => RolloutStatus::Completed,
        RolloutPhase::RolledBack => RolloutStatus::RolledBack,
    };
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => return log::error!(error:%; "cannot encode a rollout record"),
    };
    let status = encode_rollout_status(status, &record.target_version);
    let service = &record.service;
    let values = [(rollout_record_key(service), value), (rollout_status_key(service), status)];
    let call = StoreRequest::put_if_revision(expected_revision, &values);
    let mut client = PersistentClient::new(state.settings().store);
    let result = client.call(call, CALL_TIMEOUT).await;
    let result = result.and_then(|(status, _)| decode_write_status(status));
    state.count_store_call("rollout", result.as_ref().err());
    match result {
        Ok(()) => {}
        Err(StoreError::Conflict) => {
            log::info!(service:%; "the rollout record was not written: its revision has changed");
        }
        Err(error) => {
            log::warn!(service:%, error:%; "writing a rollout record failed or was not confirmed");
        }
    }
}

fn log_rollout_event(log_event: &RolloutLogEvent) {
    match log_event {
        RolloutLogEvent::UnknownService { service } => {
            log::warn!(service:%; "a rollout order names an unknown service");
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
                "the coordinator changes the phase of a rollout"
            );
        }
    }
}
