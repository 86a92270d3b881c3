//! Reads bodies into memory that all bodies of a daemon share.

use std::{
    collections::HashMap,
    convert::Infallible,
    fmt::{self, Display},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::Notify;

use crate::{
    clock::SharedClock,
    coordination::body_budget::{Admission, BodyBudget, BodyId},
};

/// Size in bytes of the blocks that large bodies are held in. Equal blocks leave no gaps behind that are too
/// small for the next body.
const BLOCK_BYTES: usize = 16 << 10;
/// Size in bytes of the first block of a body whose length is not known.
const FIRST_BLOCK_BYTES: usize = 1 << 10;

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is too large.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// There is no room for it beside the other bodies.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The connection broke, or the body is not valid.
    #[error("the body ended early: {0}")]
    Broken(String),
}

/// The memory that bodies share.
pub struct BodyMemory {
    state: Mutex<State>,
    clock: SharedClock,
}

struct State {
    budget: BodyBudget,
    /// The bodies that are being received.
    receiving: HashMap<BodyId, Arc<Receiving>>,
}

/// A body that is being received.
#[derive(Default)]
struct Receiving {
    blocks: Mutex<Blocks>,
    /// Notified when the body must give way.
    evicted: Notify,
}

#[derive(Default)]
struct Blocks {
    blocks: Vec<BytesMut>,
    is_evicted: bool,
}

impl BodyMemory {
    /// Creates memory for `limit` bytes.
    pub fn new(limit: usize, clock: SharedClock) -> Self {
        Self {
            state: Mutex::new(State {
                budget: BodyBudget::new(limit),
                receiving: HashMap::new(),
            }),
            clock,
        }
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.state().budget.held()
    }

    /// Reads a body of at most `limit` bytes to its end.
    pub async fn read<B>(self: &Arc<Self>, mut body: B, limit: usize) -> Result<HeldBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let announced = body.size_hint();
        if announced.lower() > u64::try_from(limit).unwrap_or(u64::MAX) {
            return Err(BodyError::TooLarge { limit });
        }
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let length = announced.exact().and_then(|n| usize::try_from(n).ok());
        let mut reader = Reader::open(self.clone(), length, limit);
        loop {
            let frame = tokio::select! {
                biased;
                () = reader.receiving.evicted.notified() => return Err(BodyError::NoMemory),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                return reader.complete();
            };
            let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                reader.append(data)?;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes to a body if there is room; discards what gives way.
    fn admit(&self, id: BodyId, bytes: usize) -> Result<(), BodyError> {
        let now = self.clock.now();
        let mut state = self.state();
        let (evicted, result) = match state.budget.admit(id, bytes, now) {
            Admission::Admitted(evicted) => (evicted, Ok(())),
            Admission::Refused(evicted) => (evicted, Err(BodyError::NoMemory)),
        };
        for id in evicted {
            if let Some(receiving) = state.receiving.remove(&id) {
                receiving.evict();
            }
        }
        result
    }
}

impl Receiving {
    fn blocks(&self) -> MutexGuard<'_, Blocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict(&self) {
        *self.blocks() = Blocks {
            blocks: Vec::new(),
            is_evicted: true,
        };
        self.evicted.notify_one();
    }
}

/// Appends the frames of a body that is being received.
struct Reader {
    memory: Arc<BodyMemory>,
    receiving: Arc<Receiving>,
    held: HeldBytes,
    /// Length of the body, if it was announced.
    length: Option<usize>,
    limit: usize,
    received: usize,
}

impl Reader {
    fn open(memory: Arc<BodyMemory>, length: Option<usize>, limit: usize) -> Self {
        let receiving = Arc::new(Receiving::default());
        let now = memory.clock.now();
        let mut state = memory.state();
        let id = state.budget.open(now);
        state.receiving.insert(id, receiving.clone());
        drop(state);
        Self {
            held: HeldBytes {
                memory: memory.clone(),
                id,
            },
            memory,
            receiving,
            length,
            limit,
            received: 0,
        }
    }

    fn append(&mut self, mut data: Bytes) -> Result<(), BodyError> {
        if self.received + data.len() > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        while !data.is_empty() {
            let free = self.free()?;
            if free == 0 {
                self.add_block()?;
                continue;
            }
            let part = data.split_to(free.min(data.len()));
            self.received += part.len();
            if let Some(last) = self.receiving.blocks().blocks.last_mut() {
                last.extend_from_slice(&part);
            }
        }
        Ok(())
    }

    /// Returns the room in the last block.
    fn free(&self) -> Result<usize, BodyError> {
        let blocks = self.receiving.blocks();
        if blocks.is_evicted {
            return Err(BodyError::NoMemory);
        }
        let last = blocks.blocks.last();
        Ok(last.map_or(0, |last| last.capacity() - last.len()))
    }

    fn add_block(&self) -> Result<(), BodyError> {
        let bytes = match self.length {
            Some(length) => length.saturating_sub(self.received).clamp(1, BLOCK_BYTES),
            None => self.received.clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES),
        };
        self.memory.admit(self.held.id, bytes)?;
        let block = BytesMut::with_capacity(bytes);
        self.receiving.blocks().blocks.push(block);
        Ok(())
    }

    fn complete(self) -> Result<HeldBody, BodyError> {
        let mut state = self.memory.state();
        state.budget.complete(self.held.id);
        state.receiving.remove(&self.held.id);
        drop(state);
        let received = std::mem::take(&mut *self.receiving.blocks());
        if received.is_evicted {
            return Err(BodyError::NoMemory);
        }
        let held = Arc::new(self.held);
        let blocks = received.blocks.into_iter().map(|bytes| {
            let held = held.clone();
            Bytes::from_owner(Block { bytes, held })
        });
        Ok(HeldBody {
            blocks: blocks.collect(),
            held: Some(held.clone()),
        })
    }
}

/// A part of a complete body.
struct Block<T> {
    bytes: T,
    #[expect(dead_code, reason = "counts the bytes until it is dropped")]
    held: Arc<HeldBytes>,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Block<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// The bytes of a body, given back when dropped.
struct HeldBytes {
    memory: Arc<BodyMemory>,
    id: BodyId,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.close(self.id);
        state.receiving.remove(&self.id);
    }
}

/// A complete body. Its bytes count towards the shared memory until the last copy of each block is dropped.
#[derive(Clone, Default)]
pub struct HeldBody {
    blocks: Arc<[Bytes]>,
    held: Option<Arc<HeldBytes>>,
}

impl HeldBody {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum()
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(AsRef::as_ref)
    }

    /// Returns the bytes as one slice. If there is more than one block they are copied, and the copy counts
    /// in their place.
    pub fn into_bytes(self) -> Bytes {
        match (&*self.blocks, self.held) {
            ([], _) => Bytes::new(),
            ([block], _) => block.clone(),
            (blocks, None) => blocks.concat().into(),
            (blocks, Some(held)) => {
                let bytes = blocks.concat();
                Bytes::from_owner(Block { bytes, held })
            }
        }
    }
}

impl fmt::Debug for HeldBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HeldBody({} bytes)", self.len())
    }
}

impl From<Bytes> for HeldBody {
    /// Returns a body that counts towards no memory.
    fn from(bytes: Bytes) -> Self {
        Self {
            blocks: [bytes].into(),
            held: None,
        }
    }
}

/// Sends a body.
#[derive(Clone, Debug)]
pub struct HeldBodyStream {
    body: HeldBody,
    /// Index of the next block.
    next: usize,
}

impl From<HeldBody> for HeldBodyStream {
    fn from(body: HeldBody) -> Self {
        Self { body, next: 0 }
    }
}

impl Body for HeldBodyStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.body.blocks.get(self.next).cloned();
        self.next += 1;
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.size_hint().exact() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.body.blocks.iter().skip(self.next);
        let left: usize = left.map(Bytes::len).sum();
        SizeHint::with_exact(u64::try_from(left).unwrap_or(u64::MAX))
    }
}
