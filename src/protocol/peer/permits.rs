//! Peer messages about the concurrency of upstreams.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        membership::{DaemonName, Incarnation},
        permits::{Agreement, Grant, LeaseRequest},
    },
    state::objects::UpstreamName,
};

/// A request about the concurrency of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Requests leases from an owner.
    AcquireLeases(LeaseRequest),
    /// Requests agreement that the sender owns the upstreams.
    Agree {
        /// Name of the sender.
        owner: DaemonName,
        /// The upstreams.
        upstreams: Vec<UpstreamName>,
    },
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Grants, one per demand.
    Grants(Vec<Grant>),
    /// Agreements; omits upstreams that have another owner in the responder's view.
    Agreed {
        /// Incarnation of the responding daemon.
        incarnation: Incarnation,
        /// The agreements.
        agreements: Vec<Agreement>,
    },
}
