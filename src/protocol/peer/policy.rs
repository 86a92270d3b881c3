//! Peer messages about learned counts, exposure and suspects.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        poison::SuspectUpdate,
        quality::Delta,
        rollout::{Ratings, Verdict},
        routing::SoloRunId,
    },
    state::objects::UpstreamName,
};

/// Remaining number of times that a notice may be forwarded.
pub type Hops = u8;

/// A request about learned counts, exposure and suspects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Rating counts since the last message, sent to a few peers and not forwarded.
    RatingCounts(Vec<Delta>),
    /// Recent ratings, sent to the daemons that evaluate the rated versions.
    Ratings(Vec<Ratings>),
    /// Verdict on a version; forwarded.
    Verdict {
        /// The verdict.
        verdict: Verdict,
        /// Remaining number of forwards.
        hops: Hops,
    },
    /// Updates about suspects; forwarded.
    Suspects {
        /// The updates.
        updates: Vec<SuspectUpdate>,
        /// Remaining number of forwards.
        hops: Hops,
    },
    /// Asks the peer to send no requests to an upstream while a suspect runs alone there.
    Reserve {
        /// The upstream.
        upstream: UpstreamName,
        /// The solo run.
        holder: SoloRunId,
        /// Duration of the reservation in milliseconds.
        duration_ms: u32,
    },
    /// Ends a reservation.
    Release {
        /// The upstream.
        upstream: UpstreamName,
        /// The solo run.
        holder: SoloRunId,
    },
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The message was accepted.
    Accepted,
    /// The upstream is reserved; some of the peer's requests may still be running there.
    Reserved {
        /// Number of the peer's requests still running on the upstream.
        running: u32,
    },
    /// Another solo run has precedence.
    Contended,
}
