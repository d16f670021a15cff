//! Publishing and reading configurations over the platform's store.

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

/// The pause after a call that failed, doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause after a call that failed.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Publishes a change; `show` is told what changes before anything is written.
pub async fn publish(
    platform: &PlatformClient,
    change: PublishRequest,
    published_by: EcoString,
    mut show: impl FnMut(&[ConfigurationChange]),
) -> PublishOutcome {
    let publish_id = ecow::eco_format!("{:032x}", rand::rng().random::<u128>());
    let mut publish = Publisher::new(change, publish_id, published_by);
    let mut event = PublishEvent::Start;
    let mut pause = MIN_BACKOFF;
    loop {
        let step = publish.step(event);
        event = match step {
            PublishStep::Finish(end) => return end,
            PublishStep::ShowChanges(changes) => {
                show(&changes);
                PublishEvent::ChangesShown
            }
            step => execute_step(platform, step).await,
        };
        if event == PublishEvent::Unknown {
            tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_BACKOFF);
        }
    }
}

/// Reads the head and the chunks that are not in `have`.
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

/// Why the store's configuration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadConfigurationError {
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// What is there cannot be read.
    #[error(transparent)]
    Invalid(#[from] AssembleError),
}

/// Makes the call of one step.
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
        PublishStep::WriteHead { text, expected_store_revision: expect } => {
            write_event(platform.write(HEAD_KEY, &text, expect).await)
        }
        PublishStep::DeleteChunk { name } => match platform.delete(&chunk_key(&name)).await {
            Ok(()) => PublishEvent::Written,
            Err(_) => PublishEvent::Unknown,
        },
        PublishStep::ShowChanges(_) | PublishStep::Finish(_) => PublishEvent::ChangesShown,
    }
}

/// What came of a write.
fn write_event(result: Result<u64, PlatformError>) -> PublishEvent {
    match result {
        Ok(_) => PublishEvent::Written,
        Err(PlatformError::Conflict { .. }) => PublishEvent::Conflict,
        Err(_) => PublishEvent::Unknown,
    }
}
