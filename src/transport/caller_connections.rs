//! The open connections of a listener, and what each of them does.

use std::{
    collections::HashMap,
    sync::{
        Arc, LazyLock, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use prometheus::IntCounterVec;
use tokio::sync::Notify;

use crate::{
    clock::SharedClock,
    coordination::connection_table::{Admission, ConnectionId, ConnectionTable, Phase},
    metrics::counter,
};

static CLOSED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_connections_closed_total",
        "Connections closed to keep to the limits, by reason.",
        &["why"],
    )
});

/// Number of bytes of a body that may be received without content: chunk sizes, extensions and trailers.
const MAX_EMPTY_BYTES: usize = 64 << 10;
/// Number of bytes that may be received for each byte of content; a chunk of one byte has six.
const BYTES_PER_CONTENT: usize = 16;

/// The connections of a listener.
pub struct CallerConnections {
    state: Mutex<State>,
    clock: SharedClock,
}

struct State {
    table: ConnectionTable,
    /// Notified to close a connection at once.
    closers: HashMap<ConnectionId, Arc<Notify>>,
}

impl CallerConnections {
    /// Creates a listener's table of at most `limit` connections.
    pub fn new(limit: usize, clock: SharedClock) -> Self {
        Self {
            state: Mutex::new(State {
                table: ConnectionTable::new(limit),
                closers: HashMap::new(),
            }),
            clock,
        }
    }

    /// Admits a new connection; `None` if it must be closed. If another one gives way, its task closes it
    /// before this returns, so that both are not open for long.
    pub async fn open(self: &Arc<Self>) -> Option<Arc<CallerConnection>> {
        let now = self.clock.now();
        let admission = self.state().table.open(now);
        let id = match admission {
            Admission::Accepted(id) => id,
            Admission::Replaces { accepted, closed } => {
                count_closed("replaced");
                self.state().close(closed);
                tokio::task::yield_now().await;
                accepted
            }
            Admission::Refused => {
                count_closed("refused");
                return None;
            }
        };
        Some(Arc::new(CallerConnection::new(self.clone(), id)))
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.state().table.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes connections that have received the head of a request for this long without its end.
    pub fn close_late_heads(&self, timeout: Duration) {
        let mut state = self.state();
        for id in state.table.late_heads(timeout, self.clock.now()) {
            count_closed("head_timeout");
            state.close(id);
        }
    }

    /// Records that the process was paused until now.
    pub fn resume(&self) {
        self.state().table.resume(self.clock.now());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_phase(&self, id: ConnectionId, phase: Phase) {
        let now = self.clock.now();
        self.state().table.set_phase(id, phase, now);
    }
}

fn count_closed(why: &str) {
    CLOSED.with_label_values(&[why]).inc();
}

impl State {
    fn close(&mut self, id: ConnectionId) {
        self.table.close(id);
        if let Some(closer) = self.closers.remove(&id) {
            closer.notify_one();
        }
    }
}

/// An open connection.
pub struct CallerConnection {
    connections: Arc<CallerConnections>,
    id: ConnectionId,
    closer: Arc<Notify>,
    /// Whether the next bytes begin the head of a request.
    awaits_head: AtomicBool,
    /// Number of requests whose responses have not been handed over.
    active: AtomicUsize,
    /// Whether the last response has been handed over, but perhaps not written.
    is_answered: AtomicBool,
    /// Whether a request was answered before its body was read.
    has_unread_body: AtomicBool,
    /// Number of bytes that may still be received.
    allowance: AtomicUsize,
}

impl CallerConnection {
    fn new(connections: Arc<CallerConnections>, id: ConnectionId) -> Self {
        let closer = Arc::new(Notify::new());
        connections.state().closers.insert(id, closer.clone());
        Self {
            connections,
            id,
            closer,
            awaits_head: AtomicBool::new(true),
            active: AtomicUsize::new(0),
            is_answered: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            allowance: AtomicUsize::new(usize::MAX),
        }
    }

    /// Returns what is notified to close the connection at once.
    pub fn closer(&self) -> Arc<Notify> {
        self.closer.clone()
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Records that a request head has been received, until the guard is dropped with the response.
    pub fn begin_request(self: &Arc<Self>, has_body: bool) -> RequestGuard {
        self.active.fetch_add(1, Ordering::Relaxed);
        self.awaits_head.store(false, Ordering::Relaxed);
        self.is_answered.store(false, Ordering::Relaxed);
        self.has_unread_body.store(has_body, Ordering::Relaxed);
        let (phase, allowance) = match has_body {
            true => (Phase::Body, MAX_EMPTY_BYTES),
            false => (Phase::Serving, usize::MAX),
        };
        self.allowance.store(allowance, Ordering::Relaxed);
        self.connections.set_phase(self.id, phase);
        RequestGuard(self.clone())
    }

    /// Records that content of the body has been received.
    pub fn receive_content(&self, bytes: usize) {
        let earned = bytes.saturating_mul(BYTES_PER_CONTENT);
        let allowance = self.allowance().saturating_add(earned);
        self.allowance.store(allowance, Ordering::Relaxed);
    }

    /// Records that the body has been received.
    pub fn end_body(&self) {
        self.has_unread_body.store(false, Ordering::Relaxed);
        self.allowance.store(usize::MAX, Ordering::Relaxed);
        self.connections.set_phase(self.id, Phase::Serving);
    }

    /// Records that the response of a request has been handed over.
    fn end_response(&self) {
        if self.active.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.is_answered.store(true, Ordering::Relaxed);
        }
    }

    /// Records that everything handed over has been written.
    pub fn flushed(&self) {
        if self.is_answered.swap(false, Ordering::Relaxed) {
            self.awaits_head.store(true, Ordering::Relaxed);
            self.connections.set_phase(self.id, Phase::Idle);
        }
    }

    /// Returns the number of bytes that may be received now.
    pub fn allowance(&self) -> usize {
        self.allowance.load(Ordering::Relaxed)
    }

    /// Records that bytes have been received.
    pub fn receive(&self, bytes: usize) {
        let left = self.allowance();
        if left < usize::MAX {
            self.allowance
                .store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
        if bytes > 0 && self.awaits_head.swap(false, Ordering::Relaxed) {
            self.connections.set_phase(self.id, Phase::Head);
        }
    }

    /// Begins the end of the connection; returns whether the client may still send a body.
    pub fn begin_close(&self) -> bool {
        self.connections.set_phase(self.id, Phase::Closing);
        self.has_unread_body.load(Ordering::Relaxed)
    }
}

/// A request whose response has not been handed over yet.
pub struct RequestGuard(Arc<CallerConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_response();
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.table.close(self.id);
        state.closers.remove(&self.id);
    }
}
