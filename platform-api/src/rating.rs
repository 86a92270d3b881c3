//! The service that rates answers.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of [`RateRequest`], sent with `POST`.
pub const PATH: &str = "/rate";

/// Asks for a rating of one answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RateRequest {
    /// The request whose answer is rated; the service is idempotent in it.
    pub request_id: CompactString,
    /// The version that answered.
    pub version: CompactString,
    /// What was asked.
    pub prompt: String,
    /// What was answered.
    pub answer: String,
}

/// The rating.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// From 0 (useless) to 1 (perfect); an estimate of the answer's true quality.
    pub quality: f64,
}
