//! Writes the records of quarantined requests to the store.

use std::rc::Rc;

use sassafrasproxy_core::{QuarantineRecord, QuarantineWrite, displaced_record, fingerprint_text};
use sassafrasproxy_platform::{
    StoreError, StoreRequest, decode_write_status, quarantine_record_key,
};
use tokio::sync::mpsc;
use tokio::sync::oneshot::Sender;

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;
use crate::quarantine::QuarantineWriteCall;

/// Writes records for as long as the process runs.
///
/// A write without an answer may have been applied. The traffic thread asks for it again until the
/// store shows the record.
pub async fn run(state: Rc<ControlState>, mut calls: mpsc::UnboundedReceiver<QuarantineWriteCall>) {
    let mut client = PersistentClient::new(state.settings().store);
    while let Some(QuarantineWriteCall { write, is_accepted }) = calls.recv().await {
        // The request has stopped waiting, so it would not use the trial.
        if is_accepted.as_ref().is_some_and(Sender::is_closed) {
            continue;
        }
        let outcome = carry_out(&state, &mut client, write).await;
        if let Some(is_accepted) = is_accepted {
            // The receiver is gone if its request has stopped waiting.
            let _ = is_accepted.send(outcome == WriteOutcome::Accepted);
        }
        if outcome == WriteOutcome::Failed {
            // Calls would pile up while the store does not answer; each is due again in seconds.
            while calls.try_recv().is_ok() {}
        }
    }
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// The store accepted the write.
    Accepted,
    /// The record has another revision.
    Conflict,
    /// The store refused the write or did not answer.
    Failed,
}

/// Carries out a write.
async fn carry_out(
    state: &ControlState,
    client: &mut PersistentClient,
    write: QuarantineWrite,
) -> WriteOutcome {
    match write {
        QuarantineWrite::Put { record, expected_revision } => {
            let records = state.discovery.borrow_mut().quarantines();
            let current = records.get(&record.fingerprint).map_or(0, |(_, revision)| *revision);
            if current > expected_revision {
                // Another node was first, which the traffic thread is about to see.
                return WriteOutcome::Conflict;
            }
            if current == 0
                && let Some((displaced, revision)) = displaced_record(&records)
            {
                let removed = remove(state, client, displaced.fingerprint, *revision).await;
                // A store that does not answer would hold the next call up as long.
                if removed == WriteOutcome::Failed {
                    return WriteOutcome::Failed;
                }
            }
            put(state, client, &record, expected_revision).await
        }
        QuarantineWrite::Remove { fingerprint, expected_revision } => {
            remove(state, client, fingerprint, expected_revision).await
        }
    }
}

async fn put(
    state: &ControlState,
    client: &mut PersistentClient,
    record: &QuarantineRecord,
    expected_revision: u64,
) -> WriteOutcome {
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => {
            log::error!(error:%; "cannot encode a quarantine record");
            return WriteOutcome::Failed;
        }
    };
    let values = [(quarantine_record_key(record.fingerprint), value)];
    let request = StoreRequest::put_if_revision(expected_revision, &values);
    call(state, client, request, record.fingerprint).await
}

async fn remove(
    state: &ControlState,
    client: &mut PersistentClient,
    fingerprint: u64,
    revision: u64,
) -> WriteOutcome {
    let key = quarantine_record_key(fingerprint);
    call(state, client, StoreRequest::remove_if_revision(revision, &key), fingerprint).await
}

async fn call(
    state: &ControlState,
    client: &mut PersistentClient,
    request: StoreRequest,
    fingerprint: u64,
) -> WriteOutcome {
    let result = client.call(request, CALL_TIMEOUT).await;
    let result = result.and_then(|(status, _)| decode_write_status(status));
    state.count_store_call("quarantine", result.as_ref().err());
    let fingerprint = fingerprint_text(fingerprint);
    match result {
        Ok(()) => WriteOutcome::Accepted,
        Err(StoreError::Conflict) => {
            log::info!(fingerprint:%; "a quarantine record was not written: another node was first");
            WriteOutcome::Conflict
        }
        Err(error) => {
            client.disconnect();
            log::warn!(
                fingerprint:%, error:%;
                "writing a quarantine record failed or was not confirmed"
            );
            WriteOutcome::Failed
        }
    }
}
