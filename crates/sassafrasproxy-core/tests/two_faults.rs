//! Any faults together, in any order: what must hold of a lane at every step.
//!
//! `proptest` prints the shortest failing run. The seed stands in `.cargo/config.toml`;
//! `PROPTEST_RNG_SEED` and `PROPTEST_CASES` in the environment widen the search.

mod bench;

use bench::{Bench, MS, SNAPSHOT};
use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_core::{AttemptResult, LaneEvent, StatusReport, SubKey};
use sassafrasproxy_wire::{Reason, SubOutcome, UpstreamState};

/// One thing that happens; indexes wrap over what is there.
#[derive(Debug, Clone)]
enum Step {
    Submit { is_idempotent: bool, fingerprint: u64 },
    End { send: usize, result: AttemptResult },
    GiveUp { sub: usize },
    ConfirmCancels,
    Restart { replica: usize },
    AnswerProbes { is_down: bool },
    Status { replica: usize, state: UpstreamState },
    StatusFails { replica: usize },
    DomainOut { replica: usize },
    DomainIn,
    LoseHome,
    BecomeHome,
    Pass { ms: u64 },
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

fn any_step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        4 => Just(UpstreamState::Serving),
        1 => Just(UpstreamState::Cold),
        1 => Just(UpstreamState::Draining),
    ];
    prop_oneof![
        12 => (any::<bool>(), 0..6_u64)
            .prop_map(|(is_idempotent, fingerprint)| Step::Submit { is_idempotent, fingerprint }),
        12 => (any::<usize>(), any_result()).prop_map(|(send, result)| Step::End { send, result }),
        1 => any::<usize>().prop_map(|sub| Step::GiveUp { sub }),
        4 => Just(Step::ConfirmCancels),
        1 => (0..3_usize).prop_map(|replica| Step::Restart { replica }),
        4 => any::<bool>().prop_map(|is_down| Step::AnswerProbes { is_down }),
        3 => (0..3_usize, state).prop_map(|(replica, state)| Step::Status { replica, state }),
        1 => (0..3_usize).prop_map(|replica| Step::StatusFails { replica }),
        1 => (0..3_usize).prop_map(|replica| Step::DomainOut { replica }),
        1 => Just(Step::DomainIn),
        1 => Just(Step::LoseHome),
        1 => Just(Step::BecomeHome),
        6 => (1..40_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// What the test knows of a sub-request, to check the lane's word by.
#[derive(Debug, Clone, Copy)]
struct Known {
    is_idempotent: bool,
    /// Whether any send ended in a way that may have run, or has not ended.
    may_have_run: bool,
    is_given_up: bool,
}

struct Run {
    bench: Bench,
    known: IndexMap<SubKey, Known>,
}

impl Run {
    fn apply(&mut self, step: &Step) {
        let bench = &mut self.bench;
        let sends_before = bench.sends.len();
        match step {
            Step::Submit { is_idempotent, fingerprint } => {
                let mut sub = bench.sub();
                (sub.is_idempotent, sub.may_hedge) = (*is_idempotent, *is_idempotent);
                (sub.fingerprint, sub.snapshot) = (*fingerprint, SNAPSHOT);
                let is_idempotent = *is_idempotent;
                let known = Known { is_idempotent, may_have_run: false, is_given_up: false };
                self.known.insert(sub.key, known);
                bench.submit_sub(sub);
            }
            Step::End { send, result } => {
                let index = send.checked_rem(bench.open.len()).unwrap_or(0);
                let open = bench.open.get_index(index).map(|(id, (_, sub))| (*id, *sub));
                if let Some((attempt, sub)) = open {
                    self.known[&sub].may_have_run |= !proves_not_run(*result);
                    bench.end(attempt, *result);
                }
            }
            Step::GiveUp { sub } => {
                let index = sub.checked_rem(self.known.len()).unwrap_or(0);
                if let Some((key, known)) = self.known.get_index_mut(index) {
                    known.is_given_up = true;
                    bench.step(LaneEvent::GiveUp { sub: *key });
                }
            }
            Step::ConfirmCancels => {
                for attempt in &bench.cancels {
                    if let Some((_, sub)) = bench.open.get(attempt) {
                        self.known[sub].may_have_run = true;
                    }
                }
                bench.confirm_cancels();
            }
            Step::Restart { replica } => {
                for (at, sub) in bench.open.values() {
                    self.known[sub].may_have_run |= at == REPLICAS[*replica];
                }
                bench.restart(REPLICAS[*replica]);
            }
            Step::AnswerProbes { is_down } => {
                bench.answer_probes(if *is_down { &REPLICAS } else { &[] });
            }
            Step::Status { replica, state } => bench.status(REPLICAS[*replica], *state),
            Step::StatusFails { replica } => {
                let replica = REPLICAS[*replica].into();
                let report = StatusReport::Unreachable;
                bench.step(LaneEvent::Status { replica, probe: None, report });
            }
            Step::DomainOut { replica } => {
                let domain = bench.configuration.replicas[*replica].failure_domain.clone();
                bench.configuration.domains_out.insert(domain);
                bench.step(LaneEvent::Reconfigure(bench.configuration.clone()));
            }
            Step::DomainIn => {
                bench.configuration.domains_out.clear();
                bench.step(LaneEvent::Reconfigure(bench.configuration.clone()));
            }
            Step::LoseHome => bench.step(LaneEvent::LoseHome { me: "vm-1".into() }),
            Step::BecomeHome => bench.step(LaneEvent::BecomeHome { view_skew_us: 50 * MS }),
            Step::Pass { ms } => bench.pass(ms * MS),
        }
        self.check(step, sends_before);
    }

    fn check(&self, step: &Step, sends_before: usize) {
        let bench = &self.bench;
        for replica in REPLICAS {
            let open = bench.open.values().filter(|(at, _)| at == replica).count() as u32;
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
        for (key, known) in &self.known {
            let is_open = bench.open.values().any(|(_, sub)| sub == key);
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
    fn settle(mut self) {
        self.apply(&Step::DomainIn);
        self.apply(&Step::Pass { ms: 200 });
        for _ in 0..100 {
            self.apply(&Step::AnswerProbes { is_down: false });
            self.apply(&Step::ConfirmCancels);
            self.apply(&Step::End { send: 0, result: AttemptResult::Answered });
        }
        for (key, known) in &self.known {
            let is_replied = self.bench.replies.contains_key(key);
            assert!(is_replied || known.is_given_up, "{key:?} got no answer");
        }
        assert!(self.bench.lane.is_idle());
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
    fn any_order(is_warm: bool, steps in prop::collection::vec(any_step(), 1..120)) {
        let bench = if is_warm { Bench::warm() } else { Bench::cold() };
        let mut run = Run { bench, known: IndexMap::new() };
        // What the warm-up ran is none of this run's business.
        run.bench.sends.clear();
        for step in &steps {
            run.apply(step);
        }
        run.settle();
    }
}
