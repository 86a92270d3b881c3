//! Membership records and messages, and the order in which records supersede each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::membership::{DaemonName, Incarnation, Member, MemberState},
    state::snapshot::Generation,
};

/// When a daemon started, in milliseconds since the Unix epoch.
///
/// The later start of a name supersedes the earlier one. A recently started daemon that receives a
/// record of an apparently later start of its own name moves its own timestamp past it, so that a
/// replacement instance whose clock is behind still supersedes the old one.
pub type StartedMs = u64;

/// Version of a daemon's own state; only the daemon itself increments it.
pub type Revision = u32;

/// Sequence number that matches an acknowledgement to its probe.
pub type Seq = u32;

/// The gossiped state of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon.
    pub member: Member,
    /// When this incarnation started.
    pub started_ms: StartedMs,
    /// The revision of this state.
    pub revision: Revision,
}

impl Record {
    /// Whether this record replaces `other`, which must have the same name.
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

    /// Returns an upper bound on the length of the encoded record.
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
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The configuration generation in force at the sender.
    pub generation: Generation,
    /// Digest of the sender's member list; equal digests need no synchronisation.
    pub digest: u32,
    /// The request or response.
    pub body: Body,
    /// Membership changes piggybacked on the message.
    pub records: Vec<Record>,
}

/// The request or response that a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an [`Body::Ack`].
    Ping(Seq),
    /// Answers a ping.
    Ack(Seq),
    /// Asks the receiver to ping another daemon.
    PingReq {
        /// The requester's sequence number, which is returned in [`Body::IndirectAck`].
        seq: Seq,
        /// The daemon to ping.
        target: DaemonName,
    },
    /// Reports that the target of a [`Body::PingReq`] answered.
    IndirectAck {
        /// The requester's sequence number.
        seq: Seq,
        /// The daemon that answered.
        target: DaemonName,
    },
    /// Requests all records of the receiver.
    SyncRequest,
    /// Carries only records.
    Gossip,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The destination address.
    pub to: SocketAddr,
    /// The message to send.
    pub message: Message,
}

/// A daemon on the platform's instance list, which may be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The name of the daemon.
    pub name: DaemonName,
    /// The peer address of the daemon.
    pub peers: SocketAddr,
}
