//! Decides how many bytes of bodies a daemon holds, and which body gives way when there is no room.
//!
//! Load pattern: many callers send large bodies at once, and most stop short of their end and stay connected.
//! A body that is received too slowly gives way, so that a few callers cannot keep the room that ordinary ones
//! need. Among fast ones the youngest gives way, so that some are completed however many come. A part of the
//! budget is for small bodies alone.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Identifies a body of a daemon.
pub type BodyId = u64;

/// Size in bytes up to which a body is small.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Time for which a new body does not give way, nor one that has grown fast.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Rate in bytes per second below which a body gives way to another one.
pub const MIN_RATE: u32 = 64 << 10;
/// The part of the budget that only small bodies may use is one in this many.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Whether a body may hold more bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The bytes have been added; these bodies gave way and hold nothing any more.
    Admitted(Vec<BodyId>),
    /// There is no room; these bodies gave way and hold nothing any more.
    Refused(Vec<BodyId>),
}

/// The bytes that a daemon may hold for all bodies.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    held: usize,
    next_id: BodyId,
    bodies: HashMap<BodyId, HeldBytes>,
    /// The small bodies that are still received.
    small: ReceivedBodies,
    /// The large ones.
    large: ReceivedBodies,
}

#[derive(Debug)]
struct HeldBytes {
    bytes: usize,
    /// Until when the body does not give way as too slow.
    protected_until: Instant,
}

impl HeldBytes {
    fn is_small(&self) -> bool {
        self.bytes <= SMALL_BODY_BYTES
    }

    fn grow(&mut self, bytes: usize, now: Instant) {
        self.bytes += bytes;
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let time_earned = Duration::from_secs(1) * bytes / MIN_RATE;
        let earned = self.protected_until.max(now) + time_earned;
        self.protected_until = earned.min(now + STALL_TIME);
    }
}

/// Bodies that are still received.
#[derive(Debug, Default)]
struct ReceivedBodies {
    /// By the time until which they do not give way as too slow.
    by_protection: BTreeSet<(Instant, BodyId)>,
    by_age: BTreeSet<BodyId>,
}

impl ReceivedBodies {
    fn insert(&mut self, id: BodyId, protected_until: Instant) {
        self.by_protection.insert((protected_until, id));
        self.by_age.insert(id);
    }

    fn remove(&mut self, id: BodyId, protected_until: Instant) {
        self.by_protection.remove(&(protected_until, id));
        self.by_age.remove(&id);
    }

    /// Returns the body that has been too slow for longest.
    fn slowest(&self, now: Instant) -> Option<BodyId> {
        let (protected_until, id) = self.by_protection.first()?;
        (*protected_until <= now).then_some(*id)
    }

    fn youngest(&self) -> Option<BodyId> {
        self.by_age.last().copied()
    }
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            next_id: 0,
            bodies: HashMap::new(),
            small: ReceivedBodies::default(),
            large: ReceivedBodies::default(),
        }
    }

    /// Returns the number of bytes held for all bodies.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Begins a body.
    pub fn open(&mut self, now: Instant) -> BodyId {
        let id = self.next_id;
        self.next_id += 1;
        let body = HeldBytes {
            bytes: 0,
            protected_until: now + STALL_TIME,
        };
        self.small.insert(id, body.protected_until);
        self.bodies.insert(id, body);
        id
    }

    /// Adds bytes to a body that is received, if there is room or another body gives way.
    pub fn admit(&mut self, id: BodyId, bytes: usize, now: Instant) -> Admission {
        let mut evicted = Vec::new();
        let Some(body) = self.bodies.get(&id) else {
            return Admission::Refused(evicted);
        };
        let is_small = body.bytes + bytes <= SMALL_BODY_BYTES;
        let limit = match is_small {
            true => self.limit,
            false => self.limit - self.limit / SMALL_SHARE_DIVISOR,
        };
        while self.held + bytes > limit {
            let Some(victim) = self.victim(id, is_small, now) else {
                return Admission::Refused(evicted);
            };
            self.close(victim);
            evicted.push(victim);
        }
        self.grow(id, bytes, now);
        Admission::Admitted(evicted)
    }

    /// Records that a body has been received; it does not give way any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get(&id) {
            self.small.remove(id, body.protected_until);
            self.large.remove(id, body.protected_until);
        }
    }

    /// Ends a body, whose bytes are given back.
    pub fn close(&mut self, id: BodyId) {
        self.complete(id);
        if let Some(body) = self.bodies.remove(&id) {
            self.held -= body.bytes;
        }
    }

    fn grow(&mut self, id: BodyId, bytes: usize, now: Instant) {
        self.complete(id);
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.grow(bytes, now);
        self.held += bytes;
        let received = match body.is_small() {
            true => &mut self.small,
            false => &mut self.large,
        };
        received.insert(id, body.protected_until);
    }

    /// Returns the body that gives way to another one: a large one that is too slow, or the youngest one that
    /// began later. To a small body, slow small ones and any large one give way as well.
    fn victim(&self, id: BodyId, is_small: bool, now: Instant) -> Option<BodyId> {
        let is_other = |other: &BodyId| *other != id;
        let youngest = self.large.youngest().filter(is_other);
        let slow = self.large.slowest(now).filter(is_other);
        match is_small {
            true => slow
                .or_else(|| self.small.slowest(now).filter(is_other))
                .or(youngest),
            false => slow.or_else(|| youngest.filter(|youngest| *youngest > id)),
        }
    }
}
