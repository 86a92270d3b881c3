//! Leased permits that limit how many concurrent requests a daemon sends to an upstream.
//!
//! [`leases::Leases`] requests and holds leases, [`ledger::Ledgers`] grants them. Every grant has
//! two numbers: `slots` applies to the engine incarnation that it names, and `cold_slots` to any
//! other. The sum of each over all daemons stays within the warm and the cold concurrency limit of
//! the engine, so a restarted engine stays within its cold limit even before any daemon has
//! notified another of the restart.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    state::objects::UpstreamName,
};

mod division;
pub mod leases;
pub mod ledger;

/// Validity of a lease, counted from when its holder sent the request.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// Added to the term by the owner, to allow for clocks that run at different rates.
pub const LEASE_TERM_MARGIN: Duration = Duration::from_millis(200);

/// Identifies one start of an engine.
pub type EngineIncarnation = u64;

/// A daemon's request to an owner for leases on all upstreams of that owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting daemon.
    pub from: DaemonName,
    /// The incarnation of the requesting daemon.
    pub incarnation: Incarnation,
    /// Increases with every request of that incarnation.
    pub seq: u64,
    /// The demand for each upstream.
    pub demands: Vec<Demand>,
}

/// The demand of one daemon for slots on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Number of slots wanted.
    pub wanted: u32,
    /// Number of requests in flight to the upstream.
    pub in_use: u32,
    /// Whether no slot has been needed since the last request.
    pub idle: bool,
    /// The lease held, whichever owner granted it.
    pub held: HeldLease,
    /// Number of successful responses since the last request was sent.
    pub answered: u32,
    /// The engine incarnation confirmed by the requesting daemon, if any.
    pub seen_engine: Option<EngineIncarnation>,
    /// Whether the engine has broken a connection since the last request was sent.
    pub crashed: bool,
}

/// A lease as reported by its holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// Slots valid for the engine incarnation named by the lease.
    pub slots: u32,
    /// Slots also valid for any other engine incarnation.
    pub cold_slots: u32,
    /// Remaining validity in milliseconds.
    pub remaining_ms: u32,
}

/// The owner's response for one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether a lease was granted.
    pub outcome: Outcome,
}

/// The outcome of a lease request for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A lease that replaces the one held.
    Lease {
        /// Slots valid while the engine runs as the named incarnation.
        slots: u32,
        /// Slots valid while its incarnation is another one or unknown.
        cold_slots: u32,
        /// The engine incarnation known to the owner.
        engine: Option<EngineIncarnation>,
    },
    /// The receiver grants nothing, such as when it does not own the upstream; the lease held is
    /// unchanged.
    NotOwner,
}

/// A daemon's agreement that another daemon owns an upstream, with its own lease and usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The lease held by the daemon that agrees.
    pub held: HeldLease,
    /// Number of requests in flight to the upstream.
    pub in_use: u32,
}

/// The part of an engine's load report that permits depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The incarnation of the engine.
    pub engine: EngineIncarnation,
    /// Whether the engine is cold.
    pub cold: bool,
    /// Number of requests in the engine, running or queued.
    pub outstanding: u32,
}

/// Concurrency limits of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimits {
    /// Maximum number of concurrent requests while cold.
    pub cold: u32,
    /// Maximum number of concurrent requests once warm.
    pub warm: u32,
}
