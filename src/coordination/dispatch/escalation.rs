//! Decides whether a small model's response is good enough, as requests differ in difficulty.
//!
//! The smallest model runs first, and its reported confidence decides whether the largest runs
//! instead. If the largest model's response would be late, only a response of very low confidence
//! is discarded for it.

/// Confidence below which a response is discarded, from 0 to 100.
const MIN_CONFIDENCE: u8 = 58;
/// The same if a larger model's response would be late.
const MIN_CONFIDENCE_LATE: u8 = 30;

/// What to do with a response that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscalationDecision {
    /// Forward it to the caller.
    Keep,
    /// Run the request on a larger model instead.
    Escalate,
}

/// Decides by the reported confidence, and by whether a larger model would respond in time.
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
