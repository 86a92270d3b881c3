//! Decides whether a daemon is sufficiently up to date with the newest configuration to accept new
//! requests.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::state::snapshot::Generation;

/// How long a daemon accepts new requests without reaching the table, a peer that reaches it, or a
/// majority of the fleet, which shows that the table is down.
pub const CONNECTIVITY_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a daemon that knows of a newer generation keeps accepting new requests, counted from
/// the last time at which it was known to have the newest one.
pub const OUTDATED_TIMEOUT: Duration = Duration::from_secs(4);

/// How current the configuration of a daemon is, as reported to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHead {
    /// The generation in force.
    pub generation: Generation,
    /// Milliseconds since this daemon last reached the table, directly or through peers.
    pub table_age_ms: Option<u64>,
    /// The number of daemons that were reachable when the table was last reached.
    pub fleet: u32,
}

/// Why a daemon accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum NotReady {
    /// The daemon has no configuration yet.
    #[error("no configuration has been received yet")]
    NoConfiguration,
    /// The daemon reaches neither the table nor any peer.
    #[serde(rename = "out_of_touch")]
    #[error("neither the table nor any peer is reachable")]
    Disconnected,
    /// The daemon knows of a newer generation but cannot fetch it.
    #[error("generation {newest} is known but cannot be fetched")]
    Behind {
        /// The newest known generation.
        newest: Generation,
    },
    /// The daemon does not reach the table, and reaches so few peers that the others may reach it.
    #[error("the table is unreachable, and only {reachable} of {fleet} daemons are reachable")]
    Minority {
        /// Reachable daemons, including this one.
        reachable: u32,
        /// Daemons that were reachable when the table was last reached.
        fleet: u32,
    },
}

/// Tracks when the table and the peers were last reached.
///
/// All times are those at which the request was sent, so that a response that is read late, after a
/// pause of the process, counts as old.
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
    /// Records that the table responded to a request sent at `sent_at`.
    pub fn record_table_response(&mut self, sent_at: Instant) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        self.table_contact = self.table_contact.max(Some(sent_at));
        self.fleet_size = self.reachable;
    }

    /// Records that a peer responded to a request sent at `sent_at`.
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

    /// Sets the number of other daemons that can be reached.
    pub fn set_reachable_peers(&mut self, peers: usize) {
        self.reachable = u32::try_from(peers + 1).unwrap_or(u32::MAX);
        self.fleet_size = self.fleet_size.max(self.reachable);
    }

    /// Records the generation in force, `own`, and the newest known generation.
    pub fn record_generations(&mut self, own: Generation, newest: Generation) {
        if own >= newest {
            self.newer_generation = None;
            self.last_up_to_date = self.last_contact;
        } else {
            self.newer_generation = Some(newest);
        }
    }

    /// Whether the table was reached within the last `limit`, directly or through peers.
    pub fn table_reached_within(&self, now: Instant, limit: Duration) -> bool {
        is_recent(self.table_contact, now, limit)
    }

    /// Returns the status to report to a peer.
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

    /// Checks whether new requests may be accepted with generation `own` in force.
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
