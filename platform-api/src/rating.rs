//! The service that rates completions.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path that accepts [`RateRequest`] with `POST`.
pub const PATH: &str = "/rate";

/// Request to rate one completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RateRequest {
    /// Id of the request that produced the completion; the service is idempotent per id.
    pub request_id: CompactString,
    /// Version that generated the completion.
    pub version: CompactString,
    /// Prompt of the request.
    pub prompt: String,
    /// Generated text.
    pub answer: String,
}

/// The rating of a completion.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Estimated quality, from 0 (useless) to 1 (perfect).
    pub quality: f64,
}
