//! Peer messages about the published configuration.

use serde::{Deserialize, Serialize};

/// A question about the published configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {}
