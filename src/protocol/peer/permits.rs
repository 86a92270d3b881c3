//! Peer messages about the concurrency of upstreams.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        membership::{DaemonName, Incarnation},
        permits::{Agreement, Grant, LeaseRequest},
    },
    state::objects::UpstreamName,
};

/// A question about the concurrency of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks an owner for leases.
    AcquireLeases(LeaseRequest),
    /// Asks for consent that the sender owns these upstreams.
    Agree {
        /// The sender.
        owner: DaemonName,
        /// The upstreams.
        upstreams: Vec<UpstreamName>,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The grants, one for each want.
    Grants(Vec<Grant>),
    /// The consents; upstreams are left out whose owner the daemon holds to be another.
    Agreed {
        /// Which start of the daemon answers.
        incarnation: Incarnation,
        /// The consents.
        agreements: Vec<Agreement>,
    },
}
