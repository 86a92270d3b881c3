//! Whether a small model's answer is good enough: the load pattern of requests of mixed difficulty.
//!
//! The smallest model is asked first, and its own opinion of the answer decides whether the largest
//! is asked instead. Where that answer would be late, only a poor one is given up for it.

/// The confidence below which an answer is not kept, from 0 to 100.
const MIN_CONFIDENCE: u8 = 58;
/// The same where a larger model's answer would be late.
const MIN_CONFIDENCE_LATE: u8 = 30;

/// What is done with an answer that has just begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscalationDecision {
    /// It is passed on.
    Keep,
    /// A larger model is asked instead.
    Escalate,
}

/// Judges an answer by the model's confidence, and by whether a larger model would be on time.
pub fn decide_escalation(confidence: Option<u8>, on_time: bool) -> EscalationDecision {
    let min_confidence = match on_time {
        true => MIN_CONFIDENCE,
        false => MIN_CONFIDENCE_LATE,
    };
    match confidence {
        Some(confidence) if confidence < min_confidence => EscalationDecision::Escalate,
        _ => EscalationDecision::Keep,
    }
}
