//! Publishing with concurrent publishers, crashes and lost calls to the store.
//!
//! The seed is set in `.cargo/config.toml`; the environment variables `PROPTEST_RNG_SEED` and
//! `PROPTEST_CASES` override the seed and the number of cases.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_config::{
    HEAD_KEY, PublishEvent, PublishOutcome, PublishRequest, PublishStep, Publisher,
    assemble_configuration, chunk_key, parse_head,
};
use sassafrasproxy_wire::{
    Configuration, ReplicaLimits, RequestKindSpec, ServiceSpec, UpstreamSpec,
};

/// The fault of the store in one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreFault {
    None,
    /// The call does not reach the store.
    RequestLost,
    /// The call takes effect, but its answer is lost.
    ResponseLost,
}

/// An in-memory key-value store with compare-and-swap.
#[derive(Debug, Default)]
struct FakeStore {
    revision: u64,
    items: IndexMap<EcoString, (EcoString, u64)>,
    /// Every head that was committed, in order.
    committed_heads: Vec<EcoString>,
}

impl FakeStore {
    fn execute(&mut self, step: &PublishStep, fault: StoreFault) -> PublishEvent {
        if fault == StoreFault::RequestLost {
            return PublishEvent::Unknown;
        }
        let event = match step {
            PublishStep::ReadHead => PublishEvent::HeadRead(self.items.get(HEAD_KEY).cloned()),
            PublishStep::ReadChunk { name } => {
                let item = self.items.get(&chunk_key(name));
                PublishEvent::ChunkRead(item.map(|(text, _)| text.clone()))
            }
            PublishStep::WriteChunk(chunk) => {
                self.compare_and_swap(chunk_key(&chunk.name), &chunk.text, 0)
            }
            PublishStep::WriteHead { text, expected_store_revision } => {
                self.compare_and_swap(HEAD_KEY.into(), text, *expected_store_revision)
            }
            PublishStep::DeleteChunk { name } => {
                self.items.swap_remove(&chunk_key(name));
                PublishEvent::Written
            }
            PublishStep::ShowChanges(_) | PublishStep::Finish(_) => {
                return PublishEvent::ChangesShown;
            }
        };
        if fault == StoreFault::ResponseLost { PublishEvent::Unknown } else { event }
    }

    fn compare_and_swap(
        &mut self,
        key: EcoString,
        text: &EcoString,
        expected_revision: u64,
    ) -> PublishEvent {
        let current_revision = self.items.get(&key).map_or(0, |(_, revision)| *revision);
        if current_revision != expected_revision {
            return PublishEvent::Conflict;
        }
        self.revision += 1;
        if key == HEAD_KEY {
            self.committed_heads.push(text.clone());
        }
        self.items.insert(key, (text.clone(), self.revision));
        PublishEvent::Written
    }

    /// Returns the configuration that a node would read now.
    fn read_configuration(&self) -> Configuration {
        let Some((text, _)) = self.items.get(HEAD_KEY) else { return Configuration::default() };
        let head = parse_head(text).unwrap();
        let chunks = head.chunks.iter().map(|name| {
            let (text, _) = self.items.get(&chunk_key(name)).expect("a chunk of the head exists");
            (name.clone(), text.clone())
        });
        assemble_configuration(&head, &chunks.collect()).unwrap()
    }
}

fn service_specs(names: &[&str]) -> IndexMap<EcoString, ServiceSpec> {
    let spec = |(number, name): (usize, &&str)| {
        let upstream = UpstreamSpec {
            address: eco_format!("127.0.1.{}:7101", number + 1),
            failure_domain: "galway-1".into(),
            shards: vec!["s0".into()],
        };
        let spec = ServiceSpec {
            service: (*name).into(),
            index: "catalogue".into(),
            failure_domains: vec!["galway-1".into(), "galway-2".into()],
            upstreams: vec![upstream],
            limits: ReplicaLimits { slots: 2, connections: 25, queue: 64 },
            deadline_ms: 90,
            kinds: [("search".into(), RequestKindSpec { idempotent: true, hedge: true })].into(),
        };
        (spec.service.clone(), spec)
    };
    names.iter().enumerate().map(spec).collect()
}

fn replace_services(names: &[&str]) -> PublishRequest {
    PublishRequest::ReplaceServices { services: service_specs(names), expected_revision: None }
}

/// Publishes a change; `faults` lists the fault of each call, and later calls have none.
fn publish(
    store: &mut FakeStore,
    id: &str,
    request: PublishRequest,
    faults: &[StoreFault],
) -> PublishOutcome {
    let mut publisher = Publisher::new(request, id.into(), id.into());
    let mut step = publisher.step(PublishEvent::Start);
    let mut faults = faults.iter().copied().chain(std::iter::repeat(StoreFault::None));
    loop {
        if let PublishStep::Finish(outcome) = step {
            return outcome;
        }
        let event = store.execute(&step, faults.next().unwrap());
        step = publisher.step(event);
    }
}

#[test]
fn publishes_without_faults() {
    let mut store = FakeStore::default();
    let outcome = publish(&mut store, "a", replace_services(&["x", "y"]), &[]);
    assert_eq!(outcome, PublishOutcome::Done { revision: 1 });
    assert_eq!(store.read_configuration().services, service_specs(&["x", "y"]));
    let outcome = publish(&mut store, "b", replace_services(&["x", "y"]), &[]);
    assert_eq!(outcome, PublishOutcome::Unchanged { revision: 1 });
    let outcome = publish(&mut store, "c", PublishRequest::DomainOut("galway-2".into()), &[]);
    assert_eq!(outcome, PublishOutcome::Done { revision: 2 });
    assert!(store.read_configuration().domains_out.contains("galway-2"));
    let outcome = publish(&mut store, "d", PublishRequest::DomainOut("galway-9".into()), &[]);
    assert!(matches!(outcome, PublishOutcome::UnknownDomain { .. }));
}

// Guards against a wrong outcome after a lost call: the store loses one call, or its answer after
// the call took effect. Whichever call it is, the change must be committed exactly once, and the
// outcome must say so.
#[test]
fn recovers_from_lost_call_at_each_step() {
    for fault in [StoreFault::RequestLost, StoreFault::ResponseLost] {
        for position in 0..8 {
            let mut store = FakeStore::default();
            publish(&mut store, "a", replace_services(&["x"]), &[]);
            let mut faults = vec![StoreFault::None; position];
            faults.push(fault);
            let outcome = publish(&mut store, "b", replace_services(&["y"]), &faults);
            assert_eq!(
                outcome,
                PublishOutcome::Done { revision: 2 },
                "{fault:?} at call {position}"
            );
            assert_eq!(
                store.committed_heads.len(),
                2,
                "committed once: {fault:?} at call {position}"
            );
            assert_eq!(store.read_configuration().services, service_specs(&["y"]));
        }
    }
}

#[test]
fn reports_store_unavailable() {
    let mut store = FakeStore::default();
    let outcome =
        publish(&mut store, "a", replace_services(&["x"]), &[StoreFault::RequestLost; 50]);
    assert_eq!(outcome, PublishOutcome::Unavailable);
    // The calls up to the write of the chunk succeed; then the head is written, but its answer and
    // all later answers are lost.
    let mut faults = vec![StoreFault::None; 3];
    faults.extend([StoreFault::ResponseLost; 50]);
    let outcome = publish(&mut store, "a", replace_services(&["x"]), &faults);
    assert!(matches!(outcome, PublishOutcome::UnknownOutcome { .. }), "{outcome:?}");
    assert_eq!(store.read_configuration().revision, 1, "the write of the head took effect");
}

#[test]
fn rejects_stale_expected_revision() {
    let mut store = FakeStore::default();
    publish(&mut store, "a", replace_services(&["x"]), &[]);
    let request = PublishRequest::ReplaceServices {
        services: service_specs(&["y"]),
        expected_revision: Some(0),
    };
    let outcome = publish(&mut store, "b", request, &[]);
    let PublishOutcome::Conflict { revision, published_by, .. } = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((revision, published_by.as_str()), (1, "a"));
}

/// One of several concurrent publishers.
struct ConcurrentPublisher {
    publisher: Publisher,
    step: PublishStep,
    has_crashed: bool,
}

/// One step of a race: which publisher executes its next step, and what goes wrong.
#[derive(Debug, Clone, Copy)]
struct RaceStep {
    publisher_index: usize,
    fault: StoreFault,
    is_crash: bool,
}

fn any_race_step() -> impl Strategy<Value = RaceStep> {
    let fault = prop_oneof![
        6 => Just(StoreFault::None),
        1 => Just(StoreFault::RequestLost),
        1 => Just(StoreFault::ResponseLost),
    ];
    (0..4_usize, fault, prop::bool::weighted(0.02)).prop_map(
        |(publisher_index, fault, is_crash)| RaceStep { publisher_index, fault, is_crash },
    )
}

// Guards against lost, repeated and undone changes when publishers race. Four operators publish
// concurrently: two replace the services, two take a failure domain out of service. Calls and
// answers are lost, and publishers crash at any step. A change that is reported as done must be
// committed exactly once, the chunks of every head must exist, and no publisher may undo another's
// committed change of a failure domain.
proptest! {
    #[test]
    fn concurrent_publishers(race_steps in prop::collection::vec(any_race_step(), 0..120)) {
        let mut store = FakeStore::default();
        publish(&mut store, "first", replace_services(&["x", "y"]), &[]);
        let requests = [
            replace_services(&["x", "z"]),
            replace_services(&["x"]),
            PublishRequest::DomainOut("galway-1".into()),
            PublishRequest::DomainOut("galway-2".into()),
        ];
        let mut publishers: Vec<ConcurrentPublisher> = requests
            .into_iter()
            .enumerate()
            .map(|(number, request)| {
                let id = eco_format!("racer-{number}");
                let mut publisher = Publisher::new(request, id.clone(), id);
                let step = publisher.step(PublishEvent::Start);
                ConcurrentPublisher { publisher, step, has_crashed: false }
            })
            .collect();
        for race_step in &race_steps {
            let current = &mut publishers[race_step.publisher_index];
            current.has_crashed |= race_step.is_crash;
            if current.has_crashed || matches!(current.step, PublishStep::Finish(_)) {
                continue;
            }
            let event = store.execute(&current.step, race_step.fault);
            current.step = current.publisher.step(event);
            store.read_configuration();
        }
        let heads: Vec<_> =
            store.committed_heads.iter().map(|text| parse_head(text).unwrap()).collect();
        for (index, head) in heads.iter().enumerate() {
            prop_assert_eq!(head.revision, index as u64 + 1, "revisions go up by one");
        }
        for (number, publisher) in publishers.iter().enumerate() {
            let id = eco_format!("racer-{number}");
            let commits: Vec<_> = heads.iter().filter(|head| head.publish_id == id).collect();
            prop_assert!(commits.len() <= 1, "committed twice");
            match &publisher.step {
                PublishStep::Finish(PublishOutcome::Done { revision }) => {
                    prop_assert_eq!(commits[0].revision, *revision);
                }
                PublishStep::Finish(PublishOutcome::UnknownOutcome { .. }) => {}
                PublishStep::Finish(_) => prop_assert!(commits.is_empty(), "refused but committed"),
                _ => {}
            }
        }
        let out_counts: Vec<_> = heads.iter().map(|head| head.domains_out.len()).collect();
        prop_assert!(
            out_counts.is_sorted(),
            "a committed change of a failure domain is never undone"
        );
    }
}
