//! Peer messages about the concurrency of upstreams.

use serde::{Deserialize, Serialize};

/// A question about the concurrency of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {}
