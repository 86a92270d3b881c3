//! Reads the bodies of requests within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;
use viz::Body;

/// The multiple of the limit up to which a body over the limit is read before it is refused.
const MAX_DRAIN_FACTOR: usize = 8;

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is too long.
    #[error("the body is over {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It did not come in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// It broke off.
    #[error("the body broke off: {0}")]
    ReadFailed(String),
}

/// Reads a body of at most `limit` bytes.
///
/// What is over the limit is read and dropped up to a multiple of it, since a connection closed
/// before the sender has finished would take the refusal with it.
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
