//! Tests the quarantine of requests that crash the replicas that run them.

use sassafrasproxy_core::{
    CrashReport, QuarantineDecision, QuarantineRecord, QuarantineRecords, QuarantineWrite,
    ReportStep, RequestQuarantine,
};

const SECOND_US: u64 = 1_000_000;

fn fingerprint(path: &str) -> u64 {
    CrashReport::fingerprint("shop.example", "GET", path, b"")
}

fn report(fingerprint: u64, attempt: u64) -> CrashReport {
    CrashReport::new(fingerprint, &format!("a{attempt}"), "r1")
}

/// Returns a quarantine with three reports on a request.
fn quarantined(fingerprint: u64) -> RequestQuarantine {
    let mut quarantine = RequestQuarantine::default();
    (0..3).for_each(|attempt| {
        quarantine.add_report(0, report(fingerprint, attempt), 0);
    });
    quarantine
}

/// Returns the record of a quarantined request.
fn record(fingerprint: u64, trials: usize) -> QuarantineRecord {
    let crash_ids = (0..3).map(|attempt| report(fingerprint, attempt).crash_id).collect();
    QuarantineRecord { fingerprint, is_quarantined: true, crash_ids, trials }
}

fn records(record: QuarantineRecord, revision: u64) -> QuarantineRecords {
    QuarantineRecords::from_iter([(record.fingerprint, (record, revision))])
}

/// A caller repeats a request that crashes replicas, on three nodes in turn. Each node observes one
/// crash and receives reports of the others. After the third crash, all nodes refuse the request,
/// also once reports on another request would have expired.
#[test]
fn reports_from_three_nodes() {
    let crashing = fingerprint("/x/1");
    let mut nodes =
        [RequestQuarantine::default(), RequestQuarantine::default(), RequestQuarantine::default()];
    for attempt in 0..3 {
        for node in &mut nodes {
            assert!(!node.is_quarantined(crashing), "refused before attempt {attempt}");
        }
        for node in &mut nodes {
            assert_ne!(node.add_report(0, report(crashing, attempt), 0), ReportStep::Known);
            let again = node.add_report(0, report(crashing, attempt), 0);
            assert_eq!(again, ReportStep::Known, "the same crash was counted twice");
        }
    }
    for node in &mut nodes {
        for now_us in [0, 31 * SECOND_US, 3_600 * SECOND_US] {
            let decision = node.decide(now_us, crashing);
            assert!(matches!(decision, QuarantineDecision::Refuse { .. }), "{decision:?}");
        }
        let other = node.decide(0, fingerprint("/x/2"));
        assert_eq!(other, QuarantineDecision::Send(0), "another request");
    }
}

/// A failure domain is lost while a query runs on twenty of its replicas. The crashes count once,
/// or the query would be quarantined although it did not cause them.
#[test]
fn simultaneous_crashes() {
    let query = fingerprint("/all/1");
    let mut quarantine = RequestQuarantine::default();
    for _ in 0..20 {
        quarantine.add_report(0, CrashReport::new(query, "a1", ""), 0);
    }
    assert!(!quarantine.is_quarantined(query));
}

#[test]
fn fingerprint_separates_fields() {
    let split = CrashReport::fingerprint("h", "GET", "/ab", b"c");
    assert_ne!(split, CrashReport::fingerprint("h", "GET", "/a", b"bc"));
}

/// Guards against a request that is let in again at full strength each time its reports expire.
#[test]
fn repeats_for_an_hour() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    let mut stored = QuarantineRecords::new();
    let (mut crashes, mut revision) = (0, 0);
    for second in 0..3_600 {
        let now_us = second * SECOND_US;
        for write in quarantine.take_due_writes(now_us) {
            let QuarantineWrite::Put { record, .. } = write else { panic!("unexpected {write:?}") };
            revision += 1;
            stored = records(record, revision);
        }
        quarantine.set_records(now_us, &stored, || 0);
        match quarantine.decide(now_us, crashing) {
            QuarantineDecision::Refuse { .. } => continue,
            QuarantineDecision::Send(_) => {}
            QuarantineDecision::SendTrial => panic!("a trial that nobody returned"),
            QuarantineDecision::ClaimTrial { record, .. } => {
                revision += 1;
                stored = records(record, revision);
                quarantine.win_trial(&stored[&crashing].0);
            }
        }
        crashes += 1;
        quarantine.add_report(now_us, report(crashing, second), 0);
    }
    assert!(crashes - 3 <= 3, "{crashes} crashes, three of them before the quarantine");
}

/// Guards against a fleet whose processes all end before a third crash, so that no node knows the
/// first two.
#[test]
fn two_reports_outlast_nodes() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    (0..2).for_each(|attempt| {
        quarantine.add_report(0, report(crashing, attempt), 0);
    });
    let writes = quarantine.take_due_writes(0);
    let [QuarantineWrite::Put { record, expected_revision: 0 }] = writes.as_slice() else {
        panic!("unexpected {writes:?}");
    };
    let mut started = RequestQuarantine::default();
    started.set_records(0, &records(record.clone(), 1), || 0);
    assert_eq!(started.decide(0, crashing), QuarantineDecision::Send(2));
    assert_eq!(started.add_report(0, report(crashing, 2), 0), ReportStep::Quarantined);
}

/// Guards against a record that is late after an outage of the store, and against nodes that all try
/// to write it again at once.
#[test]
fn lost_writes_come_again() {
    let longest_call_us = 1_500_000;
    let time_to_catch_up_us = 4_000_000;
    for delay_us in [0, 500_000, 60 * SECOND_US] {
        let crashing = fingerprint("/x/1");
        let mut quarantine = RequestQuarantine::default();
        (0..2).for_each(|attempt| {
            quarantine.add_report(0, report(crashing, attempt), delay_us);
        });
        let taken_us = quarantine.next_write_us().unwrap();
        assert_eq!(quarantine.take_due_writes(taken_us).len(), 1);
        let pause_us = quarantine.next_write_us().unwrap() - taken_us;
        assert!(pause_us >= delay_us + longest_call_us, "{pause_us}");
        assert!(pause_us + longest_call_us <= delay_us + time_to_catch_up_us, "{pause_us}");
    }
}

/// Guards against a trial by a record that an answer has refuted, of a request that has crashed
/// three replicas since.
#[test]
fn crashes_after_refuted_record() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    quarantine.set_records(0, &records(record(crashing, 0), 7), || 0);
    quarantine.record_answer(0, crashing);
    let later_us = 60 * SECOND_US;
    (3..6).for_each(|attempt| {
        quarantine.add_report(later_us, report(crashing, attempt), 0);
    });
    let decision = quarantine.decide(later_us, crashing);
    assert!(matches!(decision, QuarantineDecision::Refuse { .. }), "{decision:?}");
    quarantine.set_records(later_us, &QuarantineRecords::new(), || 0);
    assert!(quarantine.is_quarantined(crashing));
    let writes = quarantine.take_due_writes(later_us);
    let is_created = matches!(&writes[..], [QuarantineWrite::Put { expected_revision: 0, .. }]);
    assert!(is_created, "{writes:?}");
}

/// Guards against a caller that waits longer than reports count, so that none are ever enough.
#[test]
fn slow_repeats() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    for attempt in 0..3 {
        let now_us = attempt * 120 * SECOND_US;
        let decision = quarantine.decide(now_us, crashing);
        assert_eq!(decision, QuarantineDecision::Send(attempt as usize));
        quarantine.add_report(now_us, report(crashing, attempt), 0);
    }
    assert!(quarantine.is_quarantined(crashing));
}

/// Guards against the refusal of a request that ran beside crashes and is answered elsewhere.
#[test]
fn answers_end_suspicion() {
    let popular = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    quarantine.add_report(0, report(popular, 0), 0);
    quarantine.add_report(0, report(popular, 1), 0);
    assert!(quarantine.record_answer(SECOND_US, popular), "peers must be told");
    assert!(!quarantine.record_answer(SECOND_US, popular), "peers were told");
    // Reports that were on their way, from peers that have not seen an answer.
    for attempt in 2..5 {
        let step = quarantine.add_report(SECOND_US, report(popular, attempt), 0);
        assert_eq!(step, ReportStep::Refuted { is_news: false });
    }
    assert_eq!(quarantine.decide(SECOND_US, popular), QuarantineDecision::Send(0));
    let step = quarantine.add_report(10 * SECOND_US, report(popular, 5), 0);
    assert_eq!(step, ReportStep::Counted(1), "the request may crash replicas by now");
}

/// Guards against late copies of a report, which peers pass on for seconds, that count as new
/// crashes or are answered with a notice each.
#[test]
fn copies_of_refuted_reports() {
    let popular = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    quarantine.add_report(0, report(popular, 0), 0);
    quarantine.record_answer(0, popular);
    quarantine.add_report(SECOND_US, report(popular, 1), 0);
    for second in [1, 2, 10, 25] {
        for attempt in 0..2 {
            let step = quarantine.add_report(second * SECOND_US, report(popular, attempt), 0);
            assert_eq!(step, ReportStep::Known, "report {attempt} after {second} s");
        }
    }
    assert_eq!(quarantine.decide(25 * SECOND_US, popular), QuarantineDecision::Send(0));
}

/// Guards against a node that refuses a request which a peer saw answered.
#[test]
fn peer_answers_end_suspicion() {
    let popular = fingerprint("/x/1");
    let mut quarantine = quarantined(popular);
    quarantine.record_peer_answer(SECOND_US, popular, 0);
    assert!(!quarantine.is_quarantined(popular));
    assert_eq!(quarantine.next_write_us(), None);
}

/// Guards against several nodes that each try a quarantined request.
#[test]
fn one_trial_for_all_nodes() {
    let crashing = fingerprint("/x/1");
    let stored = records(record(crashing, 0), 7);
    let mut nodes = [quarantined(crashing), RequestQuarantine::default()];
    let due_us = 60 * SECOND_US;
    for node in &mut nodes {
        node.set_records(0, &stored, || 0);
    }
    let claims = nodes.each_mut().map(|node| node.decide(due_us, crashing));
    let claim =
        QuarantineDecision::ClaimTrial { record: record(crashing, 1), expected_revision: 7 };
    assert_eq!(claims, [claim.clone(), claim], "the store accepts one of them");
    let [winner, other] = &mut nodes;
    winner.win_trial(&record(crashing, 1));
    let stored = records(record(crashing, 1), 8);
    for node in [winner, other] {
        node.set_records(due_us, &stored, || 0);
        let decision = node.decide(due_us + 60 * SECOND_US, crashing);
        assert!(matches!(decision, QuarantineDecision::Refuse { .. }), "{decision:?}");
    }
}

/// Guards against a request that stays refused although its trial was answered, or was never run.
#[test]
fn trials_end_quarantine() {
    let mended = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    quarantine.set_records(0, &records(record(mended, 0), 7), || 0);
    let due_us = 60 * SECOND_US;
    let QuarantineDecision::ClaimTrial { record, .. } = quarantine.decide(due_us, mended) else {
        panic!("no trial is due");
    };
    quarantine.win_trial(&record);
    quarantine.set_records(due_us, &records(record, 8), || 0);
    // No replica could take the first one.
    quarantine.return_trial(mended);
    assert_eq!(quarantine.decide(due_us, mended), QuarantineDecision::SendTrial);
    quarantine.record_answer(due_us, mended);
    let removal = QuarantineWrite::Remove { fingerprint: mended, expected_revision: 8 };
    let removals = std::slice::from_ref(&removal);
    assert_eq!(quarantine.take_due_writes(due_us), removals);
    assert_eq!(quarantine.take_due_writes(due_us), [], "the same again at once");
    assert_eq!(quarantine.take_due_writes(due_us + 60 * SECOND_US), removals, "no answer came");
    quarantine.set_records(due_us, &QuarantineRecords::new(), || 0);
    assert_eq!(quarantine.decide(due_us, mended), QuarantineDecision::Send(0));
}

/// Guards against the refusal of a request that was in progress several times when a failure domain
/// was lost, together with other requests.
#[test]
fn request_in_crash_wave() {
    let popular = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    for request in 0..4 {
        quarantine.add_report(0, report(fingerprint(&format!("/y/{request}")), 0), 0);
    }
    for attempt in 0..5 {
        let step = quarantine.add_report(0, report(popular, attempt), 0);
        assert_eq!(step, ReportStep::Counted(attempt as usize + 1));
    }
    let step = quarantine.add_report(0, report(popular, 5), 0);
    assert_eq!(step, ReportStep::Quarantined, "no answer in six sends");
}

/// Guards against a wave of crashes whose reports displace those of the request that crashes
/// replicas.
#[test]
fn crash_wave() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    quarantine.add_report(0, report(crashing, 0), 0);
    quarantine.add_report(0, report(crashing, 1), 0);
    for request in 0..5_000 {
        quarantine.add_report(0, report(fingerprint(&format!("/y/{request}")), 0), 0);
    }
    let later_us = 5 * SECOND_US;
    let step = quarantine.add_report(later_us, report(crashing, 2), 0);
    assert_eq!(step, ReportStep::Quarantined);
    for request in 0..5_000 {
        quarantine.add_report(0, report(fingerprint(&format!("/z/{request}")), 0), 0);
    }
    assert!(quarantine.is_quarantined(crashing));
}
