//! Peer messages about recorded decisions.

use serde::{Deserialize, Serialize};

use crate::coordination::decisions::{Decision, RequestId};

/// A request about recorded decisions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Requests the decisions about one request.
    ForRequest(RequestId),
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Decisions, oldest first.
    Decisions(Vec<Decision>),
}
