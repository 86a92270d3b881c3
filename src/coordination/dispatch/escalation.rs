//! Whether a small model's answer is good enough: the load pattern of requests of mixed difficulty.
//!
//! The smallest model is asked first, and its own opinion of the answer decides whether the largest
//! is asked instead. Where that answer would be late, only a poor one is given up for it.

/// The confidence below which an answer is not kept, from 0 to 100.
const LEAST_CONFIDENCE: u8 = 58;
/// The same where a larger model's answer would be late.
const LEAST_CONFIDENCE_LATE: u8 = 30;

/// What is done with an answer that has just begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is passed on.
    Keep,
    /// A larger model is asked instead.
    Escalate,
}

/// Judges an answer by the model's confidence, and by whether a larger model would be on time.
pub fn judge_confidence(confidence: Option<u8>, on_time: bool) -> Verdict {
    let least = match on_time {
        true => LEAST_CONFIDENCE,
        false => LEAST_CONFIDENCE_LATE,
    };
    match confidence {
        Some(confidence) if confidence < least => Verdict::Escalate,
        _ => Verdict::Keep,
    }
}
