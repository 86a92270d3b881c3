//! Leases of permits: how many requests a daemon may have at an upstream at once.
//!
//! [`leases::Leases`] is the part of a daemon that asks, [`ledger::Ledgers`] the part that grants.
//! Every grant has two numbers: `slots` holds for the engine incarnation that it names, and
//! `cold_slots` for any other; the sums of both stay within what the engine bears warm and cold. So
//! an engine that restarts gets no more than it bears cold, before any daemon has told another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    state::objects::UpstreamName,
};

mod division;
pub mod leases;
pub mod ledger;

/// How long a lease is valid, from the moment at which the asker sent the ask.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// What an owner adds to the term, for clocks that run at different rates.
pub const LEASE_TERM_MARGIN: Duration = Duration::from_millis(200);

/// Changes with every start of an engine.
pub type EngineIncarnation = u64;

/// What one daemon asks of an owner, for all of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub from: DaemonName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Grows with every ask of that start.
    pub seq: u64,
    /// What it asks.
    pub demands: Vec<Demand>,
}

/// What is asked about one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The slots wanted.
    pub wanted: u32,
    /// The requests running there now.
    pub in_use: u32,
    /// Whether none of the slots held has been needed since the last ask.
    pub idle: bool,
    /// The lease held, by whichever owner granted it.
    pub held: HeldLease,
    /// The answers that succeeded since the last ask that was answered.
    pub answered: u32,
    /// The engine's incarnation as the asker last saw it.
    pub seen_engine: Option<EngineIncarnation>,
    /// Whether the engine has broken a connection since the last ask that was answered.
    pub crashed: bool,
}

/// A lease as its holder states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The slots.
    pub slots: u32,
    /// The slots that also hold for a new engine incarnation.
    pub cold_slots: u32,
    /// How long it is still valid, in milliseconds.
    pub remaining_ms: u32,
}

/// What an owner grants for one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The outcome.
    pub outcome: Outcome,
}

/// The outcome of an ask about one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A lease in place of the one held.
    Lease {
        /// The slots while the engine is of the named incarnation.
        slots: u32,
        /// The slots while it is of another or unknown one.
        cold_slots: u32,
        /// The incarnation.
        engine: Option<EngineIncarnation>,
    },
    /// The daemon asked does not own the upstream; the lease held stays as it is.
    NotOwner,
}

/// A daemon's consent that another owns an upstream, with what it holds of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The lease held.
    pub held: HeldLease,
    /// The requests running there now.
    pub in_use: u32,
}

/// What an engine said of itself, as far as permits go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Its incarnation.
    pub engine: EngineIncarnation,
    /// Whether it is cold.
    pub cold: bool,
    /// The requests that it has, running and waiting.
    pub outstanding: u32,
}

/// What an upstream bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimits {
    /// Requests at once when cold.
    pub cold: u32,
    /// Requests at once when warm.
    pub warm: u32,
}
