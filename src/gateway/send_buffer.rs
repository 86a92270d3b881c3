//! Buffer between an upstream's response and its caller, so that reading from the upstream does not wait
//! for a slow caller.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::{Notify, watch};

use crate::{
    clock::SharedClock,
    gateway::{
        reply::StreamAborted,
        send_budget::{Admission, HeldBytes, RESERVED_BYTES, SendBudget},
    },
};

/// The buffers of all responses of a daemon.
pub struct SendBuffers {
    budget: Mutex<SendBudget>,
    /// Notified when the budget has room again.
    freed: Notify,
    clock: SharedClock,
}

/// Why bytes could not be added to a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PushError {
    /// The caller disconnected.
    #[error("the caller disconnected")]
    CallerLeft,
    /// The caller accepted no byte for too long while the buffer was full.
    #[error("the caller accepts no bytes")]
    CallerTooSlow,
}

/// How a response ends after the bytes that are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It is complete.
    Complete,
    /// It is not complete; the caller's connection is closed without a proper end.
    Aborted,
}

/// The side of a buffer to which a response's bytes are added.
pub struct SendWriter {
    inner: Arc<Inner>,
    /// Changes when the caller accepts bytes; closed when the response body is dropped.
    accepted: watch::Receiver<()>,
}

/// The side of a buffer that the caller's connection reads: the body of the response.
pub struct SendBody {
    inner: Arc<Inner>,
    accepted: watch::Sender<()>,
}

struct Inner {
    buffers: Arc<SendBuffers>,
    state: Mutex<State>,
}

struct State {
    held: HeldBytes,
    /// The bytes held, in blocks of at most [`RESERVED_BYTES`].
    blocks: VecDeque<BytesMut>,
    end: Option<ResponseEnd>,
    /// Whether the body was dropped after everything had been taken from it.
    is_delivered: bool,
    reader: Option<Waker>,
    /// Notified to close the caller's connection at once.
    connection: Option<Arc<Notify>>,
}

impl SendBuffers {
    /// Creates the buffers of a daemon that may hold `limit` bytes.
    pub fn new(limit: usize, clock: SharedClock) -> Self {
        Self {
            budget: Mutex::new(SendBudget::new(limit)),
            freed: Notify::new(),
            clock,
        }
    }

    /// Returns the number of bytes held for all callers.
    pub fn held(&self) -> usize {
        self.budget().held()
    }

    /// Opens the buffer of a response.
    pub fn open(self: &Arc<Self>) -> (SendWriter, SendBody) {
        let held = self.budget().open(self.clock.now());
        let inner = Arc::new(Inner {
            buffers: self.clone(),
            state: Mutex::new(State {
                held,
                blocks: VecDeque::new(),
                end: None,
                is_delivered: false,
                reader: None,
                connection: None,
            }),
        });
        let (tx, rx) = watch::channel(());
        let writer = SendWriter {
            inner: inner.clone(),
            accepted: rx,
        };
        let body = SendBody {
            inner,
            accepted: tx,
        };
        (writer, body)
    }

    fn budget(&self) -> MutexGuard<'_, SendBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards what is held.
    fn clear(&self, state: &mut State) {
        let bytes = state.held.bytes();
        state.blocks.clear();
        let now = self.buffers.clock.now();
        self.buffers.budget().accept(&mut state.held, bytes, now);
        self.buffers.freed.notify_one();
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        self.buffers.budget().close(&mut state.held);
        self.buffers.freed.notify_one();
    }
}

impl SendWriter {
    /// Adds bytes; waits while there is no room. Returns how long it waited.
    pub async fn push(&mut self, mut bytes: Bytes) -> Result<Duration, PushError> {
        let mut waited = Duration::ZERO;
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(RESERVED_BYTES));
            if self.try_push(&part)? != Admission::Admitted {
                waited += self.push_when_admitted(&part).await?;
            }
        }
        Ok(waited)
    }

    /// Returns the number of bytes held for the caller.
    pub fn held(&self) -> usize {
        self.inner.state().held.bytes()
    }

    /// Returns whether the caller has disconnected or has taken the whole response.
    pub fn is_closed(&self) -> bool {
        self.accepted.has_changed().is_err()
    }

    /// Waits until the caller has disconnected or has taken the whole response.
    pub async fn closed(&self) {
        let mut accepted = self.accepted.clone();
        while accepted.changed().await.is_ok() {}
    }

    /// Ends the response after the bytes that are held.
    pub fn end(&self, end: ResponseEnd) {
        let mut state = self.inner.state();
        state.end = Some(end);
        wake(&mut state);
    }

    /// Waits until the response has ended for its caller; returns whether the caller took all of it.
    pub async fn delivered(&self) -> bool {
        self.closed().await;
        self.inner.state().is_delivered
    }

    /// Discards what is held and closes the caller's connection without a proper end. Without this the
    /// connection would wait for its caller before it looks at the end of the response.
    pub fn abort(&self) {
        let mut state = self.inner.state();
        self.inner.clear(&mut state);
        state.end = Some(ResponseEnd::Aborted);
        if let Some(connection) = &state.connection {
            connection.notify_one();
        }
        wake(&mut state);
    }

    async fn push_when_admitted(&mut self, part: &Bytes) -> Result<Duration, PushError> {
        let clock = self.inner.buffers.clock.clone();
        let full_since = clock.now();
        loop {
            let admission = self.try_push(part)?;
            let now = clock.now();
            let abort_at = self.inner.state().held.abort_at();
            let Some(abort_at) = abort_at else {
                return Ok(now.saturating_duration_since(full_since));
            };
            let time_left = abort_at.saturating_duration_since(now);
            if time_left.is_zero() {
                return Err(PushError::CallerTooSlow);
            }
            tokio::select! {
                accepted = self.accepted.changed() => {
                    accepted.map_err(|_| PushError::CallerLeft)?;
                }
                () = self.inner.buffers.freed.notified(),
                    if admission == Admission::BudgetUsedUp => {}
                () = tokio::time::sleep(time_left) => {}
            }
        }
    }

    fn try_push(&self, part: &Bytes) -> Result<Admission, PushError> {
        if self.is_closed() {
            return Err(PushError::CallerLeft);
        }
        let buffers = &self.inner.buffers;
        let mut state = self.inner.state();
        let now = buffers.clock.now();
        let admission = buffers.budget().admit(&mut state.held, part.len(), now);
        if admission == Admission::Admitted {
            append(&mut state.blocks, part);
            wake(&mut state);
            // Another response may find room, too.
            buffers.freed.notify_one();
        }
        Ok(admission)
    }
}

/// Appends bytes to the last block, or as a new one. Small events share a block, as each block has a cost
/// of its own.
fn append(blocks: &mut VecDeque<BytesMut>, part: &Bytes) {
    match blocks.back_mut() {
        Some(last) if last.len() + part.len() <= RESERVED_BYTES => last.extend_from_slice(part),
        _ => blocks.push_back(BytesMut::from(part.as_ref())),
    }
}

fn wake(state: &mut State) {
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

impl SendBody {
    /// Sets what is notified to close the caller's connection at once.
    pub fn set_connection(&self, connection: Arc<Notify>) {
        self.inner.state().connection = Some(connection);
    }
}

impl hyper::body::Body for SendBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let buffers = &self.inner.buffers;
        let mut state = self.inner.state();
        if let Some(block) = state.blocks.pop_front() {
            let now = buffers.clock.now();
            buffers.budget().accept(&mut state.held, block.len(), now);
            drop(state);
            self.accepted.send_replace(());
            buffers.freed.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(block.freeze()))));
        }
        match state.end {
            Some(ResponseEnd::Complete) => {
                state.is_delivered = true;
                Poll::Ready(None)
            }
            Some(ResponseEnd::Aborted) => Poll::Ready(Some(Err(StreamAborted))),
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for SendBody {
    fn drop(&mut self) {
        self.inner.clear(&mut self.inner.state());
    }
}
