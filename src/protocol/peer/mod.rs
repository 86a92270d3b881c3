//! What daemons ask of one another, one nested message for each matter.

use serde::{Deserialize, Serialize};

pub mod bills;
pub mod claims;
pub mod configuration;
pub mod decisions;
pub mod permits;
pub mod policy;

/// A call to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the peer is there.
    Ping,
    /// About the published configuration.
    Configuration(configuration::Request),
    /// About claims on idempotency keys.
    Claims(claims::Request),
    /// About bills held for one another.
    Bills(bills::Request),
    /// About the concurrency of upstreams.
    Permits(permits::Request),
    /// About learned counts, exposure and usage.
    Policy(policy::Request),
    /// About recorded decisions.
    Decisions(decisions::Request),
}

/// The answer to a [`PeerRequest`], of the same kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The peer is there.
    Pong,
    /// About the published configuration.
    Configuration(configuration::Response),
    /// About claims on idempotency keys.
    Claims(claims::Response),
    /// About bills held for one another.
    Bills(bills::Response),
    /// About the concurrency of upstreams.
    Permits(permits::Response),
    /// About learned counts, exposure and usage.
    Policy(policy::Response),
    /// About recorded decisions.
    Decisions(decisions::Response),
    /// The peer cannot serve the call; the text says why.
    Refused(String),
}
