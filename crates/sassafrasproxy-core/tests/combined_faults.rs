//! Checks the scheduler's invariants after every step of random fault sequences.
//!
//! `proptest` prints the shortest failing run. The seed is set in `.cargo/config.toml`; the
//! environment variables `PROPTEST_RNG_SEED` and `PROPTEST_CASES` select other and more runs.

mod scheduler_harness;

use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_core::{AttemptResult, SchedulerEvent, StatusReport, SubRequestId};
use sassafrasproxy_wire::{FailureReason, SubRequestOutcome, UpstreamState};
use scheduler_harness::{MS, SNAPSHOT, SchedulerHarness};

/// One step of a run; an index is taken modulo the number of items.
#[derive(Debug, Clone)]
enum Action {
    Submit { is_idempotent: bool, fingerprint: u64 },
    End { attempt_index: usize, result: AttemptResult },
    Abandon { sub_request_index: usize },
    ConfirmCancels,
    Restart { replica: usize },
    AnswerProbes { is_down: bool },
    Status { replica: usize, state: UpstreamState },
    StatusFails { replica: usize },
    DomainOut { replica: usize },
    DomainBack,
    LoseHome,
    BecomeHome,
    Advance { ms: u64 },
}

const REPLICAS: [&str; 3] = ["a", "b", "c"];

fn any_result() -> impl Strategy<Value = AttemptResult> {
    prop_oneof![
        6 => Just(AttemptResult::Answered),
        1 => Just(AttemptResult::Shed { retry_after_us: 0 }),
        1 => Just(AttemptResult::NotHeld),
        1 => Just(AttemptResult::ConnectFailed),
        1 => Just(AttemptResult::NotSent),
        1 => Just(AttemptResult::ConnectionLost),
        1 => Just(AttemptResult::TimedOut),
        1 => Just(AttemptResult::Mismatched),
        1 => Just(AttemptResult::Malformed),
        1 => Just(AttemptResult::Failed),
    ]
}

fn any_action() -> impl Strategy<Value = Action> {
    let state = prop_oneof![
        4 => Just(UpstreamState::Serving),
        1 => Just(UpstreamState::Cold),
        1 => Just(UpstreamState::Draining),
    ];
    prop_oneof![
        12 => (any::<bool>(), 0..6_u64)
            .prop_map(|(is_idempotent, fingerprint)| Action::Submit { is_idempotent, fingerprint }),
        12 => (any::<usize>(), any_result())
            .prop_map(|(attempt_index, result)| Action::End { attempt_index, result }),
        1 => any::<usize>().prop_map(|sub_request_index| Action::Abandon { sub_request_index }),
        4 => Just(Action::ConfirmCancels),
        1 => (0..3_usize).prop_map(|replica| Action::Restart { replica }),
        4 => any::<bool>().prop_map(|is_down| Action::AnswerProbes { is_down }),
        3 => (0..3_usize, state).prop_map(|(replica, state)| Action::Status { replica, state }),
        1 => (0..3_usize).prop_map(|replica| Action::StatusFails { replica }),
        1 => (0..3_usize).prop_map(|replica| Action::DomainOut { replica }),
        1 => Just(Action::DomainBack),
        1 => Just(Action::LoseHome),
        1 => Just(Action::BecomeHome),
        6 => (1..40_u64).prop_map(|ms| Action::Advance { ms }),
    ]
}

/// The state of a sub-request that the test tracks to check the scheduler's outcomes.
#[derive(Debug, Clone, Copy)]
struct ExpectedState {
    is_idempotent: bool,
    /// Whether an attempt ended without proof that it did not run.
    may_have_run: bool,
    is_abandoned: bool,
}

struct Simulation {
    harness: SchedulerHarness,
    expected: IndexMap<SubRequestId, ExpectedState>,
}

impl Simulation {
    fn apply(&mut self, step: &Action) {
        let harness = &mut self.harness;
        let attempts_before = harness.attempts.len();
        match step {
            Action::Submit { is_idempotent, fingerprint } => {
                let mut spec = harness.new_spec();
                (spec.is_idempotent, spec.may_hedge) = (*is_idempotent, *is_idempotent);
                (spec.fingerprint, spec.snapshot) = (*fingerprint, SNAPSHOT);
                let is_idempotent = *is_idempotent;
                let expected =
                    ExpectedState { is_idempotent, may_have_run: false, is_abandoned: false };
                self.expected.insert(spec.id, expected);
                harness.submit_spec(spec);
            }
            Action::End { attempt_index, result } => {
                let index = attempt_index.checked_rem(harness.open_attempts.len()).unwrap_or(0);
                let open = harness
                    .open_attempts
                    .get_index(index)
                    .map(|(id, (_, sub_request))| (*id, *sub_request));
                if let Some((attempt, sub_request)) = open {
                    self.expected[&sub_request].may_have_run |= !proves_not_run(*result);
                    harness.end_attempt(attempt, *result);
                }
            }
            Action::Abandon { sub_request_index } => {
                let index = sub_request_index.checked_rem(self.expected.len()).unwrap_or(0);
                if let Some((id, expected)) = self.expected.get_index_mut(index) {
                    expected.is_abandoned = true;
                    harness.step(SchedulerEvent::Abandon { sub_request: *id });
                }
            }
            Action::ConfirmCancels => {
                for attempt in &harness.cancels {
                    if let Some((_, sub_request)) = harness.open_attempts.get(attempt) {
                        self.expected[sub_request].may_have_run = true;
                    }
                }
                harness.confirm_cancels();
            }
            Action::Restart { replica } => {
                for (address, sub_request) in harness.open_attempts.values() {
                    self.expected[sub_request].may_have_run |= address == REPLICAS[*replica];
                }
                harness.restart(REPLICAS[*replica]);
            }
            Action::AnswerProbes { is_down } => {
                harness.answer_probes(if *is_down { &REPLICAS } else { &[] });
            }
            Action::Status { replica, state } => harness.report_status(REPLICAS[*replica], *state),
            Action::StatusFails { replica } => {
                let replica = REPLICAS[*replica].into();
                let report = StatusReport::Unreachable;
                harness.step(SchedulerEvent::Status { replica, probe_id: None, report });
            }
            Action::DomainOut { replica } => {
                let domain = harness.configuration.replicas[*replica].failure_domain.clone();
                harness.configuration.domains_out.insert(domain);
                harness.step(SchedulerEvent::Reconfigure(harness.configuration.clone()));
            }
            Action::DomainBack => {
                harness.configuration.domains_out.clear();
                harness.step(SchedulerEvent::Reconfigure(harness.configuration.clone()));
            }
            Action::LoseHome => {
                harness.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
            }
            Action::BecomeHome => {
                harness.step(SchedulerEvent::BecomeHome { view_skew_us: 50 * MS });
            }
            Action::Advance { ms } => harness.advance(ms * MS),
        }
        self.check(step, attempts_before);
    }

    fn check(&self, step: &Action, attempts_before: usize) {
        let harness = &self.harness;
        for replica in REPLICAS {
            let open =
                harness.open_attempts.values().filter(|(address, _)| address == replica).count()
                    as u32;
            assert!(open <= 2, "{replica} has {open} in flight after {step:?}");
            assert_eq!(
                open,
                harness.in_flight(replica),
                "{replica}: in_flight differs from the open attempts"
            );
        }
        // A step may send to a replica before the report that the replica is leaving is handled, so
        // only the configured domains, which are set before the step, are checked.
        for (replica, _) in &harness.attempts[attempts_before..] {
            let domain = format!("domain-{replica}");
            let is_out = harness.configuration.domains_out.contains(domain.as_str());
            assert!(!is_out, "{replica} is out and got new work at {step:?}");
        }
        for (id, expected) in &self.expected {
            let is_open = harness.open_attempts.values().any(|(_, sub_request)| sub_request == id);
            match harness.replies.get(id) {
                Some(SubRequestOutcome::NotRun { reason, .. }) => {
                    assert!(!expected.may_have_run && !is_open, "{id:?} may have run: {reason}");
                    assert_ne!(*reason, FailureReason::ConnectionLost);
                }
                Some(SubRequestOutcome::NotHome { may_have_run }) => {
                    assert!(*may_have_run || !expected.may_have_run && !is_open, "{id:?}");
                }
                Some(SubRequestOutcome::Answered | SubRequestOutcome::Unknown { .. }) | None => {}
            }
            if !expected.is_idempotent {
                let runs = usize::from(expected.may_have_run) + usize::from(is_open);
                assert!(runs <= 1, "{id:?} may have run twice");
            }
        }
    }

    /// Ends all attempts and checks that every sub-request was answered or abandoned.
    fn finish(mut self) {
        self.apply(&Action::DomainBack);
        self.apply(&Action::Advance { ms: 200 });
        for _ in 0..100 {
            self.apply(&Action::AnswerProbes { is_down: false });
            self.apply(&Action::ConfirmCancels);
            self.apply(&Action::End { attempt_index: 0, result: AttemptResult::Answered });
        }
        for (id, expected) in &self.expected {
            let is_replied = self.harness.replies.contains_key(id);
            assert!(is_replied || expected.is_abandoned, "{id:?} got no answer");
        }
        assert!(self.harness.scheduler.is_idle());
    }
}

fn proves_not_run(result: AttemptResult) -> bool {
    matches!(
        result,
        AttemptResult::Shed { .. }
            | AttemptResult::NotHeld
            | AttemptResult::NotSent
            | AttemptResult::ConnectFailed
    )
}

proptest! {
    #[test]
    fn any_order(is_warm: bool, steps in prop::collection::vec(any_action(), 1..120)) {
        let harness = if is_warm { SchedulerHarness::warm() } else { SchedulerHarness::cold() };
        let mut simulation = Simulation { harness, expected: IndexMap::new() };
        // Attempts of the warm-up are not part of the run.
        simulation.harness.attempts.clear();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.finish();
    }
}
