//! Reads the bodies of answers up to a limit.

use reqwest::Response;
use thiserror::Error;

/// The reason why a body could not be read.
#[derive(Debug, Error)]
pub enum LimitedBodyError {
    /// The connection broke, or the time was over, before the body was complete.
    #[error("the body is incomplete: {0}")]
    Incomplete(#[from] reqwest::Error),
    /// The body is larger than allowed; its connection is closed.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// Reads a whole body of at most `max_bytes`.
///
/// Prevents an answer without end from taking the memory of the process.
pub async fn read_limited(
    mut response: Response,
    max_bytes: usize,
) -> Result<Vec<u8>, LimitedBodyError> {
    if response.content_length().is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(LimitedBodyError::TooLarge { max_bytes });
    }
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if chunk.len() > max_bytes - body.len() {
            return Err(LimitedBodyError::TooLarge { max_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
