//! Who is in the fleet: SWIM-like probes, suspicion and gossip.
//!
//! [`swim::Swim`] holds the decisions; it sends one probe a period, however large the fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::state::{objects::DomainName, snapshot::Generation};

mod gossip_queue;
mod member_list;
mod prober;
mod quorum;
mod record;
pub mod swim;

pub use quorum::QuorumStatus;
pub use record::{Body, Message, Outgoing, Record, Revision, Seed, Seq, StartedMs};

/// The name of a daemon.
pub type DaemonName = CompactString;

/// Drawn at random by each start of a daemon, so that two starts never share one.
pub type Incarnation = u64;

/// What the fleet believes of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has missed a probe and has a moment to refute that.
    Suspect,
    /// It shuts down and takes no new callers.
    Leaving,
    /// It is gone.
    Dead,
}

/// One daemon as the others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: DaemonName,
    /// Which start of that name.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// What is believed of it.
    pub state: MemberState,
    /// The configuration generation it last said was in force.
    pub generation: Generation,
}

impl Member {
    /// Whether requests and peer calls may be sent to it.
    pub fn reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
