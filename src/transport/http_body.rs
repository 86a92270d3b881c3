//! Reads request bodies within size and time limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;
use viz::Body;

/// Multiple of the size limit up to which an oversized body is drained before it is refused.
const MAX_DRAIN_FACTOR: usize = 8;

/// An error that occurred while reading a body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is too large.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The body could not be read to its end.
    #[error("the body ended early: {0}")]
    ReadFailed(String),
}

/// Reads a body of at most `limit` bytes.
///
/// Data beyond the limit is read and discarded up to a multiple of the limit: if the connection
/// were closed before the sender has finished, the sender would not receive the refusal.
pub async fn read(body: Body, limit: usize, time_limit: Duration) -> Result<Bytes, BodyError> {
    timeout(time_limit, collect(body, limit))
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut received = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::ReadFailed(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= limit {
            received.extend_from_slice(&data);
        } else if length > limit.saturating_mul(MAX_DRAIN_FACTOR) {
            break;
        }
    }
    if length > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(received.into())
}
