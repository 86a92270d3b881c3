//! The input events and output actions of a follower.

use std::{sync::Arc, time::Instant};

use crate::{
    coordination::{configuration::connectivity::PeerHead, membership::DaemonName},
    state::{
        objects::Objects,
        record::Record,
        snapshot::{Generation, Snapshot},
    },
};

/// A source from which a generation can be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A peer that has the generation.
    Peer(DaemonName),
    /// The table.
    Table,
}

/// A reachable peer and its generation as reported by membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachablePeer {
    /// The name of the peer.
    pub name: DaemonName,
    /// The generation of the peer.
    pub generation: Generation,
}

/// The result of a pull.
#[derive(Clone, Debug)]
pub enum PullResult {
    /// Records in order, starting after the requested generation.
    Records(Vec<Record>),
    /// A complete set of objects.
    Whole(Generation, Box<Objects>),
    /// The source did not respond, or its response was invalid.
    Failed,
}

/// An input of a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// The set of peers that are currently reachable.
    ReachablePeers(Vec<ReachablePeer>),
    /// A request for the head of a peer, sent at `sent`, has ended.
    PeerHeadRead {
        /// The peer.
        peer: DaemonName,
        /// When the request was sent.
        sent: Instant,
        /// The response, if it arrived in time.
        head: Option<PeerHead>,
    },
    /// A read of the table's head, sent at `sent`, has ended.
    TableHeadRead {
        /// When the request was sent.
        sent: Instant,
        /// The newest generation, if the table responded in time.
        generation: Option<Generation>,
    },
    /// A pull has ended.
    PullCompleted {
        /// The source of the pull.
        from: Source,
        /// The result.
        pulled: PullResult,
    },
    /// A peer pushed a record, or this daemon committed it.
    Pushed(Record),
}

/// An action that a follower requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Request the [`PeerHead`] of a peer.
    ReadPeerHead(DaemonName),
    /// Read the generation from the table's head.
    ReadTableHead,
    /// Fetch all changes after generation `after`.
    Pull {
        /// The source of the pull.
        from: Source,
        /// The generation in force now.
        after: Generation,
    },
    /// Activate a snapshot.
    Activate(Arc<Snapshot>),
    /// Report to the operators that a generation cannot be read.
    ReportUnreadable {
        /// The generation.
        generation: Generation,
        /// Why it cannot be read.
        reason: String,
    },
}
