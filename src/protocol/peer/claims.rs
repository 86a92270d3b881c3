//! Peer messages about claims on idempotency keys.

use serde::{Deserialize, Serialize};

/// A question about claims on idempotency keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {}
