//! Decides how many bytes of responses a daemon holds for its callers, and which response is aborted.
//!
//! Load pattern: many callers read their responses slowly or not at all. What is held for them counts
//! toward the daemon's memory, and what is not read from an upstream is held by the upstream, which cuts
//! off responses that it cannot deliver.

use std::time::{Duration, Instant};

/// Maximum number of bytes held for one response.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Number of bytes that each response may hold when the daemon's budget is used up. They are set aside
/// for every open response, so that all responses together keep to the budget.
pub const RESERVED_BYTES: usize = 8 << 10;
/// Time after which a response is aborted whose buffer is full and whose caller accepts no byte.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a response may hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The bytes have been added.
    Admitted,
    /// The response holds as many bytes as one may; reading from the upstream pauses.
    ResponseFull,
    /// The daemon's budget is used up; reading from the upstream pauses.
    BudgetUsedUp,
}

/// The bytes that are held for one response.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: usize,
    /// When the caller last accepted bytes, or the response was opened.
    accepted_at: Instant,
    /// Since when there has been no room for the next bytes.
    full_since: Option<Instant>,
}

impl HeldBytes {
    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns when the response is to be aborted unless its caller accepts bytes before; `None` while
    /// there is room.
    pub fn abort_at(&self) -> Option<Instant> {
        let full_since = self.full_since?;
        Some(full_since.max(self.accepted_at) + STALL_TIMEOUT)
    }

    /// Returns whether the response is to be aborted.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.abort_at().is_some_and(|at| now >= at)
    }

    /// Number of bytes that count toward the budget.
    fn charge(&self) -> usize {
        self.bytes.max(RESERVED_BYTES)
    }
}

/// The bytes that a daemon may hold for all its callers.
#[derive(Debug)]
pub struct SendBudget {
    limit: usize,
    /// Bytes held by all responses.
    held: usize,
    /// Bytes held or set aside.
    charged: usize,
}

impl SendBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            charged: 0,
        }
    }

    /// Returns the number of bytes held for all callers.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Begins a response.
    pub fn open(&mut self, now: Instant) -> HeldBytes {
        self.charged += RESERVED_BYTES;
        HeldBytes {
            bytes: 0,
            accepted_at: now,
            full_since: None,
        }
    }

    /// Adds bytes to a response if there is room for them. At most [`RESERVED_BYTES`] are added at a time,
    /// as more might never find room.
    pub fn admit(&mut self, response: &mut HeldBytes, bytes: usize, now: Instant) -> Admission {
        let held = response.bytes + bytes;
        let extra = held.max(RESERVED_BYTES) - response.charge();
        let admission = if held > MAX_RESPONSE_BYTES {
            Admission::ResponseFull
        } else if extra > 0 && self.charged + extra > self.limit {
            Admission::BudgetUsedUp
        } else {
            Admission::Admitted
        };
        match admission {
            Admission::Admitted => {
                response.bytes = held;
                response.full_since = None;
                self.held += bytes;
                self.charged += extra;
            }
            Admission::ResponseFull | Admission::BudgetUsedUp => {
                response.full_since.get_or_insert(now);
            }
        }
        admission
    }

    /// Records that the caller has accepted bytes of a response.
    pub fn accept(&mut self, response: &mut HeldBytes, bytes: usize, now: Instant) {
        response.accepted_at = now;
        self.release(response, bytes);
    }

    /// Ends a response; what it holds is discarded.
    pub fn close(&mut self, response: &mut HeldBytes) {
        self.release(response, response.bytes);
        self.charged -= RESERVED_BYTES;
    }

    fn release(&mut self, response: &mut HeldBytes, bytes: usize) {
        let charged = response.charge();
        response.bytes -= bytes;
        self.held -= bytes;
        self.charged -= charged - response.charge();
    }
}
