//! Whether a daemon is near enough to the newest configuration to take new work.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::state::snapshot::Generation;

/// How long a daemon takes new work without hearing the table, a peer that does, or a fleet that
/// agrees that the table is down.
pub const CONTACT_LIMIT: Duration = Duration::from_secs(3);

/// How long a daemon takes new work once it knows of a newer generation, from when it was last
/// known to have the newest.
pub const BEHIND_LIMIT: Duration = Duration::from_secs(4);

/// What a daemon tells its peers about how current its configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHead {
    /// The generation in force.
    pub generation: Generation,
    /// Milliseconds since the table was last known to be heard, by this daemon or through peers.
    pub table_age_ms: Option<u64>,
    /// The number of daemons that were in touch when the table was last heard.
    pub fleet: u32,
}

/// Why a daemon takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum NotReady {
    /// It has no configuration yet.
    #[error("no configuration has been received yet")]
    NoConfiguration,
    /// It hears neither the table nor any peer.
    #[error("neither the table nor any peer is heard")]
    OutOfTouch,
    /// It knows of a newer generation and cannot get it.
    #[error("generation {newest} is known and cannot be had")]
    Behind {
        /// The newest generation known.
        newest: Generation,
    },
    /// It does not hear the table, and so few peers that the others may hear it.
    #[error("the table is not heard, and only {reachable} of {fleet} daemons are in touch")]
    Minority {
        /// Daemons in touch, this one included.
        reachable: u32,
        /// Daemons that were in touch when the table was last heard.
        fleet: u32,
    },
}

/// When the table and the peers were last heard.
///
/// All times are those at which the question was sent, so that an answer that was read late,
/// after a pause of the process, counts as old.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    table: Option<Instant>,
    peer: Option<Instant>,
    heard: Option<Instant>,
    current: Option<Instant>,
    newer: Option<Generation>,
    reachable: u32,
    fleet: u32,
}

impl Contact {
    /// The table answered a question sent at `sent`.
    pub fn heard_table(&mut self, sent: Instant) {
        self.heard = self.heard.max(Some(sent));
        self.table = self.table.max(Some(sent));
        self.fleet = self.reachable;
    }

    /// A peer answered a question sent at `sent`.
    pub fn heard_peer(&mut self, sent: Instant, head: &PeerHead) {
        self.heard = self.heard.max(Some(sent));
        self.peer = self.peer.max(Some(sent));
        let age = head.table_age_ms.map(Duration::from_millis);
        let vouched = age.and_then(|age| sent.checked_sub(age));
        if vouched > self.table {
            self.table = vouched;
            self.fleet = self.reachable.max(head.fleet);
        } else if self.table.is_none() {
            self.fleet = self.fleet.max(head.fleet);
        }
    }

    /// `peers` other daemons can be reached.
    pub fn reach(&mut self, peers: usize) {
        self.reachable = u32::try_from(peers + 1).unwrap_or(u32::MAX);
        self.fleet = self.fleet.max(self.reachable);
    }

    /// `newest` is the newest generation known and `own` the one in force.
    pub fn compare(&mut self, own: Generation, newest: Generation) {
        if own >= newest {
            self.newer = None;
            self.current = self.heard;
        } else {
            self.newer = Some(newest);
        }
    }

    /// Whether the table has been heard since `limit` ago, directly or through peers.
    pub fn table_within(&self, now: Instant, limit: Duration) -> bool {
        within(self.table, now, limit)
    }

    /// What to tell a peer.
    pub fn head(&self, now: Instant, generation: Generation) -> PeerHead {
        let age = self.table.map(|at| now.saturating_duration_since(at));
        PeerHead {
            generation,
            table_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            fleet: self.fleet,
        }
    }

    /// Whether new work may be taken with generation `own` in force.
    pub fn readiness(&self, now: Instant, own: Generation) -> Result<(), NotReady> {
        if own == 0 {
            return Err(NotReady::NoConfiguration);
        }
        if let Some(newest) = self.newer
            && !within(self.current, now, BEHIND_LIMIT)
        {
            return Err(NotReady::Behind { newest });
        }
        if self.table_within(now, CONTACT_LIMIT) {
            return Ok(());
        }
        if !within(self.peer, now, CONTACT_LIMIT) {
            return Err(NotReady::OutOfTouch);
        }
        if self.reachable.saturating_mul(2) > self.fleet {
            return Ok(());
        }
        Err(NotReady::Minority {
            reachable: self.reachable,
            fleet: self.fleet,
        })
    }
}

fn within(at: Option<Instant>, now: Instant, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
