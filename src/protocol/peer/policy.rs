//! Peer messages about learned counts, exposure and usage.

use serde::{Deserialize, Serialize};

/// A question about learned counts, exposure and usage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {}
