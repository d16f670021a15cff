//! Poison requests, which crash each upstream that runs them.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent, SubRequestId};
use sassafrasproxy_wire::{FailureReason, SubRequestOutcome};
use scheduler_harness::{MS, SchedulerHarness};

const POISON: u64 = 666;

fn submit_poison(harness: &mut SchedulerHarness) -> SubRequestId {
    let mut spec = harness.new_spec();
    spec.fingerprint = POISON;
    harness.submit_spec(spec)
}

/// Crashes and restarts the replica of each open poison request; returns the number of crashes.
fn crash_poisoned_replicas(harness: &mut SchedulerHarness, poison_ids: &[SubRequestId]) -> usize {
    let mut crashes = 0;
    loop {
        let open = harness.open_attempts.values().find(|(_, id)| poison_ids.contains(id)).cloned();
        let Some((replica, _)) = open else { return crashes };
        harness.restart(&replica);
        harness.answer_probes(&[]);
        crashes += 1;
    }
}

// One request crashes each upstream that runs it, and its caller keeps resending it immediately.
// Without a quarantine, one replica of the shard after another crashes; at most two may.
#[test]
fn at_most_two_crashes() {
    let mut harness = SchedulerHarness::warm();
    let mut poison_ids = Vec::new();
    let mut crashes = 0;
    for _ in 0..20 {
        poison_ids.push(submit_poison(&mut harness));
        crashes += crash_poisoned_replicas(&mut harness, &poison_ids);
        harness.advance(MS);
    }
    assert_eq!(crashes, 2);
    assert_eq!(harness.quarantined, [POISON]);
    let refused =
        SubRequestOutcome::NotRun { reason: FailureReason::Quarantined, retry_after_ms: 60_000 };
    assert_eq!(harness.replies[poison_ids.last().unwrap()], refused);
}

#[test]
fn at_most_two_concurrent_crashes() {
    let mut harness = SchedulerHarness::warm();
    let poison_ids: Vec<SubRequestId> = (0..6).map(|_| submit_poison(&mut harness)).collect();
    assert_eq!(crash_poisoned_replicas(&mut harness, &poison_ids), 2);
}

// A harmless request runs on the same replica as a poison request when the replica crashes. The
// harmless request must be answered and must not be quarantined for the other's crash.
#[test]
fn harmless_request_on_crashed_replica() {
    let mut harness = SchedulerHarness::warm();
    let poison_id = submit_poison(&mut harness);
    let replica = harness.replica_of(poison_id);
    let harmless = harness.submit_to(&replica);
    harness.restart(&replica);
    harness.answer_probes(&[]);
    let mut poison_ids = vec![poison_id];
    for _ in 0..4 {
        if harness.open_attempts.values().any(|(_, id)| *id == harmless) {
            harness.end_first_attempt(harmless, AttemptResult::Answered);
        }
        crash_poisoned_replicas(&mut harness, &poison_ids);
        poison_ids.push(submit_poison(&mut harness));
    }
    assert_eq!(harness.replies[&harmless], SubRequestOutcome::Answered);
    assert_eq!(harness.quarantined, [POISON]);
}

// The network drops a connection while a harmless request runs. The upstream has not crashed, so
// the request must not become a crash suspect, however often this happens.
#[test]
fn lost_connection_is_no_crash() {
    let mut harness = SchedulerHarness::warm();
    for _ in 0..5 {
        let id = submit_poison(&mut harness);
        harness.end_first_attempt(id, AttemptResult::ConnectionLost);
        harness.answer_probes(&[]);
        harness.end_first_attempt(id, AttemptResult::Answered);
        assert_eq!(harness.replies[&id], SubRequestOutcome::Answered);
    }
    assert!(harness.quarantined.is_empty());
}

#[test]
fn received_quarantine() {
    let mut harness = SchedulerHarness::warm();
    harness.step(SchedulerEvent::Quarantine { fingerprint: POISON, ttl_us: 1_000 * MS });
    let refused = submit_poison(&mut harness);
    assert!(matches!(
        harness.replies[&refused],
        SubRequestOutcome::NotRun { reason: FailureReason::Quarantined, .. }
    ));
    harness.advance(1_001 * MS);
    let accepted = submit_poison(&mut harness);
    harness.end_first_attempt(accepted, AttemptResult::Answered);
    assert_eq!(harness.replies[&accepted], SubRequestOutcome::Answered);
}
