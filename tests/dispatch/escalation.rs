//! Requests of mixed difficulty, judged by the small model's own opinion.

use hibiscusyoke::coordination::dispatch::escalation::{Verdict, judge_confidence};

#[test]
fn doubtful_answer_is_given_up() {
    assert_eq!(judge_confidence(Some(40), true), Verdict::Escalate);
    assert_eq!(judge_confidence(Some(90), true), Verdict::Keep);
}

#[test]
fn late_answer_only_for_a_poor_one() {
    assert_eq!(judge_confidence(Some(40), false), Verdict::Keep);
    assert_eq!(judge_confidence(Some(10), false), Verdict::Escalate);
}

#[test]
fn answer_without_opinion_is_kept() {
    assert_eq!(judge_confidence(None, true), Verdict::Keep);
}
