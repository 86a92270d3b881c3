//! Reads the bodies of requests within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;
use viz::Body;

/// The multiple of the limit up to which a body over the limit is read before it is refused.
const DRAINED_MULTIPLE: usize = 8;

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
    Late,
    /// It broke off.
    #[error("the body broke off: {0}")]
    Broken(String),
}

/// Reads a body of at most `limit` bytes.
///
/// What is over the limit is read and dropped up to a multiple of it, since a connection closed
/// before the sender has finished would take the refusal with it.
pub async fn read(body: Body, limit: usize, patience: Duration) -> Result<Bytes, BodyError> {
    timeout(patience, collect(body, limit))
        .await
        .unwrap_or(Err(BodyError::Late))
}

async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut kept = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= limit {
            kept.extend_from_slice(&data);
        } else if length > limit.saturating_mul(DRAINED_MULTIPLE) {
            break;
        }
    }
    if length > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(kept.into())
}
