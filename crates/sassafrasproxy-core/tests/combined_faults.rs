//! Any faults together, in any order: what must hold of a lane at every step.
//!
//! `proptest` prints the shortest failing run. The seed stands in `.cargo/config.toml`;
//! `PROPTEST_RNG_SEED` and `PROPTEST_CASES` in the environment widen the search.

mod scheduler_harness;

use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_core::{AttemptResult, SchedulerEvent, StatusReport, SubRequestId};
use sassafrasproxy_wire::{Reason, SubOutcome, UpstreamState};
use scheduler_harness::{MS, SNAPSHOT, SchedulerHarness};

/// One thing that happens; indexes wrap over what is there.
#[derive(Debug, Clone)]
enum Action {
    Submit { is_idempotent: bool, fingerprint: u64 },
    End { send: usize, result: AttemptResult },
    Abandon { sub: usize },
    ConfirmCancels,
    Restart { replica: usize },
    AnswerProbes { is_down: bool },
    Status { replica: usize, state: UpstreamState },
    StatusFails { replica: usize },
    DomainOut { replica: usize },
    DomainIn,
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
        12 => (any::<usize>(), any_result()).prop_map(|(send, result)| Action::End { send, result }),
        1 => any::<usize>().prop_map(|sub| Action::Abandon { sub }),
        4 => Just(Action::ConfirmCancels),
        1 => (0..3_usize).prop_map(|replica| Action::Restart { replica }),
        4 => any::<bool>().prop_map(|is_down| Action::AnswerProbes { is_down }),
        3 => (0..3_usize, state).prop_map(|(replica, state)| Action::Status { replica, state }),
        1 => (0..3_usize).prop_map(|replica| Action::StatusFails { replica }),
        1 => (0..3_usize).prop_map(|replica| Action::DomainOut { replica }),
        1 => Just(Action::DomainIn),
        1 => Just(Action::LoseHome),
        1 => Just(Action::BecomeHome),
        6 => (1..40_u64).prop_map(|ms| Action::Advance { ms }),
    ]
}

/// What the test knows of a sub-request, to check the lane's word by.
#[derive(Debug, Clone, Copy)]
struct ExpectedState {
    is_idempotent: bool,
    /// Whether any send ended in a way that may have run, or has not ended.
    may_have_run: bool,
    is_abandoned: bool,
}

struct Simulation {
    bench: SchedulerHarness,
    expected: IndexMap<SubRequestId, ExpectedState>,
}

impl Simulation {
    fn apply(&mut self, step: &Action) {
        let bench = &mut self.bench;
        let sends_before = bench.sends.len();
        match step {
            Action::Submit { is_idempotent, fingerprint } => {
                let mut sub = bench.new_spec();
                (sub.is_idempotent, sub.may_hedge) = (*is_idempotent, *is_idempotent);
                (sub.fingerprint, sub.snapshot) = (*fingerprint, SNAPSHOT);
                let is_idempotent = *is_idempotent;
                let known =
                    ExpectedState { is_idempotent, may_have_run: false, is_abandoned: false };
                self.expected.insert(sub.id, known);
                bench.submit_spec(sub);
            }
            Action::End { send, result } => {
                let index = send.checked_rem(bench.open_attempts.len()).unwrap_or(0);
                let open = bench.open_attempts.get_index(index).map(|(id, (_, sub))| (*id, *sub));
                if let Some((attempt, sub)) = open {
                    self.expected[&sub].may_have_run |= !proves_not_run(*result);
                    bench.end_attempt(attempt, *result);
                }
            }
            Action::Abandon { sub } => {
                let index = sub.checked_rem(self.expected.len()).unwrap_or(0);
                if let Some((key, known)) = self.expected.get_index_mut(index) {
                    known.is_abandoned = true;
                    bench.step(SchedulerEvent::Abandon { sub_request: *key });
                }
            }
            Action::ConfirmCancels => {
                for attempt in &bench.cancels {
                    if let Some((_, sub)) = bench.open_attempts.get(attempt) {
                        self.expected[sub].may_have_run = true;
                    }
                }
                bench.confirm_cancels();
            }
            Action::Restart { replica } => {
                for (at, sub) in bench.open_attempts.values() {
                    self.expected[sub].may_have_run |= at == REPLICAS[*replica];
                }
                bench.restart(REPLICAS[*replica]);
            }
            Action::AnswerProbes { is_down } => {
                bench.answer_probes(if *is_down { &REPLICAS } else { &[] });
            }
            Action::Status { replica, state } => bench.report_status(REPLICAS[*replica], *state),
            Action::StatusFails { replica } => {
                let replica = REPLICAS[*replica].into();
                let report = StatusReport::Unreachable;
                bench.step(SchedulerEvent::Status { replica, probe_id: None, report });
            }
            Action::DomainOut { replica } => {
                let domain = bench.configuration.replicas[*replica].failure_domain.clone();
                bench.configuration.domains_out.insert(domain);
                bench.step(SchedulerEvent::Reconfigure(bench.configuration.clone()));
            }
            Action::DomainIn => {
                bench.configuration.domains_out.clear();
                bench.step(SchedulerEvent::Reconfigure(bench.configuration.clone()));
            }
            Action::LoseHome => bench.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() }),
            Action::BecomeHome => bench.step(SchedulerEvent::BecomeHome { view_skew_us: 50 * MS }),
            Action::Advance { ms } => bench.advance(ms * MS),
        }
        self.check(step, sends_before);
    }

    fn check(&self, step: &Action, sends_before: usize) {
        let bench = &self.bench;
        for replica in REPLICAS {
            let open = bench.open_attempts.values().filter(|(at, _)| at == replica).count() as u32;
            assert!(open <= 2, "{replica} has {open} in flight after {step:?}");
            assert_eq!(open, bench.in_flight(replica), "{replica} is counted right");
        }
        // A step may both use a replica and, later in it, learn that it leaves; only what was
        // known before the step counts, which for domains is the configuration.
        for (replica, _) in &bench.sends[sends_before..] {
            let domain = format!("domain-{replica}");
            let is_out = bench.configuration.domains_out.contains(domain.as_str());
            assert!(!is_out, "{replica} is out and got new work at {step:?}");
        }
        for (key, known) in &self.expected {
            let is_open = bench.open_attempts.values().any(|(_, sub)| sub == key);
            match bench.replies.get(key) {
                Some(SubOutcome::NotRun { reason, .. }) => {
                    assert!(!known.may_have_run && !is_open, "{key:?} may have run: {reason}");
                    assert_ne!(*reason, Reason::ConnectionLost);
                }
                Some(SubOutcome::NotHome { may_have_run }) => {
                    assert!(*may_have_run || !known.may_have_run && !is_open, "{key:?}");
                }
                Some(SubOutcome::Answered | SubOutcome::Unknown { .. }) | None => {}
            }
            if !known.is_idempotent {
                let runs = usize::from(known.may_have_run) + usize::from(is_open);
                assert!(runs <= 1, "{key:?} may have run twice");
            }
        }
    }

    /// Ends everything, and checks that nothing is left without an answer.
    fn finish(mut self) {
        self.apply(&Action::DomainIn);
        self.apply(&Action::Advance { ms: 200 });
        for _ in 0..100 {
            self.apply(&Action::AnswerProbes { is_down: false });
            self.apply(&Action::ConfirmCancels);
            self.apply(&Action::End { send: 0, result: AttemptResult::Answered });
        }
        for (key, known) in &self.expected {
            let is_replied = self.bench.replies.contains_key(key);
            assert!(is_replied || known.is_abandoned, "{key:?} got no answer");
        }
        assert!(self.bench.scheduler.is_idle());
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
        let bench = if is_warm { SchedulerHarness::warm() } else { SchedulerHarness::cold() };
        let mut run = Simulation { bench, expected: IndexMap::new() };
        // What the warm-up ran is none of this run's business.
        run.bench.sends.clear();
        for step in &steps {
            run.apply(step);
        }
        run.finish();
    }
}
