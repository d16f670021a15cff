//! Publishers that race, die and lose the store's answers.
//!
//! The seed stands in `.cargo/config.toml`; `PROPTEST_RNG_SEED` and `PROPTEST_CASES` in the
//! environment widen the search.

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

/// What the store does wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreFault {
    None,
    /// The call has no effect, and fails.
    RequestLost,
    /// The call takes effect, and its answer is lost.
    ResponseLost,
}

/// A key-value store with compare-and-swap.
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
            PublishStep::WriteHead { text, expected_store_revision: expect } => {
                self.compare_and_swap(HEAD_KEY.into(), text, *expect)
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

    fn compare_and_swap(&mut self, key: EcoString, text: &EcoString, expect: u64) -> PublishEvent {
        let place = self.items.get(&key).map_or(0, |(_, revision)| *revision);
        if place != expect {
            return PublishEvent::Conflict;
        }
        self.revision += 1;
        if key == HEAD_KEY {
            self.committed_heads.push(text.clone());
        }
        self.items.insert(key, (text.clone(), self.revision));
        PublishEvent::Written
    }

    /// The configuration that a node would take now.
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

/// Publishes with a fault at each call; calls beyond the list meet none.
fn publish(
    store: &mut FakeStore,
    id: &str,
    change: PublishRequest,
    faults: &[StoreFault],
) -> PublishOutcome {
    let mut publish = Publisher::new(change, id.into(), id.into());
    let mut step = publish.step(PublishEvent::Start);
    let mut faults = faults.iter().copied().chain(std::iter::repeat(StoreFault::None));
    loop {
        if let PublishStep::Finish(end) = step {
            return end;
        }
        let event = store.execute(&step, faults.next().unwrap());
        step = publish.step(event);
    }
}

#[test]
fn publishes_without_faults() {
    let mut store = FakeStore::default();
    let end = publish(&mut store, "a", replace_services(&["x", "y"]), &[]);
    assert_eq!(end, PublishOutcome::Done { revision: 1 });
    assert_eq!(store.read_configuration().services, service_specs(&["x", "y"]));
    let end = publish(&mut store, "b", replace_services(&["x", "y"]), &[]);
    assert_eq!(end, PublishOutcome::Unchanged { revision: 1 });
    let end = publish(&mut store, "c", PublishRequest::DomainOut("galway-2".into()), &[]);
    assert_eq!(end, PublishOutcome::Done { revision: 2 });
    assert!(store.read_configuration().domains_out.contains("galway-2"));
    let end = publish(&mut store, "d", PublishRequest::DomainOut("galway-9".into()), &[]);
    assert!(matches!(end, PublishOutcome::UnknownDomain { .. }));
}

// The store loses the answer of one call after it took effect, or the call itself. An operator
// who is told "done" or "refused" must be able to rely on it, whichever call it was.
#[test]
fn recovers_from_lost_call_at_each_step() {
    for fault in [StoreFault::RequestLost, StoreFault::ResponseLost] {
        for position in 0..8 {
            let mut store = FakeStore::default();
            publish(&mut store, "a", replace_services(&["x"]), &[]);
            let mut faults = vec![StoreFault::None; position];
            faults.push(fault);
            let end = publish(&mut store, "b", replace_services(&["y"]), &faults);
            assert_eq!(end, PublishOutcome::Done { revision: 2 }, "{fault:?} at call {position}");
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
    let end = publish(&mut store, "a", replace_services(&["x"]), &[StoreFault::RequestLost; 50]);
    assert_eq!(end, PublishOutcome::Unavailable);
    // Start, head, show and chunk work; then the head is written and the store stays away.
    let mut faults = vec![StoreFault::None; 3];
    faults.extend([StoreFault::ResponseLost; 50]);
    let end = publish(&mut store, "a", replace_services(&["x"]), &faults);
    assert!(matches!(end, PublishOutcome::UnknownOutcome { .. }), "{end:?}");
    assert_eq!(store.read_configuration().revision, 1, "it did take effect");
}

#[test]
fn rejects_stale_expected_revision() {
    let mut store = FakeStore::default();
    publish(&mut store, "a", replace_services(&["x"]), &[]);
    let change = PublishRequest::ReplaceServices {
        services: service_specs(&["y"]),
        expected_revision: Some(0),
    };
    let end = publish(&mut store, "b", change, &[]);
    let PublishOutcome::Conflict { revision, published_by, .. } = end else { panic!("{end:?}") };
    assert_eq!((revision, published_by.as_str()), (1, "a"));
}

/// One publisher of a race.
struct ConcurrentPublisher {
    publish: Publisher,
    step: PublishStep,
    has_crashed: bool,
}

/// What one turn of a race does.
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
    (0..4_usize, fault, prop::bool::weighted(0.02)).prop_map(|(racer, fault, is_killed)| RaceStep {
        publisher_index: racer,
        fault,
        is_crash: is_killed,
    })
}

// Four operators publish at once: two replace the services, two move a failure domain. Answers
// are lost and publishers die at any step. Whoever is told "done" must find the change in the
// history exactly once; every head's chunks must be there; nothing accepted may be undone by
// another's change of something else.
proptest! {
    #[test]
    fn concurrent_publishers(turns in prop::collection::vec(any_race_step(), 0..120)) {
        let mut store = FakeStore::default();
        publish(&mut store, "first", replace_services(&["x", "y"]), &[]);
        let changes = [
            replace_services(&["x", "z"]),
            replace_services(&["x"]),
            PublishRequest::DomainOut("galway-1".into()),
            PublishRequest::DomainOut("galway-2".into()),
        ];
        let mut racers: Vec<ConcurrentPublisher> = changes
            .into_iter()
            .enumerate()
            .map(|(number, change)| {
                let id = eco_format!("racer-{number}");
                let mut publish = Publisher::new(change, id.clone(), id);
                let step = publish.step(PublishEvent::Start);
                ConcurrentPublisher { publish, step, has_crashed: false }
            })
            .collect();
        for turn in &turns {
            let racer = &mut racers[turn.publisher_index];
            racer.has_crashed |= turn.is_crash;
            if racer.has_crashed || matches!(racer.step, PublishStep::Finish(_)) {
                continue;
            }
            let event = store.execute(&racer.step, turn.fault);
            racer.step = racer.publish.step(event);
            store.read_configuration();
        }
        let heads: Vec<_> = store.committed_heads.iter().map(|text| parse_head(text).unwrap()).collect();
        for (index, head) in heads.iter().enumerate() {
            prop_assert_eq!(head.revision, index as u64 + 1, "revisions go up by one");
        }
        for (number, racer) in racers.iter().enumerate() {
            let id = eco_format!("racer-{number}");
            let commits: Vec<_> = heads.iter().filter(|head| head.publish_id == id).collect();
            prop_assert!(commits.len() <= 1, "committed twice");
            match &racer.step {
                PublishStep::Finish(PublishOutcome::Done { revision }) => {
                    prop_assert_eq!(commits[0].revision, *revision);
                }
                PublishStep::Finish(PublishOutcome::UnknownOutcome { .. }) => {}
                PublishStep::Finish(_) => prop_assert!(commits.is_empty(), "refused but committed"),
                _ => {}
            }
        }
        let out: Vec<_> = heads.iter().map(|head| head.domains_out.len()).collect();
        prop_assert!(out.is_sorted(), "an accepted move of a failure domain is never undone");
    }
}
