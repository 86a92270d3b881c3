//! Memory for response bodies that are read as a whole, shared by all requests.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Maximum size of one body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum size in bytes of all bodies that are being read, but for small ones.
const MAX_TOTAL_BYTES: usize = 48 << 20;
/// Size in bytes up to which a body always finds room, so that endless ones do not crowd it out.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke, or the body is not valid.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The body is too large by itself or beside the others.
    #[error("body of more than {0} bytes")]
    TooLarge(usize),
}

/// Limits the memory for bodies that are being read.
#[derive(Debug, Default)]
pub struct BodyMemory {
    used: AtomicUsize,
}

impl BodyMemory {
    /// Reads a body to its end.
    ///
    /// Load pattern: upstreams in trouble send bodies without end, many at a time.
    pub async fn read(self: &Arc<Self>, mut body: Incoming) -> Result<Bytes, BodyError> {
        let mut reservation = Reservation::new(self.clone());
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if !reservation.extend(data.len()) {
                return Err(BodyError::TooLarge(read.len()));
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}

/// The share of one body, given back when dropped.
struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    fn new(memory: Arc<BodyMemory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Returns whether there is room for more bytes.
    fn extend(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let used = self.memory.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let is_small = self.bytes <= SMALL_BODY_BYTES;
        self.bytes <= MAX_BODY_BYTES && (is_small || used <= MAX_TOTAL_BYTES)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
