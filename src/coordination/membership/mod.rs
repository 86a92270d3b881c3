//! Fleet membership by SWIM-like probes, suspicion and gossip.
//!
//! [`swim::Swim`] is the protocol state machine. It starts one probe per period, whatever the size
//! of the fleet.

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

/// Identifies one start of a daemon; drawn at random so that no two starts share a value.
pub type Incarnation = u64;

/// The state of a daemon as known to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum MemberState {
    /// The daemon responds to probes.
    Alive,
    /// The daemon has missed a probe and may still refute the suspicion.
    Suspect,
    /// The daemon is shutting down and accepts no new callers.
    Leaving,
    /// The daemon has exited or failed to refute the suspicion.
    Dead,
}

/// One daemon as known to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the daemon.
    pub name: DaemonName,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The failure domain of the daemon.
    pub failure_domain: DomainName,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The known state of the daemon.
    pub state: MemberState,
    /// The configuration generation that the daemon last reported as in force.
    pub generation: Generation,
}

impl Member {
    /// Whether requests and peer calls may be sent to the daemon.
    pub fn reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
