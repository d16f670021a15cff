//! Publishes configurations to the platform's key-value store and reads them from it.

use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use rand::RngExt;
use sassafrasproxy_config::{
    AssembleError, ConfigurationChange, HEAD_KEY, PublishEvent, PublishOutcome, PublishRequest,
    PublishStep, Publisher, chunk_key, parse_head,
};
use sassafrasproxy_wire::ConfigurationHead;

use crate::{PlatformClient, PlatformError};

/// The backoff after the first failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Publishes a configuration; `show_changes` is called with the changes before anything is written.
///
/// After a failed call, other than a conflict, waits with exponential backoff before the next step.
pub async fn publish(
    platform: &PlatformClient,
    request: PublishRequest,
    published_by: EcoString,
    mut show_changes: impl FnMut(&[ConfigurationChange]),
) -> PublishOutcome {
    let publish_id = ecow::eco_format!("{:032x}", rand::rng().random::<u128>());
    let mut publisher = Publisher::new(request, publish_id, published_by);
    let mut event = PublishEvent::Start;
    let mut backoff = MIN_BACKOFF;
    loop {
        let step = publisher.step(event);
        event = match step {
            PublishStep::Finish(outcome) => return outcome,
            PublishStep::ShowChanges(changes) => {
                show_changes(&changes);
                PublishEvent::ChangesShown
            }
            step => execute_step(platform, step).await,
        };
        if event == PublishEvent::Unknown {
            tokio::time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Reads the head of the configuration and its chunks; chunks in `have` are not read again.
///
/// Returns `None` if the store has no configuration. Chunks that are not in the store are left out.
/// Fails with `ReadConfigurationError` if a call to the store fails or the head is invalid.
pub async fn read_configuration(
    platform: &PlatformClient,
    have: &IndexMap<EcoString, EcoString>,
) -> Result<Option<(ConfigurationHead, IndexMap<EcoString, EcoString>)>, ReadConfigurationError> {
    let Some(value) = platform.read(HEAD_KEY).await? else { return Ok(None) };
    let head = parse_head(&value.value)?;
    let mut chunks = IndexMap::new();
    for name in &head.chunks {
        let text = match have.get(name) {
            Some(text) => text.clone(),
            None => match platform.read(&chunk_key(name)).await? {
                Some(value) => value.value,
                None => continue,
            },
        };
        chunks.insert(name.clone(), text);
    }
    Ok(Some((head, chunks)))
}

/// The reason why the store's configuration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadConfigurationError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The head of the configuration in the store is invalid.
    #[error(transparent)]
    Invalid(#[from] AssembleError),
}

/// Executes the store call of one step.
async fn execute_step(platform: &PlatformClient, step: PublishStep) -> PublishEvent {
    match step {
        PublishStep::ReadHead => match platform.read(HEAD_KEY).await {
            Ok(value) => PublishEvent::HeadRead(value.map(|value| (value.value, value.revision))),
            Err(_) => PublishEvent::Unknown,
        },
        PublishStep::ReadChunk { name } => match platform.read(&chunk_key(&name)).await {
            Ok(value) => PublishEvent::ChunkRead(value.map(|value| value.value)),
            Err(_) => PublishEvent::Unknown,
        },
        PublishStep::WriteChunk(chunk) => {
            write_event(platform.write(&chunk_key(&chunk.name), &chunk.text, 0).await)
        }
        PublishStep::WriteHead { text, expected_store_revision } => {
            write_event(platform.write(HEAD_KEY, &text, expected_store_revision).await)
        }
        PublishStep::DeleteChunk { name } => match platform.delete(&chunk_key(&name)).await {
            Ok(()) => PublishEvent::Written,
            Err(_) => PublishEvent::Unknown,
        },
        PublishStep::ShowChanges(_) | PublishStep::Finish(_) => PublishEvent::ChangesShown,
    }
}

/// Returns the event for the result of a write.
fn write_event(result: Result<u64, PlatformError>) -> PublishEvent {
    match result {
        Ok(_) => PublishEvent::Written,
        Err(PlatformError::Conflict { .. }) => PublishEvent::Conflict,
        Err(_) => PublishEvent::Unknown,
    }
}
