//! Whether a small model's answer is good enough: the load pattern of requests of mixed difficulty.
//!
//! The smallest model is asked first, and its own opinion of the answer decides whether the largest
//! is asked instead. Near the end of the latency objective an answer at hand is kept.

use std::time::Duration;

/// The confidence below which an answer is not kept, from 0 to 100.
const LEAST_CONFIDENCE: u8 = 58;
/// The part of the latency objective after which no larger model is asked.
const LATEST_PART: f64 = 0.6;

/// What is done with an answer that has just begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is passed on.
    Keep,
    /// A larger model is asked instead.
    Escalate,
}

/// Judges an answer by the model's confidence and the time that has passed.
pub fn judge_confidence(confidence: Option<u8>, waited: Duration, objective: Duration) -> Verdict {
    match confidence {
        Some(confidence)
            if confidence < LEAST_CONFIDENCE && waited < objective.mul_f64(LATEST_PART) =>
        {
            Verdict::Escalate
        }
        _ => Verdict::Keep,
    }
}
