//! Peer messages about the published configuration.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{configuration::connectivity::PeerHead, membership::DaemonName},
    state::{diff::Change, record::Record, snapshot::Generation},
};

/// A request about the published configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Requests the generation in force and the time since the last contact with the table.
    Head,
    /// Requests all records after a generation.
    RecordsAfter(Generation),
    /// Delivers a record to apply and forward.
    Push(Push),
}

/// A record distributed along a tree of peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Push {
    /// The record.
    pub record: Record,
    /// Daemons to which the receiver forwards the record.
    pub forward: Vec<DaemonName>,
    /// Time in milliseconds within which the receiver must respond.
    pub budget_ms: u64,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The generation in force.
    Head(PeerHead),
    /// Records after the requested generation, in order.
    Records(Vec<Record>),
    /// The full set of objects, for a requester that is too far behind.
    FullSet {
        /// Generation of the set.
        generation: Generation,
        /// Changes that build the set from an empty one.
        puts: Vec<Change>,
    },
    /// The record has been forwarded.
    Pushed {
        /// The receiver and the daemons below it in the tree on which the generation is in force.
        in_force: Vec<DaemonName>,
    },
}
