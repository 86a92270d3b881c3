//! Peer messages about bills held for one another.

use serde::{Deserialize, Serialize};

/// A question about bills held for one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {}
