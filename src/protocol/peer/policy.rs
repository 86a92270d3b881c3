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

/// The number of daemons through which a notice may still be passed on.
pub type Hops = u8;

/// A question about learned counts, exposure and suspects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Ratings counted since the last message, told to a few peers and not passed on.
    RatingCounts(Vec<Delta>),
    /// The latest ratings, told to the daemons that judge their versions.
    Ratings(Vec<Ratings>),
    /// A version was judged; passed on.
    Verdict {
        /// The judgement.
        verdict: Verdict,
        /// How often it may be passed on.
        hops: Hops,
    },
    /// What happened to suspects; passed on.
    Suspects {
        /// The events.
        updates: Vec<SuspectUpdate>,
        /// How often they may be passed on.
        hops: Hops,
    },
    /// Asks that no request be sent to an upstream while a suspect runs alone there.
    Reserve {
        /// The upstream.
        upstream: UpstreamName,
        /// The solo run.
        holder: SoloRunId,
        /// For how long, in milliseconds.
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

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Taken in.
    Accepted,
    /// The upstream is reserved, and this many of the peer's requests still run there.
    Reserved {
        /// Requests that still run there.
        running: u32,
    },
    /// Another solo run goes first.
    Contended,
}
