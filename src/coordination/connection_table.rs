//! Decides how many connections a listener holds, and which one gives way to a new one.
//!
//! Load pattern: clients open many connections, send part of a request or nothing, and stay connected. A new
//! connection takes the place of one that does the least, so that ordinary callers can always connect. A
//! connection with a request that is being served never gives way.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Identifies a connection of a listener.
pub type ConnectionId = u64;

/// Time for which a connection that receives a body does not give way while there is an idle one.
const UPLOAD_TIME: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Its last response has been sent, and the rest of a refused request is discarded.
    Closing,
    /// It receives the head of a request.
    Head,
    /// It has received nothing yet.
    Opened,
    /// It has been answered and waits for its next request.
    Idle,
    /// It receives the body of a request.
    Body,
    /// Its request is served.
    Serving,
}

/// Whether a connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted.
    Accepted(ConnectionId),
    /// It is accepted, and `closed` must be closed for it.
    Replaces {
        /// The new connection.
        accepted: ConnectionId,
        /// The connection that gives way.
        closed: ConnectionId,
    },
    /// All connections have requests that are served.
    Refused,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    next_id: ConnectionId,
    phases: HashMap<ConnectionId, (Phase, Instant)>,
    /// The connections in each phase, by the time since which they are in it.
    by_phase: HashMap<Phase, BTreeSet<(Instant, ConnectionId)>>,
    /// The time before which no head counts as late.
    heads_from: Option<Instant>,
}

impl ConnectionTable {
    /// Creates a table of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            next_id: 0,
            phases: HashMap::new(),
            by_phase: HashMap::new(),
            heads_from: None,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.phases.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.phases.is_empty()
    }

    /// Admits a new connection.
    pub fn open(&mut self, now: Instant) -> Admission {
        let closed = match self.phases.len() < self.limit {
            true => None,
            false => match self.victim(now) {
                Some(victim) => Some(victim),
                None => return Admission::Refused,
            },
        };
        if let Some(closed) = closed {
            self.close(closed);
        }
        let accepted = self.next_id;
        self.next_id += 1;
        self.insert(accepted, Phase::Opened, now);
        match closed {
            None => Admission::Accepted(accepted),
            Some(closed) => Admission::Replaces { accepted, closed },
        }
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        if self.phases.contains_key(&id) {
            self.close(id);
            self.insert(id, phase, now);
        }
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, id: ConnectionId) {
        let Some((phase, since)) = self.phases.remove(&id) else {
            return;
        };
        if let Some(connections) = self.by_phase.get_mut(&phase) {
            connections.remove(&(since, id));
        }
    }

    /// Records that the process was paused until now: what it has not read meanwhile is not late.
    pub fn resume(&mut self, now: Instant) {
        self.heads_from = Some(now);
    }

    /// Returns the connections that have received the head of a request for this long without its end.
    pub fn late_heads(&self, timeout: Duration, now: Instant) -> Vec<ConnectionId> {
        let heads = self.by_phase.get(&Phase::Head).into_iter().flatten();
        let late = heads.take_while(|(since, _)| {
            let since = self.heads_from.map_or(*since, |from| from.max(*since));
            now.saturating_duration_since(since) >= timeout
        });
        late.map(|(_, id)| *id).collect()
    }

    fn insert(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        self.phases.insert(id, (phase, now));
        self.by_phase.entry(phase).or_default().insert((now, id));
    }

    /// Returns the connection that gives way to a new one. One that receives a body does so before idle ones
    /// if it has done so for long.
    fn victim(&self, now: Instant) -> Option<ConnectionId> {
        let body = self.oldest(Phase::Body);
        let late_body =
            body.filter(|(since, _)| now.saturating_duration_since(*since) >= UPLOAD_TIME);
        let victim = self
            .oldest(Phase::Closing)
            .or_else(|| self.oldest(Phase::Head))
            .or_else(|| self.oldest(Phase::Opened))
            .or(late_body)
            .or_else(|| self.oldest(Phase::Idle))
            .or(body);
        victim.map(|(_, id)| id)
    }

    fn oldest(&self, phase: Phase) -> Option<(Instant, ConnectionId)> {
        self.by_phase.get(&phase)?.first().copied()
    }
}
