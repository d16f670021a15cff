//! The state machine that publishes a configuration change.
//!
//! It does no I/O: it returns the next step, and its user executes the step and passes the result
//! back. It handles concurrent publishers and calls to the store whose result is lost.

use std::collections::VecDeque;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ConfigurationHead, ServiceSpec};

use crate::chunks::to_json;
use crate::{AssembleError, Chunk, assemble_configuration, chunk_services, parse_head};

/// The maximum number of times that a change is applied to the current configuration before a
/// conflict is reported.
///
/// A change of a failure domain is applied again whenever another publisher has committed first.
const MAX_PREPARE_ATTEMPTS: u32 = 16;

/// The maximum number of failed or unanswered calls before the publisher gives up.
const MAX_UNKNOWN_RESULTS: u32 = 8;

/// A change that an operator publishes.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishRequest {
    /// Replaces all services; failure domains stay as they are.
    ReplaceServices {
        /// The services.
        services: IndexMap<EcoString, ServiceSpec>,
        /// The revision that the store must have, if the operator gives one.
        expected_revision: Option<u64>,
    },
    /// Takes a failure domain out of service.
    DomainOut(EcoString),
    /// Brings a failure domain back.
    DomainIn(EcoString),
}

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// A service is added.
    ServiceAdded {
        /// The service's name.
        service: EcoString,
    },
    /// A service is removed.
    ServiceRemoved {
        /// The service's name.
        service: EcoString,
    },
    /// A service differs.
    ServiceChanged {
        /// The service's name.
        service: EcoString,
        /// The number of replicas that are new or changed.
        upstreams_added: usize,
        /// The number of replicas that are removed or changed.
        upstreams_removed: usize,
    },
    /// A failure domain is taken out of service.
    DomainOut {
        /// The failure domain.
        failure_domain: EcoString,
    },
    /// A failure domain is brought back.
    DomainIn {
        /// The failure domain.
        failure_domain: EcoString,
    },
}

/// The next step of a publisher, to be executed by its user.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishStep {
    /// Read the configuration head.
    ReadHead,
    /// Read a chunk.
    ReadChunk {
        /// The chunk's name.
        name: EcoString,
    },
    /// Show the changes to the operator, then continue with [`PublishEvent::ChangesShown`].
    ShowChanges(Vec<ConfigurationChange>),
    /// Write a chunk unless it exists; an existing chunk counts as written.
    WriteChunk(Chunk),
    /// Write the head if the store still has it at the expected revision.
    WriteHead {
        /// The head's text.
        text: EcoString,
        /// The store's revision of the head to replace; 0 if there must be no head.
        expected_store_revision: u64,
    },
    /// Delete a chunk that the new head does not reference; a failure is ignored.
    DeleteChunk {
        /// The chunk's name.
        name: EcoString,
    },
    /// Stop; publishing has ended with this outcome.
    Finish(PublishOutcome),
}

/// The result of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishEvent {
    /// The publisher starts.
    Start,
    /// The head was read: its text and the store's revision of it, or `None` if there is no head.
    HeadRead(Option<(EcoString, u64)>),
    /// A chunk was read; `None` if it does not exist.
    ChunkRead(Option<EcoString>),
    /// The changes were shown to the operator.
    ChangesShown,
    /// A write took effect, or the chunk exists already.
    Written,
    /// A write had no effect, because the store has another revision of the key.
    Conflict,
    /// The call failed or its answer was lost; a write may have taken effect.
    Unknown,
}

/// The outcome of publishing.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The change is committed at this revision.
    Done {
        /// The new revision.
        revision: u64,
    },
    /// The current configuration already has the requested content.
    Unchanged {
        /// The current revision.
        revision: u64,
    },
    /// Another publisher committed first, or the current revision is not the expected one.
    Conflict {
        /// The current revision.
        revision: u64,
        /// The publisher of that revision.
        published_by: EcoString,
        /// The differences of that revision from the configuration that this publisher read first.
        differs: Vec<ConfigurationChange>,
    },
    /// No service declares the failure domain.
    UnknownDomain {
        /// The failure domains that are declared.
        declared: Vec<EcoString>,
    },
    /// The configuration in the store cannot be read.
    Unreadable(AssembleError),
    /// The store is unavailable; the change was not committed.
    Unavailable,
    /// The store became unavailable after the head was sent, or another publisher replaced the head
    /// since; the change may have been committed.
    UnknownOutcome {
        /// The id of the publish operation; the current head has it if the change was committed and
        /// no other publisher has replaced the head since.
        publish_id: EcoString,
    },
}

/// A state machine that publishes one change, from reading the head to deleting replaced chunks.
#[derive(Debug)]
pub struct Publisher {
    request: PublishRequest,
    publish_id: EcoString,
    published_by: EcoString,
    state: PublisherState,
    /// The current head, as last read; `None` if there is none.
    base: Option<BaseHead>,
    /// The current configuration when the publisher started.
    initial_configuration: Option<Configuration>,
    /// The texts of the chunks read so far, by name.
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

/// A configuration head with the store's revision of it.
#[derive(Debug, Clone)]
struct BaseHead {
    head: ConfigurationHead,
    store_revision: u64,
}

/// The step whose result the publisher waits for.
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
    /// Creates a publisher that has not started; `publish_id` must be unique.
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

    /// Handles the result of the last step and returns the next step.
    pub fn step(&mut self, event: PublishEvent) -> PublishStep {
        match (self.state.clone(), event) {
            (PublisherState::Idle, _) => self.read_head(),
            (PublisherState::ReadingHead, PublishEvent::HeadRead(head)) => self.handle_head(head),
            (PublisherState::ReadingChunk(name), PublishEvent::ChunkRead(Some(text))) => {
                self.chunk_texts.insert(name, text);
                self.read_chunks()
            }
            // Another publisher replaced the head and deleted its chunks during the read.
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

    /// Returns the step after a failed or unanswered call, or ends after too many of them.
    ///
    /// A write of a chunk is idempotent and is repeated. After any other call, the head is read
    /// again; if the call was a write of the head, this shows whether the write took effect.
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

    /// Detects whether an earlier write of the head took effect; if not, continues from the current
    /// head.
    ///
    /// The answer to that write may have been lost. The current head has this publisher's id if and
    /// only if the write took effect and no other publisher has replaced the head since. A later
    /// publisher builds on the head that it read, so if this write took effect and was replaced,
    /// the current head has a higher revision than the one written here. A history of publish ids
    /// is therefore not needed.
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

    /// Whether a head that was sent may have been committed and replaced since.
    fn may_have_been_replaced(&self, base: Option<&BaseHead>) -> bool {
        self.unknown_results > 0 && base.is_some_and(|base| base.head.revision > self.next_revision)
    }

    /// Reads the chunks of the current head that are not read yet, then prepares the change.
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

    /// Applies the change to the current configuration and starts to write the result.
    fn prepare_change(&mut self, current: Configuration) -> PublishStep {
        if let Some(conflict) = self.check_conflict(&current) {
            return PublishStep::Finish(conflict);
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

    /// Returns the conflict with another publisher's change, if there is one.
    ///
    /// A change of a failure domain is compatible with any other change and is applied again to
    /// the current configuration. A replacement of all services is not: the files of the
    /// publisher that lost the race may lack what the other has committed.
    fn check_conflict(&mut self, current: &Configuration) -> Option<PublishOutcome> {
        let expected = match &self.request {
            PublishRequest::ReplaceServices { expected_revision: Some(revision), .. } => {
                Some(*revision)
            }
            PublishRequest::ReplaceServices { expected_revision: None, .. } => {
                self.initial_configuration.as_ref().map(|first| first.revision)
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

    /// Builds the head and the chunks to write, and lists the chunks to delete after the commit.
    fn build_chunks_and_head(&mut self, wanted: &Configuration) {
        let old_names: IndexSet<EcoString> =
            self.base.iter().flat_map(|base| base.head.chunks.iter().cloned()).collect();
        self.next_revision = wanted.revision + 1;
        let chunks = chunk_services(&wanted.services, self.next_revision, &old_names);
        let new_names: IndexSet<EcoString> =
            chunks.iter().map(|chunk| chunk.name.clone()).collect();
        self.chunks_to_delete = old_names.difference(&new_names).cloned().collect();
        self.chunks_to_write =
            chunks.into_iter().filter(|chunk| !old_names.contains(&chunk.name)).collect();
        let head = ConfigurationHead {
            revision: self.next_revision,
            publish_id: self.publish_id.clone(),
            published_by: self.published_by.clone(),
            domains_out: wanted.domains_out.clone(),
            chunks: new_names.into_iter().collect(),
        };
        self.head_text = to_json(&head);
    }

    /// Writes the next chunk, or the head if all chunks are written.
    fn write_next(&mut self) -> PublishStep {
        if let Some(chunk) = self.chunks_to_write.front() {
            self.state = PublisherState::WritingChunk;
            return PublishStep::WriteChunk(chunk.clone());
        }
        self.state = PublisherState::WritingHead;
        self.was_head_sent = true;
        let expected_store_revision = self.base.as_ref().map_or(0, |base| base.store_revision);
        PublishStep::WriteHead { text: self.head_text.clone(), expected_store_revision }
    }

    /// Deletes the chunks that the new head does not reference.
    ///
    /// A reader of the old head that no longer finds one of them reads the new head.
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

/// Returns the differences between two configurations.
pub fn diff_configurations(old: &Configuration, new: &Configuration) -> Vec<ConfigurationChange> {
    let mut changes = Vec::new();
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => changes.push(ConfigurationChange::ServiceAdded { service: name.clone() }),
            Some(old_spec) if old_spec != service => changes.push(diff_service(old_spec, service)),
            Some(_) => {}
        }
    }
    let removed = old.services.keys().filter(|name| !new.services.contains_key(*name));
    changes
        .extend(removed.map(|name| ConfigurationChange::ServiceRemoved { service: name.clone() }));
    let taken_out = new.domains_out.difference(&old.domains_out);
    changes.extend(
        taken_out.map(|domain| ConfigurationChange::DomainOut { failure_domain: domain.clone() }),
    );
    let brought_back = old.domains_out.difference(&new.domains_out);
    changes.extend(
        brought_back.map(|domain| ConfigurationChange::DomainIn { failure_domain: domain.clone() }),
    );
    changes
}

/// Returns the change from one specification of a service to another.
fn diff_service(old: &ServiceSpec, new: &ServiceSpec) -> ConfigurationChange {
    let count_only_in = |one: &ServiceSpec, other: &ServiceSpec| {
        one.upstreams.iter().filter(|upstream| !other.upstreams.contains(upstream)).count()
    };
    ConfigurationChange::ServiceChanged {
        service: new.service.clone(),
        upstreams_added: count_only_in(new, old),
        upstreams_removed: count_only_in(old, new),
    }
}

impl std::fmt::Display for ConfigurationChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::ServiceAdded { service } => eco_format!("+ service {service}"),
            Self::ServiceRemoved { service } => eco_format!("- service {service}"),
            Self::ServiceChanged { service, upstreams_added, upstreams_removed } => eco_format!(
                "~ service {service} (replicas: {upstreams_added} new or changed, \
                 {upstreams_removed} removed or changed)"
            ),
            Self::DomainOut { failure_domain } => eco_format!("- failure domain {failure_domain}"),
            Self::DomainIn { failure_domain } => eco_format!("+ failure domain {failure_domain}"),
        };
        f.write_str(&text)
    }
}
