//! Tests of escalation by the small model's reported confidence.

use hibiscusyoke::coordination::dispatch::escalation::{EscalationDecision, decide_escalation};

#[test]
fn low_confidence_answer_is_escalated() {
    assert_eq!(
        decide_escalation(Some(40), true),
        EscalationDecision::Escalate
    );
    assert_eq!(decide_escalation(Some(90), true), EscalationDecision::Keep);
}

#[test]
fn late_escalation_requires_very_low_confidence() {
    assert_eq!(decide_escalation(Some(40), false), EscalationDecision::Keep);
    assert_eq!(
        decide_escalation(Some(10), false),
        EscalationDecision::Escalate
    );
}

#[test]
fn answer_without_confidence_is_kept() {
    assert_eq!(decide_escalation(None, true), EscalationDecision::Keep);
}
