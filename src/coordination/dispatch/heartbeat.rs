//! What daemons tell each other in heartbeats.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use platform::{DomainName, RowVersion, TableEra, VersionName, orders::RolloutState};
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    announcements::LeavingReport,
    brittle::BrittleReport,
    busy_reports::BusyReport,
    crash_evidence::SuspectReport,
    evidence::Evidence,
    liveness::LivenessReport,
    overload::{self, OverloadReport},
    rate_limit::LimitReport,
};

/// Name of a daemon's instance.
pub type DaemonName = CompactString;

/// Identifies one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId {
    /// The instance that it runs on.
    pub name: DaemonName,
    /// Identifies the start of the process.
    pub incarnation: u64,
}

/// Whether a daemon accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It has no configuration yet, or no longer follows the tables.
    Starting,
    /// It accepts callers.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// A daemon's connectivity to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableState {
    /// It does not poll the table.
    NotPolled,
    /// The table answers it.
    Reachable,
    /// The table did not answer recently.
    Lost,
}

/// A daemon's links to upstreams. It takes one byte while no daemon suspects a loss.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Links {
    /// They work, as far as the daemon knows.
    #[default]
    Working,
    /// It has lost all of them.
    CutOff,
    /// It has sent requests and heard nothing from any upstream since.
    Silent,
    /// They work, and another daemon has reported `Silent`.
    Answering(Vec<AnswerReport>),
}

/// The newest request of a daemon that an upstream of a service has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Time in milliseconds since the request was sent.
    pub age_ms: u32,
}

/// One daemon's load on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Outstanding requests of the daemon.
    pub running: u32,
    /// Prefill time of the daemon's overdue prompts in milliseconds.
    pub overdue_ms: u32,
    /// Time in milliseconds until all prompts are processed; 0 if the daemon does not know it.
    pub backlog_ms: u32,
    /// Whether the daemon could not connect to it recently.
    pub unreachable: bool,
}

/// One daemon's view of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: CompactString,
    /// Row version of the order.
    pub order: RowVersion,
    /// The version that is rolled out.
    pub target: VersionName,
    /// State of the rollout.
    pub state: RolloutState,
    /// State recorded in the table in its current era, if known.
    pub recorded: Option<RolloutState>,
    /// Time since it was ordered.
    pub elapsed: Duration,
    /// Evidence collected by the daemon itself.
    pub evidence: Evidence,
    /// Sessions that stay on the old version.
    pub sticky_sessions: Vec<u64>,
}

/// Sent by each daemon to the others several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: PeerId,
    /// Increases with each heartbeat of the incarnation.
    pub sequence: u32,
    /// Some of the daemons that the sender knows to be alive.
    pub liveness: Vec<LivenessReport>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it accepts callers.
    pub readiness: Readiness,
    /// Its links to upstreams.
    pub links: Links,
    /// Its failure domain.
    pub domain: DomainName,
    /// Rate of its link in Mbit/s.
    pub link_mbps: u32,
    /// Its connectivity to the table.
    pub table: TableState,
    /// Generation of its configuration; 0 if it has none.
    pub generation: u64,
    /// Newest era of the table that it knows.
    pub table_era: TableEra,
    /// Newest row version of the operators' table that it has seen.
    pub newest_order_version: RowVersion,
    /// Newest row version of the upstreams' table that it has seen.
    pub newest_upstream_version: RowVersion,
    /// Whether it keeps removed upstreams that may return after an outage of the table.
    pub awaits_upstreams: bool,
    /// Its load on upstreams; in a large fleet only on those that it could not connect to.
    pub loads: Vec<LoadReport>,
    /// The total load of busy engines that it uses; in a large fleet only.
    pub busy: Vec<BusyReport>,
    /// Its view of the rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// What may have crashed upstreams, according to all daemons that it heard.
    pub suspects: Vec<SuspectReport>,
    /// Upstreams that have announced to it, or to a daemon that it heard, that they leave.
    pub leaving: Vec<LeavingReport>,
    /// Limits that upstreams have named or ended, to it or to a daemon that it heard.
    pub limits: Vec<LimitReport>,
    /// What it, or a daemon that it heard, knows of brittle services.
    pub brittle: Vec<BrittleReport>,
    /// Demand for services whose upstreams are full. It takes no bytes if there are none, so it must be
    /// the last field.
    #[serde(with = "overload::optional_tail")]
    pub overload: Vec<OverloadReport>,
}

impl Heartbeat {
    /// Returns whether its sender can follow the table for others.
    ///
    /// Load pattern: the whole fleet starts at once, and no daemon is ready. Those that have the tables
    /// count, or all daemons would poll until the first are ready.
    pub fn can_poll(&self) -> bool {
        let unknown = RowVersion::default();
        match self.readiness {
            Readiness::Ready => true,
            Readiness::Starting => {
                self.newest_order_version != unknown && self.newest_upstream_version != unknown
            }
            Readiness::Leaving => false,
        }
    }
}
