//! What a follower is told and what it decides.

use std::{sync::Arc, time::Instant};

use crate::{
    coordination::{configuration::connectivity::PeerHead, membership::DaemonName},
    state::{
        objects::Objects,
        record::Record,
        snapshot::{Generation, Snapshot},
    },
};

/// Where a generation can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that has it.
    Peer(DaemonName),
    /// The table.
    Table,
}

/// A reachable peer and the generation that membership says it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachablePeer {
    /// Its name.
    pub name: DaemonName,
    /// Its generation.
    pub generation: Generation,
}

/// What a pull brought.
#[derive(Clone, Debug)]
pub enum PullResult {
    /// Records in order, the first of which follows the generation asked for.
    Records(Vec<Record>),
    /// A whole set.
    Whole(Generation, Box<Objects>),
    /// Nothing: the source did not answer or made no sense.
    Failed,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The peers that can be reached now.
    ReachablePeers(Vec<ReachablePeer>),
    /// A peer was asked at `sent`; `head` is its answer.
    PeerHeadRead {
        /// The peer.
        peer: DaemonName,
        /// When the question was sent.
        sent: Instant,
        /// Its answer, if it came in time.
        head: Option<PeerHead>,
    },
    /// The table's head was read at `sent`.
    TableHeadRead {
        /// When the question was sent.
        sent: Instant,
        /// The newest generation, if the table answered in time.
        generation: Option<Generation>,
    },
    /// A pull has ended.
    PullCompleted {
        /// Whence.
        from: Source,
        /// What came.
        pulled: PullResult,
    },
    /// A record was pushed by a peer, or committed by this daemon itself.
    Pushed(Record),
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask a peer for its [`PeerHead`].
    ReadPeerHead(DaemonName),
    /// Read the generation of the table's head.
    ReadTableHead,
    /// Get everything after `after`.
    Pull {
        /// Whence.
        from: Source,
        /// The generation in force now.
        after: Generation,
    },
    /// Put a snapshot in force.
    Activate(Arc<Snapshot>),
    /// Tell the operators that a generation cannot be read.
    ReportUnreadable {
        /// The generation.
        generation: Generation,
        /// What is wrong with it.
        reason: String,
    },
}
