//! Requests and responses between daemons, with one nested message type per topic.

use serde::{Deserialize, Serialize};

pub mod bills;
pub mod claims;
pub mod configuration;
pub mod decisions;
pub mod permits;
pub mod policy;

/// A request to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Checks whether the peer is reachable.
    Ping,
    /// Concerns the published configuration.
    Configuration(configuration::Request),
    /// Concerns claims on idempotency keys.
    Claims(claims::Request),
    /// Concerns bills replicated between daemons.
    Bills(bills::Request),
    /// Concerns the concurrency of upstreams.
    Permits(permits::Request),
    /// Concerns learned counts, exposure and suspects.
    Policy(policy::Request),
    /// Concerns recorded decisions.
    Decisions(decisions::Request),
}

/// The response to a [`PeerRequest`], with the same topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The peer is reachable.
    Pong,
    /// Concerns the published configuration.
    Configuration(configuration::Response),
    /// Concerns claims on idempotency keys.
    Claims(claims::Response),
    /// Concerns bills replicated between daemons.
    Bills(bills::Response),
    /// Concerns the concurrency of upstreams.
    Permits(permits::Response),
    /// Concerns learned counts, exposure and suspects.
    Policy(policy::Response),
    /// Concerns recorded decisions.
    Decisions(decisions::Response),
    /// The peer cannot serve the request, for the given reason.
    Refused(String),
}
