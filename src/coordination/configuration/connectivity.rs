//! Whether a daemon is near enough to the newest configuration to take new work.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::state::snapshot::Generation;

/// How long a daemon takes new work without hearing the table, a peer that does, or a fleet that
/// agrees that the table is down.
pub const CONNECTIVITY_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a daemon takes new work once it knows of a newer generation, from when it was last
/// known to have the newest.
pub const OUTDATED_TIMEOUT: Duration = Duration::from_secs(4);

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
    #[serde(rename = "out_of_touch")]
    #[error("neither the table nor any peer is heard")]
    Disconnected,
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
pub struct Connectivity {
    table_contact: Option<Instant>,
    peer_contact: Option<Instant>,
    last_contact: Option<Instant>,
    last_up_to_date: Option<Instant>,
    newer_generation: Option<Generation>,
    reachable: u32,
    fleet_size: u32,
}

impl Connectivity {
    /// The table answered a question sent at `sent_at`.
    pub fn record_table_response(&mut self, sent_at: Instant) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        self.table_contact = self.table_contact.max(Some(sent_at));
        self.fleet_size = self.reachable;
    }

    /// A peer answered a question sent at `sent_at`.
    pub fn record_peer_response(&mut self, sent_at: Instant, head: &PeerHead) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        self.peer_contact = self.peer_contact.max(Some(sent_at));
        let age = head.table_age_ms.map(Duration::from_millis);
        let peer_table_contact = age.and_then(|age| sent_at.checked_sub(age));
        if peer_table_contact > self.table_contact {
            self.table_contact = peer_table_contact;
            self.fleet_size = self.reachable.max(head.fleet);
        } else if self.table_contact.is_none() {
            self.fleet_size = self.fleet_size.max(head.fleet);
        }
    }

    /// `peers` other daemons can be reached.
    pub fn set_reachable_peers(&mut self, peers: usize) {
        self.reachable = u32::try_from(peers + 1).unwrap_or(u32::MAX);
        self.fleet_size = self.fleet_size.max(self.reachable);
    }

    /// `newest` is the newest generation known and `own` the one in force.
    pub fn record_generations(&mut self, own: Generation, newest: Generation) {
        if own >= newest {
            self.newer_generation = None;
            self.last_up_to_date = self.last_contact;
        } else {
            self.newer_generation = Some(newest);
        }
    }

    /// Whether the table has been heard since `limit` ago, directly or through peers.
    pub fn table_reached_within(&self, now: Instant, limit: Duration) -> bool {
        is_recent(self.table_contact, now, limit)
    }

    /// What to tell a peer.
    pub fn peer_head(&self, now: Instant, generation: Generation) -> PeerHead {
        let age = self
            .table_contact
            .map(|at| now.saturating_duration_since(at));
        PeerHead {
            generation,
            table_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            fleet: self.fleet_size,
        }
    }

    /// Whether new work may be taken with generation `own` in force.
    pub fn readiness(&self, now: Instant, own: Generation) -> Result<(), NotReady> {
        if own == 0 {
            return Err(NotReady::NoConfiguration);
        }
        if let Some(newest) = self.newer_generation
            && !is_recent(self.last_up_to_date, now, OUTDATED_TIMEOUT)
        {
            return Err(NotReady::Behind { newest });
        }
        if self.table_reached_within(now, CONNECTIVITY_TIMEOUT) {
            return Ok(());
        }
        if !is_recent(self.peer_contact, now, CONNECTIVITY_TIMEOUT) {
            return Err(NotReady::Disconnected);
        }
        if self.reachable.saturating_mul(2) > self.fleet_size {
            return Ok(());
        }
        Err(NotReady::Minority {
            reachable: self.reachable,
            fleet: self.fleet_size,
        })
    }
}

fn is_recent(at: Option<Instant>, now: Instant, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
