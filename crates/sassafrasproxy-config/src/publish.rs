//! The steps of publishing a change, whatever the store does.

use std::collections::VecDeque;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ConfigurationHead, ServiceSpec};

use crate::chunks::to_json;
use crate::{AssembleError, Chunk, assemble, chunk_services, read_head};

/// How often a change of a failure domain is applied anew after losing a race.
const MAX_RACES: u32 = 16;

/// How often a call with an unknown effect is settled by reading before giving up.
const MAX_UNKNOWN: u32 = 8;

/// A change that an operator publishes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Replaces all services; failure domains stay as they are.
    Services {
        /// The services.
        services: IndexMap<EcoString, ServiceSpec>,
        /// The revision that must be in place, if the operator named one.
        expect: Option<u64>,
    },
    /// Takes a failure domain out.
    DomainOut(EcoString),
    /// Takes a failure domain back in.
    DomainIn(EcoString),
}

/// What differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// A service is new.
    ServiceAdded {
        /// The service.
        service: EcoString,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service.
        service: EcoString,
    },
    /// A service differs.
    ServiceChanged {
        /// The service.
        service: EcoString,
        /// Replicas that are new.
        upstreams_added: usize,
        /// Replicas that are gone.
        upstreams_removed: usize,
    },
    /// A failure domain goes out.
    DomainOut {
        /// The failure domain.
        failure_domain: EcoString,
    },
    /// A failure domain comes back in.
    DomainIn {
        /// The failure domain.
        failure_domain: EcoString,
    },
}

/// What the publisher does next.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishStep {
    /// Read the head.
    ReadHead,
    /// Read a chunk.
    ReadChunk {
        /// Its name.
        name: EcoString,
    },
    /// Show the operator what changes; then go on with [`PublishEvent::Shown`].
    Show(Vec<ConfigurationChange>),
    /// Write a chunk that must not exist; that it does exist is as good.
    WriteChunk(Chunk),
    /// Write the head if the store still has the revision named.
    WriteHead {
        /// Its text.
        text: EcoString,
        /// The store's revision of the head that is replaced; 0 for none.
        expect: u64,
    },
    /// Remove a chunk that no head names any more; best effort.
    DeleteChunk {
        /// Its name.
        name: EcoString,
    },
    /// Nothing more.
    End(PublishEnd),
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishEvent {
    /// The publisher starts.
    Start,
    /// The head was read.
    Head(Option<(EcoString, u64)>),
    /// A chunk was read.
    Chunk(Option<EcoString>),
    /// The changes were shown.
    Shown,
    /// A write took effect, or a chunk was there already.
    Written,
    /// A write found another revision in place.
    Conflict,
    /// The call failed, or its answer was lost; a write may have taken effect.
    Unknown,
}

/// How publishing ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishEnd {
    /// The change is committed at this revision.
    Done {
        /// The revision.
        revision: u64,
    },
    /// Nothing had to change.
    Unchanged {
        /// The revision in place.
        revision: u64,
    },
    /// Somebody else published first.
    Conflict {
        /// The revision in place.
        revision: u64,
        /// Who published it.
        published_by: EcoString,
        /// What it differs in from what this publisher started with.
        differs: Vec<ConfigurationChange>,
    },
    /// No service declares the failure domain.
    UnknownDomain {
        /// The failure domains that are declared.
        declared: Vec<EcoString>,
    },
    /// What is in the store cannot be read.
    Unreadable(AssembleError),
    /// The store stayed away and the change had not been written.
    Unavailable,
    /// The store stayed away after the head was sent; it may be in force.
    UnknownOutcome {
        /// The publishing id, to be looked for in the head.
        publish_id: EcoString,
    },
}

/// A publishing that runs.
#[derive(Debug)]
pub struct Publish {
    change: Change,
    publish_id: EcoString,
    published_by: EcoString,
    state: State,
    /// What is in place, as read last.
    base: Option<Base>,
    /// What was in place when the publisher started.
    first: Option<Configuration>,
    chunk_texts: IndexMap<EcoString, EcoString>,
    to_write: VecDeque<Chunk>,
    to_delete: VecDeque<EcoString>,
    head_text: EcoString,
    next_revision: u64,
    races: u32,
    unknowns: u32,
    was_head_sent: bool,
    was_shown: bool,
}

/// A head with the store's revision of it.
#[derive(Debug, Clone)]
struct Base {
    head: ConfigurationHead,
    store_revision: u64,
}

/// The step that runs.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Idle,
    ReadingHead,
    ReadingChunk(EcoString),
    Showing,
    WritingChunk,
    WritingHead,
    Deleting,
}

impl Publish {
    /// A publishing that has not started; `publish_id` must be unique.
    pub fn new(change: Change, publish_id: EcoString, published_by: EcoString) -> Self {
        Self {
            change,
            publish_id,
            published_by,
            state: State::Idle,
            base: None,
            first: None,
            chunk_texts: IndexMap::new(),
            to_write: VecDeque::new(),
            to_delete: VecDeque::new(),
            head_text: EcoString::new(),
            next_revision: 0,
            races: 0,
            unknowns: 0,
            was_head_sent: false,
            was_shown: false,
        }
    }

    /// Takes what came of the last step in and returns the next.
    pub fn step(&mut self, event: PublishEvent) -> PublishStep {
        match (self.state.clone(), event) {
            (State::Idle, _) => self.read_head(),
            (State::ReadingHead, PublishEvent::Head(head)) => self.head_read(head),
            (State::ReadingChunk(name), PublishEvent::Chunk(Some(text))) => {
                self.chunk_texts.insert(name, text);
                self.read_chunks()
            }
            // The head was replaced and its chunks removed while this publisher read them.
            (State::ReadingChunk(_), PublishEvent::Chunk(None)) => self.again(),
            (State::Showing, _) => self.write_next(),
            (State::WritingChunk, PublishEvent::Written | PublishEvent::Conflict) => {
                self.to_write.pop_front();
                self.write_next()
            }
            (State::WritingHead, PublishEvent::Written) => self.committed(),
            (State::WritingHead, PublishEvent::Conflict) => self.read_head(),
            (State::Deleting, _) => self.delete_next(),
            (_, _) => self.again(),
        }
    }

    /// Repeats what is harmless to repeat: reads, and through them the settling of a lost answer.
    fn again(&mut self) -> PublishStep {
        self.unknowns += 1;
        if self.unknowns <= MAX_UNKNOWN {
            return match (&self.state, self.to_write.front()) {
                (State::WritingChunk, Some(chunk)) => PublishStep::WriteChunk(chunk.clone()),
                _ => self.read_head(),
            };
        }
        if self.was_head_sent {
            let publish_id = self.publish_id.clone();
            return PublishStep::End(PublishEnd::UnknownOutcome { publish_id });
        }
        PublishStep::End(PublishEnd::Unavailable)
    }

    fn read_head(&mut self) -> PublishStep {
        self.state = State::ReadingHead;
        PublishStep::ReadHead
    }

    /// Settles whether an earlier write took effect, and otherwise goes on from what is in place.
    ///
    /// Guards against a lost answer to the write of the head: the head in place carries this
    /// publisher's id exactly if that write won and nothing followed it. A later publisher
    /// builds on the head that it read, so a chain of ids is not needed: if this write had won
    /// and been followed, the head in place has a higher revision than the one this wrote.
    fn head_read(&mut self, head: Option<(EcoString, u64)>) -> PublishStep {
        let base = match head {
            None => None,
            Some((text, store_revision)) => match read_head(&text) {
                Ok(head) => Some(Base { head, store_revision }),
                Err(error) => return PublishStep::End(PublishEnd::Unreadable(error)),
            },
        };
        if let Some(base) = &base
            && base.head.publish_id == self.publish_id
        {
            self.next_revision = base.head.revision;
            return self.committed();
        }
        if self.was_head_sent && self.is_lost_for_good(base.as_ref()) {
            let publish_id = self.publish_id.clone();
            return PublishStep::End(PublishEnd::UnknownOutcome { publish_id });
        }
        self.base = base;
        self.read_chunks()
    }

    /// Whether a head that was sent may have won and been replaced since.
    fn is_lost_for_good(&self, base: Option<&Base>) -> bool {
        self.unknowns > 0 && base.is_some_and(|base| base.head.revision > self.next_revision)
    }

    /// Reads the chunks that are in place, then works the change out.
    fn read_chunks(&mut self) -> PublishStep {
        let head = self.base.as_ref().map(|base| &base.head);
        let missing = head
            .into_iter()
            .flat_map(|head| &head.chunks)
            .find(|name| !self.chunk_texts.contains_key(*name));
        if let Some(name) = missing.cloned() {
            self.state = State::ReadingChunk(name.clone());
            return PublishStep::ReadChunk { name };
        }
        let current = match head.map(|head| assemble(head, &self.chunk_texts)).transpose() {
            Ok(current) => current.unwrap_or_default(),
            Err(error) => return PublishStep::End(PublishEnd::Unreadable(error)),
        };
        self.prepare(current)
    }

    /// Works out what to write.
    fn prepare(&mut self, current: Configuration) -> PublishStep {
        if let Some(end) = self.conflict(&current) {
            return PublishStep::End(end);
        }
        self.first.get_or_insert_with(|| current.clone());
        let mut wanted = current.clone();
        match &self.change {
            Change::Services { services, .. } => wanted.services.clone_from(services),
            Change::DomainOut(domain) | Change::DomainIn(domain) => {
                if !current.failure_domains().contains(domain) {
                    let declared = current.failure_domains().into_iter().cloned().collect();
                    return PublishStep::End(PublishEnd::UnknownDomain { declared });
                }
                if matches!(self.change, Change::DomainOut(_)) {
                    wanted.domains_out.insert(domain.clone());
                } else {
                    wanted.domains_out.shift_remove(domain);
                }
            }
        }
        let changes = changes_between(&current, &wanted);
        if changes.is_empty() {
            return PublishStep::End(PublishEnd::Unchanged { revision: current.revision });
        }
        self.lay_out(&wanted);
        if std::mem::replace(&mut self.was_shown, true) {
            return self.write_next();
        }
        self.state = State::Showing;
        PublishStep::Show(changes)
    }

    /// Whether somebody else's change stands against this one.
    ///
    /// Taking a failure domain out or in goes with any other change and is applied anew; whole
    /// services do not, since the loser's files may lack what the winner published.
    fn conflict(&mut self, current: &Configuration) -> Option<PublishEnd> {
        let expected = match &self.change {
            Change::Services { expect: Some(expect), .. } => Some(*expect),
            Change::Services { expect: None, .. } => self.first.as_ref().map(|one| one.revision),
            Change::DomainOut(_) | Change::DomainIn(_) => None,
        };
        self.races += 1;
        let is_stale = expected.is_some_and(|expected| expected != current.revision);
        if !is_stale && self.races <= MAX_RACES {
            return None;
        }
        let published_by = self.base.as_ref().map(|base| base.head.published_by.clone());
        let differs = self.first.as_ref().map(|first| changes_between(first, current));
        Some(PublishEnd::Conflict {
            revision: current.revision,
            published_by: published_by.unwrap_or_default(),
            differs: differs.unwrap_or_default(),
        })
    }

    /// Lays out chunks and head.
    fn lay_out(&mut self, wanted: &Configuration) {
        let old: IndexSet<EcoString> =
            self.base.iter().flat_map(|base| base.head.chunks.iter().cloned()).collect();
        self.next_revision = wanted.revision + 1;
        let chunks = chunk_services(&wanted.services, self.next_revision, &old);
        let new: IndexSet<EcoString> = chunks.iter().map(|chunk| chunk.name.clone()).collect();
        self.to_delete = old.difference(&new).cloned().collect();
        self.to_write = chunks.into_iter().filter(|chunk| !old.contains(&chunk.name)).collect();
        let head = ConfigurationHead {
            revision: self.next_revision,
            publish_id: self.publish_id.clone(),
            published_by: self.published_by.clone(),
            domains_out: wanted.domains_out.clone(),
            chunks: new.into_iter().collect(),
        };
        self.head_text = to_json(&head);
    }

    /// Writes the next chunk, or the head after the last.
    fn write_next(&mut self) -> PublishStep {
        if let Some(chunk) = self.to_write.front() {
            self.state = State::WritingChunk;
            return PublishStep::WriteChunk(chunk.clone());
        }
        self.state = State::WritingHead;
        self.was_head_sent = true;
        let expect = self.base.as_ref().map_or(0, |base| base.store_revision);
        PublishStep::WriteHead { text: self.head_text.clone(), expect }
    }

    /// Removes what the new head does not name; a reader of the old head reads the new one.
    fn committed(&mut self) -> PublishStep {
        self.state = State::Deleting;
        self.delete_next()
    }

    fn delete_next(&mut self) -> PublishStep {
        match self.to_delete.pop_front() {
            Some(name) => PublishStep::DeleteChunk { name },
            None => PublishStep::End(PublishEnd::Done { revision: self.next_revision }),
        }
    }
}

/// What differs between two configurations.
pub fn changes_between(old: &Configuration, new: &Configuration) -> Vec<ConfigurationChange> {
    let mut changes = Vec::new();
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => changes.push(ConfigurationChange::ServiceAdded { service: name.clone() }),
            Some(known) if known != service => changes.push(service_change(known, service)),
            Some(_) => {}
        }
    }
    let removed = old.services.keys().filter(|name| !new.services.contains_key(*name));
    changes
        .extend(removed.map(|name| ConfigurationChange::ServiceRemoved { service: name.clone() }));
    let out = new.domains_out.difference(&old.domains_out);
    changes.extend(
        out.map(|domain| ConfigurationChange::DomainOut { failure_domain: domain.clone() }),
    );
    let back = old.domains_out.difference(&new.domains_out);
    changes.extend(
        back.map(|domain| ConfigurationChange::DomainIn { failure_domain: domain.clone() }),
    );
    changes
}

/// How a service differs.
fn service_change(old: &ServiceSpec, new: &ServiceSpec) -> ConfigurationChange {
    let only_in = |one: &ServiceSpec, other: &ServiceSpec| {
        one.upstreams.iter().filter(|upstream| !other.upstreams.contains(upstream)).count()
    };
    ConfigurationChange::ServiceChanged {
        service: new.service.clone(),
        upstreams_added: only_in(new, old),
        upstreams_removed: only_in(old, new),
    }
}

impl std::fmt::Display for ConfigurationChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::ServiceAdded { service } => eco_format!("+ service {service}"),
            Self::ServiceRemoved { service } => eco_format!("- service {service}"),
            Self::ServiceChanged { service, upstreams_added, upstreams_removed } => eco_format!(
                "~ service {service} (replicas: {upstreams_added} new or changed, \
                 {upstreams_removed} gone or changed)"
            ),
            Self::DomainOut { failure_domain } => eco_format!("- failure domain {failure_domain}"),
            Self::DomainIn { failure_domain } => eco_format!("+ failure domain {failure_domain}"),
        };
        f.write_str(&text)
    }
}
