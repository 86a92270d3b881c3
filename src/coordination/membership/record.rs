//! What daemons tell one another of the fleet, and which of two records is the newer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::membership::{DaemonName, Incarnation, Member, MemberState},
    state::snapshot::Generation,
};

/// When a daemon started, in milliseconds since the Unix epoch.
///
/// The later start of a name supersedes the earlier one. A daemon that hears of an apparently
/// later start of its own name moves its own stamp past it, so that a clock set back by a
/// replacement of the instance does no harm.
pub type StartedMs = u64;

/// Counts what a daemon has said of its own state; only the daemon itself increments it.
pub type Revision = u32;

/// Matches an acknowledgement to its probe.
pub type Seq = u32;

/// What is said of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon.
    pub member: Member,
    /// When that incarnation started.
    pub started_ms: StartedMs,
    /// The revision of the state.
    pub revision: Revision,
}

impl Record {
    /// Whether this record replaces `other`, which is of the same name.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (StartedMs, Incarnation, Revision, u8) {
        let severity = match self.member.state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Leaving => 2,
            MemberState::Dead => 3,
        };
        (
            self.started_ms,
            self.member.incarnation,
            self.revision,
            severity,
        )
    }

    /// An upper bound of the length of the encoded record.
    pub fn encoded_bound(&self) -> usize {
        const INTEGER_BYTES: usize = 9;
        const INTEGERS: usize = 6;
        const STATE_BYTES: usize = 1;
        let addresses = address_bound(&self.member.callers) + address_bound(&self.member.peers);
        let text = self.member.name.len() + self.member.failure_domain.len();
        INTEGERS * INTEGER_BYTES + STATE_BYTES + addresses + text
    }
}

fn address_bound(addr: &SocketAddr) -> usize {
    const VARIANT_AND_PORT_BYTES: usize = 4;
    match addr {
        SocketAddr::V4(_) => VARIANT_AND_PORT_BYTES + 4,
        SocketAddr::V6(_) => VARIANT_AND_PORT_BYTES + 16,
    }
}

/// One datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: DaemonName,
    /// Which start of the sender.
    pub incarnation: Incarnation,
    /// The configuration generation in force at the sender.
    pub generation: Generation,
    /// A digest of the sender's table; equal digests need no synchronisation.
    pub digest: u32,
    /// What is asked or answered.
    pub body: Body,
    /// Changes that ride along.
    pub records: Vec<Record>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping(Seq),
    /// Answers a ping.
    Ack(Seq),
    /// Asks the receiver to ping another daemon.
    PingReq {
        /// The asker's own number, which comes back in the answer.
        seq: Seq,
        /// Whom to ping.
        target: DaemonName,
    },
    /// Says that the target of a [`Body::PingReq`] answered.
    IndirectAck {
        /// The asker's own number.
        seq: Seq,
        /// Who answered.
        target: DaemonName,
    },
    /// Asks for all records.
    SyncRequest,
    /// Only carries records.
    Gossip,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: Message,
}

/// A daemon that the platform's instance list names; it may be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub name: DaemonName,
    /// Its peer address.
    pub peers: SocketAddr,
}
