//! Peer messages about the published configuration.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{configuration::connectivity::PeerHead, membership::DaemonName},
    state::{diff::Change, record::Record, snapshot::Generation},
};

/// A question about the published configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks what is in force and how long ago the table was heard.
    Head,
    /// Asks for everything after a generation.
    RecordsAfter(Generation),
    /// Brings a record and asks that it be passed on.
    Push(Push),
}

/// A record on its way along the tree of peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Push {
    /// The record.
    pub record: Record,
    /// The daemons to which the receiver passes it on.
    pub forward: Vec<DaemonName>,
    /// Milliseconds within which the receiver answers.
    pub budget_ms: u64,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// What is in force.
    Head(PeerHead),
    /// The records after the generation asked for, in order.
    Records(Vec<Record>),
    /// The whole set, for an asker that is too far behind.
    FullSet {
        /// Its generation.
        generation: Generation,
        /// The changes that make an empty set into it.
        puts: Vec<Change>,
    },
    /// The record has been passed on.
    Pushed {
        /// The daemons, of the receiver and those below it, on which the generation is in force.
        in_force: Vec<DaemonName>,
    },
}
