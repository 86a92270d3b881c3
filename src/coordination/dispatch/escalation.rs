//! Decides whether a small model's response is good enough, as requests differ in difficulty.
//!
//! The smallest model runs first, and its reported confidence decides whether the largest runs
//! instead.
//!
//! Load pattern: more prompts than the engines can process in time, such as after the loss of a
//! failure domain. The largest model takes several times as long per prompt, so each escalation
//! delays all requests behind it, whatever their routes. The more of the service's shortest latency
//! objective the backlog uses up, the less confident a response must be to be discarded, and the
//! sooner the less urgent the request is. So the backlog settles well below that objective, and only
//! the responses that are least likely to be good are escalated.

use std::time::Duration;

/// Confidence below which a response is discarded on idle engines, from 0 to 100.
const MIN_CONFIDENCE: f64 = 58.0;
/// The same if a larger model's response would be late.
const MIN_CONFIDENCE_LATE: f64 = 30.0;
/// Backlog at which nothing of the highest priority is escalated, as a fraction of the latency
/// objective.
const MAX_BACKLOG_FRACTION: f64 = 0.5;
/// Added to the divisor of that fraction for each priority below the highest of the service.
const PRIORITY_DIVISOR: f64 = 0.5;
/// Number of lower priorities that are told apart.
const MAX_PRIORITY_RANK: u8 = 4;

/// What to do with a response that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscalationDecision {
    /// Forward it to the caller.
    Keep,
    /// Run the request on a larger model instead.
    Escalate,
}

/// The expected start of a response on the upstream that would be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedStart {
    /// Time until the upstream has processed the prompts before it.
    pub backlog: Duration,
    /// Time to process the prompt.
    pub prefill_time: Duration,
}

/// A response of a smaller model that has just started.
#[derive(Clone, Copy, Debug)]
pub struct StartedResponse {
    /// The model's confidence from 0 to 100, if it reported one.
    pub confidence: Option<u8>,
    /// Time since the request arrived.
    pub waited: Duration,
    /// The route's latency objective.
    pub objective: Duration,
    /// The shortest latency objective of all routes of the service.
    pub shortest_objective: Duration,
    /// By how many priorities the request is less urgent than the most urgent route of the service.
    pub priority_rank: u8,
}

/// Decides by the reported confidence and by when a larger model's response would start; `larger` is
/// absent if no upstream can run it.
pub fn decide_escalation(
    response: &StartedResponse,
    larger: Option<ExpectedStart>,
) -> EscalationDecision {
    let (Some(confidence), Some(larger)) = (response.confidence, larger) else {
        return EscalationDecision::Keep;
    };
    let starts_at = response.waited + larger.backlog + larger.prefill_time;
    let min_confidence = match starts_at <= response.objective {
        true => MIN_CONFIDENCE,
        false => MIN_CONFIDENCE_LATE,
    };
    let max_backlog = max_backlog(response);
    let used = larger.backlog.as_secs_f64() / max_backlog.as_secs_f64().max(f64::EPSILON);
    match f64::from(confidence) < min_confidence * (1.0 - used) {
        true => EscalationDecision::Escalate,
        false => EscalationDecision::Keep,
    }
}

/// Returns the backlog at which nothing is escalated.
fn max_backlog(response: &StartedResponse) -> Duration {
    let rank = f64::from(response.priority_rank.min(MAX_PRIORITY_RANK));
    let fraction = MAX_BACKLOG_FRACTION / (1.0 + PRIORITY_DIVISOR * rank);
    response
        .objective
        .min(response.shortest_objective)
        .mul_f64(fraction)
}
