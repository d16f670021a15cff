//! The steps of publishing a change, whatever the store does.

use std::collections::VecDeque;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ConfigurationHead, ServiceSpec};

use crate::chunks::to_json;
use crate::{AssembleError, Chunk, assemble_configuration, chunk_services, parse_head};

/// How often a change of a failure domain is applied anew after losing a race.
const MAX_PREPARE_ATTEMPTS: u32 = 16;

/// How often a call with an unknown effect is settled by reading before giving up.
const MAX_UNKNOWN_RESULTS: u32 = 8;

/// A change that an operator publishes.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishRequest {
    /// Replaces all services; failure domains stay as they are.
    ReplaceServices {
        /// The services.
        services: IndexMap<EcoString, ServiceSpec>,
        /// The revision that must be in place, if the operator named one.
        expected_revision: Option<u64>,
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
    ShowChanges(Vec<ConfigurationChange>),
    /// Write a chunk that must not exist; that it does exist is as good.
    WriteChunk(Chunk),
    /// Write the head if the store still has the revision named.
    WriteHead {
        /// Its text.
        text: EcoString,
        /// The store's revision of the head that is replaced; 0 for none.
        expected_store_revision: u64,
    },
    /// Remove a chunk that no head names any more; best effort.
    DeleteChunk {
        /// Its name.
        name: EcoString,
    },
    /// Nothing more.
    Finish(PublishOutcome),
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishEvent {
    /// The publisher starts.
    Start,
    /// The head was read.
    HeadRead(Option<(EcoString, u64)>),
    /// A chunk was read.
    ChunkRead(Option<EcoString>),
    /// The changes were shown.
    ChangesShown,
    /// A write took effect, or a chunk was there already.
    Written,
    /// A write found another revision in place.
    Conflict,
    /// The call failed, or its answer was lost; a write may have taken effect.
    Unknown,
}

/// How publishing ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
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
pub struct Publisher {
    request: PublishRequest,
    publish_id: EcoString,
    published_by: EcoString,
    state: PublisherState,
    /// What is in place, as read last.
    base: Option<BaseHead>,
    /// What was in place when the publisher started.
    initial_configuration: Option<Configuration>,
    chunk_texts: IndexMap<EcoString, EcoString>,
    chunks_to_write: VecDeque<Chunk>,
    chunks_to_delete: VecDeque<EcoString>,
    head_text: EcoString,
    next_revision: u64,
    prepare_attempts: u32,
    unknown_results: u32,
    was_head_sent: bool,
    was_shown: bool,
}

/// A head with the store's revision of it.
#[derive(Debug, Clone)]
struct BaseHead {
    head: ConfigurationHead,
    store_revision: u64,
}

/// The step that runs.
#[derive(Debug, Clone, PartialEq)]
enum PublisherState {
    Idle,
    ReadingHead,
    ReadingChunk(EcoString),
    ShowingChanges,
    WritingChunk,
    WritingHead,
    DeletingChunks,
}

impl Publisher {
    /// A publishing that has not started; `publish_id` must be unique.
    pub fn new(request: PublishRequest, publish_id: EcoString, published_by: EcoString) -> Self {
        Self {
            request,
            publish_id,
            published_by,
            state: PublisherState::Idle,
            base: None,
            initial_configuration: None,
            chunk_texts: IndexMap::new(),
            chunks_to_write: VecDeque::new(),
            chunks_to_delete: VecDeque::new(),
            head_text: EcoString::new(),
            next_revision: 0,
            prepare_attempts: 0,
            unknown_results: 0,
            was_head_sent: false,
            was_shown: false,
        }
    }

    /// Takes what came of the last step in and returns the next.
    pub fn step(&mut self, event: PublishEvent) -> PublishStep {
        match (self.state.clone(), event) {
            (PublisherState::Idle, _) => self.read_head(),
            (PublisherState::ReadingHead, PublishEvent::HeadRead(head)) => self.handle_head(head),
            (PublisherState::ReadingChunk(name), PublishEvent::ChunkRead(Some(text))) => {
                self.chunk_texts.insert(name, text);
                self.read_chunks()
            }
            // The head was replaced and its chunks removed while this publisher read them.
            (PublisherState::ReadingChunk(_), PublishEvent::ChunkRead(None)) => self.retry(),
            (PublisherState::ShowingChanges, _) => self.write_next(),
            (PublisherState::WritingChunk, PublishEvent::Written | PublishEvent::Conflict) => {
                self.chunks_to_write.pop_front();
                self.write_next()
            }
            (PublisherState::WritingHead, PublishEvent::Written) => self.handle_commit(),
            (PublisherState::WritingHead, PublishEvent::Conflict) => self.read_head(),
            (PublisherState::DeletingChunks, _) => self.delete_next(),
            (_, _) => self.retry(),
        }
    }

    /// Repeats what is harmless to repeat: reads, and through them the settling of a lost answer.
    fn retry(&mut self) -> PublishStep {
        self.unknown_results += 1;
        if self.unknown_results <= MAX_UNKNOWN_RESULTS {
            return match (&self.state, self.chunks_to_write.front()) {
                (PublisherState::WritingChunk, Some(chunk)) => {
                    PublishStep::WriteChunk(chunk.clone())
                }
                _ => self.read_head(),
            };
        }
        if self.was_head_sent {
            let publish_id = self.publish_id.clone();
            return PublishStep::Finish(PublishOutcome::UnknownOutcome { publish_id });
        }
        PublishStep::Finish(PublishOutcome::Unavailable)
    }

    fn read_head(&mut self) -> PublishStep {
        self.state = PublisherState::ReadingHead;
        PublishStep::ReadHead
    }

    /// Settles whether an earlier write took effect, and otherwise goes on from what is in place.
    ///
    /// Guards against a lost answer to the write of the head: the head in place carries this
    /// publisher's id exactly if that write won and nothing followed it. A later publisher
    /// builds on the head that it read, so a chain of ids is not needed: if this write had won
    /// and been followed, the head in place has a higher revision than the one this wrote.
    fn handle_head(&mut self, head: Option<(EcoString, u64)>) -> PublishStep {
        let base = match head {
            None => None,
            Some((text, store_revision)) => match parse_head(&text) {
                Ok(head) => Some(BaseHead { head, store_revision }),
                Err(error) => return PublishStep::Finish(PublishOutcome::Unreadable(error)),
            },
        };
        if let Some(base) = &base
            && base.head.publish_id == self.publish_id
        {
            self.next_revision = base.head.revision;
            return self.handle_commit();
        }
        if self.was_head_sent && self.may_have_been_replaced(base.as_ref()) {
            let publish_id = self.publish_id.clone();
            return PublishStep::Finish(PublishOutcome::UnknownOutcome { publish_id });
        }
        self.base = base;
        self.read_chunks()
    }

    /// Whether a head that was sent may have won and been replaced since.
    fn may_have_been_replaced(&self, base: Option<&BaseHead>) -> bool {
        self.unknown_results > 0 && base.is_some_and(|base| base.head.revision > self.next_revision)
    }

    /// Reads the chunks that are in place, then works the change out.
    fn read_chunks(&mut self) -> PublishStep {
        let head = self.base.as_ref().map(|base| &base.head);
        let missing = head
            .into_iter()
            .flat_map(|head| &head.chunks)
            .find(|name| !self.chunk_texts.contains_key(*name));
        if let Some(name) = missing.cloned() {
            self.state = PublisherState::ReadingChunk(name.clone());
            return PublishStep::ReadChunk { name };
        }
        let current =
            match head.map(|head| assemble_configuration(head, &self.chunk_texts)).transpose() {
                Ok(current) => current.unwrap_or_default(),
                Err(error) => return PublishStep::Finish(PublishOutcome::Unreadable(error)),
            };
        self.prepare_change(current)
    }

    /// Works out what to write.
    fn prepare_change(&mut self, current: Configuration) -> PublishStep {
        if let Some(end) = self.check_conflict(&current) {
            return PublishStep::Finish(end);
        }
        self.initial_configuration.get_or_insert_with(|| current.clone());
        let mut wanted = current.clone();
        match &self.request {
            PublishRequest::ReplaceServices { services, .. } => {
                wanted.services.clone_from(services);
            }
            PublishRequest::DomainOut(domain) | PublishRequest::DomainIn(domain) => {
                if !current.failure_domains().contains(domain) {
                    let declared = current.failure_domains().into_iter().cloned().collect();
                    return PublishStep::Finish(PublishOutcome::UnknownDomain { declared });
                }
                if matches!(self.request, PublishRequest::DomainOut(_)) {
                    wanted.domains_out.insert(domain.clone());
                } else {
                    wanted.domains_out.shift_remove(domain);
                }
            }
        }
        let changes = diff_configurations(&current, &wanted);
        if changes.is_empty() {
            return PublishStep::Finish(PublishOutcome::Unchanged { revision: current.revision });
        }
        self.build_chunks_and_head(&wanted);
        if std::mem::replace(&mut self.was_shown, true) {
            return self.write_next();
        }
        self.state = PublisherState::ShowingChanges;
        PublishStep::ShowChanges(changes)
    }

    /// Whether somebody else's change stands against this one.
    ///
    /// Taking a failure domain out or in goes with any other change and is applied anew; whole
    /// services do not, since the loser's files may lack what the winner published.
    fn check_conflict(&mut self, current: &Configuration) -> Option<PublishOutcome> {
        let expected = match &self.request {
            PublishRequest::ReplaceServices { expected_revision: Some(expect), .. } => {
                Some(*expect)
            }
            PublishRequest::ReplaceServices { expected_revision: None, .. } => {
                self.initial_configuration.as_ref().map(|one| one.revision)
            }
            PublishRequest::DomainOut(_) | PublishRequest::DomainIn(_) => None,
        };
        self.prepare_attempts += 1;
        let is_stale = expected.is_some_and(|expected| expected != current.revision);
        if !is_stale && self.prepare_attempts <= MAX_PREPARE_ATTEMPTS {
            return None;
        }
        let published_by = self.base.as_ref().map(|base| base.head.published_by.clone());
        let differs =
            self.initial_configuration.as_ref().map(|first| diff_configurations(first, current));
        Some(PublishOutcome::Conflict {
            revision: current.revision,
            published_by: published_by.unwrap_or_default(),
            differs: differs.unwrap_or_default(),
        })
    }

    /// Lays out chunks and head.
    fn build_chunks_and_head(&mut self, wanted: &Configuration) {
        let old: IndexSet<EcoString> =
            self.base.iter().flat_map(|base| base.head.chunks.iter().cloned()).collect();
        self.next_revision = wanted.revision + 1;
        let chunks = chunk_services(&wanted.services, self.next_revision, &old);
        let new: IndexSet<EcoString> = chunks.iter().map(|chunk| chunk.name.clone()).collect();
        self.chunks_to_delete = old.difference(&new).cloned().collect();
        self.chunks_to_write =
            chunks.into_iter().filter(|chunk| !old.contains(&chunk.name)).collect();
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
        if let Some(chunk) = self.chunks_to_write.front() {
            self.state = PublisherState::WritingChunk;
            return PublishStep::WriteChunk(chunk.clone());
        }
        self.state = PublisherState::WritingHead;
        self.was_head_sent = true;
        let expect = self.base.as_ref().map_or(0, |base| base.store_revision);
        PublishStep::WriteHead { text: self.head_text.clone(), expected_store_revision: expect }
    }

    /// Removes what the new head does not name; a reader of the old head reads the new one.
    fn handle_commit(&mut self) -> PublishStep {
        self.state = PublisherState::DeletingChunks;
        self.delete_next()
    }

    fn delete_next(&mut self) -> PublishStep {
        match self.chunks_to_delete.pop_front() {
            Some(name) => PublishStep::DeleteChunk { name },
            None => PublishStep::Finish(PublishOutcome::Done { revision: self.next_revision }),
        }
    }
}

/// What differs between two configurations.
pub fn diff_configurations(old: &Configuration, new: &Configuration) -> Vec<ConfigurationChange> {
    let mut changes = Vec::new();
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => changes.push(ConfigurationChange::ServiceAdded { service: name.clone() }),
            Some(known) if known != service => changes.push(diff_service(known, service)),
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
fn diff_service(old: &ServiceSpec, new: &ServiceSpec) -> ConfigurationChange {
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
