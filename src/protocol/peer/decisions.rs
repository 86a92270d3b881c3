//! Peer messages about recorded decisions.

use serde::{Deserialize, Serialize};

use crate::coordination::decisions::{Decision, RequestId};

/// A question about recorded decisions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// The decisions about one request.
    ForRequest(RequestId),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The decisions, oldest first.
    Decisions(Vec<Decision>),
}
