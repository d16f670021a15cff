//! Publishers that race, die and lose the store's answers.
//!
//! The seed stands in `.cargo/config.toml`; `PROPTEST_RNG_SEED` and `PROPTEST_CASES` in the
//! environment widen the search.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_config::{
    Change, HEAD_KEY, Publish, PublishEnd, PublishEvent, PublishStep, assemble, chunk_key,
    read_head,
};
use sassafrasproxy_wire::{Configuration, KindSpec, Limits, ServiceSpec, UpstreamSpec};

/// What the store does wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The call has no effect, and fails.
    Lost,
    /// The call takes effect, and its answer is lost.
    LostAnswer,
}

/// A key-value store with compare-and-swap.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    items: IndexMap<EcoString, (EcoString, u64)>,
    /// Every head that was committed, in order.
    heads: Vec<EcoString>,
}

impl Store {
    fn run(&mut self, step: &PublishStep, fault: Fault) -> PublishEvent {
        if fault == Fault::Lost {
            return PublishEvent::Unknown;
        }
        let event = match step {
            PublishStep::ReadHead => PublishEvent::Head(self.items.get(HEAD_KEY).cloned()),
            PublishStep::ReadChunk { name } => {
                let item = self.items.get(&chunk_key(name));
                PublishEvent::Chunk(item.map(|(text, _)| text.clone()))
            }
            PublishStep::WriteChunk(chunk) => self.write(chunk_key(&chunk.name), &chunk.text, 0),
            PublishStep::WriteHead { text, expect } => self.write(HEAD_KEY.into(), text, *expect),
            PublishStep::DeleteChunk { name } => {
                self.items.swap_remove(&chunk_key(name));
                PublishEvent::Written
            }
            PublishStep::Show(_) | PublishStep::End(_) => return PublishEvent::Shown,
        };
        if fault == Fault::LostAnswer { PublishEvent::Unknown } else { event }
    }

    fn write(&mut self, key: EcoString, text: &EcoString, expect: u64) -> PublishEvent {
        let place = self.items.get(&key).map_or(0, |(_, revision)| *revision);
        if place != expect {
            return PublishEvent::Conflict;
        }
        self.revision += 1;
        if key == HEAD_KEY {
            self.heads.push(text.clone());
        }
        self.items.insert(key, (text.clone(), self.revision));
        PublishEvent::Written
    }

    /// The configuration that a node would take now.
    fn configuration(&self) -> Configuration {
        let Some((text, _)) = self.items.get(HEAD_KEY) else { return Configuration::default() };
        let head = read_head(text).unwrap();
        let chunks = head.chunks.iter().map(|name| {
            let (text, _) = self.items.get(&chunk_key(name)).expect("a chunk of the head exists");
            (name.clone(), text.clone())
        });
        assemble(&head, &chunks.collect()).unwrap()
    }
}

fn services(names: &[&str]) -> IndexMap<EcoString, ServiceSpec> {
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
            limits: Limits { slots: 2, connections: 25, queue: 64 },
            deadline_ms: 90,
            kinds: [("search".into(), KindSpec { idempotent: true, hedge: true })].into(),
        };
        (spec.service.clone(), spec)
    };
    names.iter().enumerate().map(spec).collect()
}

fn replace(names: &[&str]) -> Change {
    Change::Services { services: services(names), expect: None }
}

/// Publishes with a fault at each call; calls beyond the list meet none.
fn publish(store: &mut Store, id: &str, change: Change, faults: &[Fault]) -> PublishEnd {
    let mut publish = Publish::new(change, id.into(), id.into());
    let mut step = publish.step(PublishEvent::Start);
    let mut faults = faults.iter().copied().chain(std::iter::repeat(Fault::None));
    loop {
        if let PublishStep::End(end) = step {
            return end;
        }
        let event = store.run(&step, faults.next().unwrap());
        step = publish.step(event);
    }
}

#[test]
fn plain() {
    let mut store = Store::default();
    let end = publish(&mut store, "a", replace(&["x", "y"]), &[]);
    assert_eq!(end, PublishEnd::Done { revision: 1 });
    assert_eq!(store.configuration().services, services(&["x", "y"]));
    let end = publish(&mut store, "b", replace(&["x", "y"]), &[]);
    assert_eq!(end, PublishEnd::Unchanged { revision: 1 });
    let end = publish(&mut store, "c", Change::DomainOut("galway-2".into()), &[]);
    assert_eq!(end, PublishEnd::Done { revision: 2 });
    assert!(store.configuration().domains_out.contains("galway-2"));
    let end = publish(&mut store, "d", Change::DomainOut("galway-9".into()), &[]);
    assert!(matches!(end, PublishEnd::UnknownDomain { .. }));
}

// The store loses the answer of one call after it took effect, or the call itself. An operator
// who is told "done" or "refused" must be able to rely on it, whichever call it was.
#[test]
fn every_lost_answer() {
    for fault in [Fault::Lost, Fault::LostAnswer] {
        for position in 0..8 {
            let mut store = Store::default();
            publish(&mut store, "a", replace(&["x"]), &[]);
            let mut faults = vec![Fault::None; position];
            faults.push(fault);
            let end = publish(&mut store, "b", replace(&["y"]), &faults);
            assert_eq!(end, PublishEnd::Done { revision: 2 }, "{fault:?} at call {position}");
            assert_eq!(store.heads.len(), 2, "committed once: {fault:?} at call {position}");
            assert_eq!(store.configuration().services, services(&["y"]));
        }
    }
}

#[test]
fn store_away() {
    let mut store = Store::default();
    let end = publish(&mut store, "a", replace(&["x"]), &[Fault::Lost; 50]);
    assert_eq!(end, PublishEnd::Unavailable);
    // Start, head, show and chunk work; then the head is written and the store stays away.
    let mut faults = vec![Fault::None; 3];
    faults.extend([Fault::LostAnswer; 50]);
    let end = publish(&mut store, "a", replace(&["x"]), &faults);
    assert!(matches!(end, PublishEnd::UnknownOutcome { .. }), "{end:?}");
    assert_eq!(store.configuration().revision, 1, "it did take effect");
}

#[test]
fn expected_revision() {
    let mut store = Store::default();
    publish(&mut store, "a", replace(&["x"]), &[]);
    let change = Change::Services { services: services(&["y"]), expect: Some(0) };
    let end = publish(&mut store, "b", change, &[]);
    let PublishEnd::Conflict { revision, published_by, .. } = end else { panic!("{end:?}") };
    assert_eq!((revision, published_by.as_str()), (1, "a"));
}

/// One publisher of a race.
struct Racer {
    publish: Publish,
    step: PublishStep,
    is_dead: bool,
}

/// What one turn of a race does.
#[derive(Debug, Clone, Copy)]
struct Turn {
    racer: usize,
    fault: Fault,
    is_killed: bool,
}

fn any_turn() -> impl Strategy<Value = Turn> {
    let fault = prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Lost),
        1 => Just(Fault::LostAnswer),
    ];
    (0..4_usize, fault, prop::bool::weighted(0.02)).prop_map(|(racer, fault, is_killed)| Turn {
        racer,
        fault,
        is_killed,
    })
}

// Four operators publish at once: two replace the services, two move a failure domain. Answers
// are lost and publishers die at any step. Whoever is told "done" must find the change in the
// history exactly once; every head's chunks must be there; nothing accepted may be undone by
// another's change of something else.
proptest! {
    #[test]
    fn races(turns in prop::collection::vec(any_turn(), 0..120)) {
        let mut store = Store::default();
        publish(&mut store, "first", replace(&["x", "y"]), &[]);
        let changes = [
            replace(&["x", "z"]),
            replace(&["x"]),
            Change::DomainOut("galway-1".into()),
            Change::DomainOut("galway-2".into()),
        ];
        let mut racers: Vec<Racer> = changes
            .into_iter()
            .enumerate()
            .map(|(number, change)| {
                let id = eco_format!("racer-{number}");
                let mut publish = Publish::new(change, id.clone(), id);
                let step = publish.step(PublishEvent::Start);
                Racer { publish, step, is_dead: false }
            })
            .collect();
        for turn in &turns {
            let racer = &mut racers[turn.racer];
            racer.is_dead |= turn.is_killed;
            if racer.is_dead || matches!(racer.step, PublishStep::End(_)) {
                continue;
            }
            let event = store.run(&racer.step, turn.fault);
            racer.step = racer.publish.step(event);
            store.configuration();
        }
        let heads: Vec<_> = store.heads.iter().map(|text| read_head(text).unwrap()).collect();
        for (index, head) in heads.iter().enumerate() {
            prop_assert_eq!(head.revision, index as u64 + 1, "revisions go up by one");
        }
        for (number, racer) in racers.iter().enumerate() {
            let id = eco_format!("racer-{number}");
            let commits: Vec<_> = heads.iter().filter(|head| head.publish_id == id).collect();
            prop_assert!(commits.len() <= 1, "committed twice");
            match &racer.step {
                PublishStep::End(PublishEnd::Done { revision }) => {
                    prop_assert_eq!(commits[0].revision, *revision);
                }
                PublishStep::End(PublishEnd::UnknownOutcome { .. }) => {}
                PublishStep::End(_) => prop_assert!(commits.is_empty(), "refused but committed"),
                _ => {}
            }
        }
        let out: Vec<_> = heads.iter().map(|head| head.domains_out.len()).collect();
        prop_assert!(out.is_sorted(), "an accepted move of a failure domain is never undone");
    }
}
