//! Reads request bodies within size, memory and time limits.

use std::{fmt::Display, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::transport::body_memory::{BodyError, BodyMemory, HeldBody};

/// Multiple of the size limit up to which an oversized body is drained after it has been refused.
const MAX_DRAIN_FACTOR: usize = 8;

/// An error that occurred while reading a body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body could not be read to its end.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
}

/// Reads a body of at most `limit` bytes into memory that all bodies share.
///
/// Data beyond the limit is read and discarded up to a multiple of the limit: if the connection
/// were closed before the sender has finished, the sender would not receive the refusal.
pub async fn read(
    memory: &Arc<BodyMemory>,
    mut body: impl Body<Data = Bytes, Error: Display> + Unpin,
    limit: usize,
    time_limit: Duration,
) -> Result<HeldBody, ReadError> {
    let read = async {
        let read = memory.read(&mut body, limit).await;
        if let Err(BodyError::TooLarge { limit }) = read {
            drain(&mut body, limit.saturating_mul(MAX_DRAIN_FACTOR)).await;
        }
        read
    };
    let read = timeout(time_limit, read).await;
    Ok(read.map_err(|_| ReadError::TimedOut)??)
}

/// Discards the rest of a body, at most this many bytes.
async fn drain(body: &mut (impl Body<Data = Bytes> + Unpin), most_bytes: usize) {
    let mut length = 0;
    while length <= most_bytes
        && let Some(Ok(frame)) = body.frame().await
    {
        length += frame.data_ref().map_or(0, Bytes::len);
    }
}
