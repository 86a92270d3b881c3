//! What the attempts of a request prove of whether it has run, and the refusals that follow from it.

use std::time::Duration;

use bytes::Bytes;
use hibiscusyoke::{
    coordination::execution::{ExecutionEvidence, promises_not_run},
    gateway::reply::{CallerResponse, RefusalReason, UpstreamAnswer},
};
use http::{HeaderMap, StatusCode, header};

/// Reasons for which a daemon refuses a request.
const REASONS: [RefusalReason; 9] = [
    RefusalReason::NoConfiguration,
    RefusalReason::Leaving,
    RefusalReason::NoSlot,
    RefusalReason::Poison,
    RefusalReason::RefusedByUpstreams,
    RefusalReason::NoAnswer,
    RefusalReason::UpstreamFailed,
    RefusalReason::Timeout,
    RefusalReason::NoRoute,
];

fn answer(status: StatusCode) -> UpstreamAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(header::RETRY_AFTER, 1.into());
    UpstreamAnswer {
        status,
        headers,
        body: Bytes::from_static(b"answer").into(),
    }
}

/// A refusal of an earlier attempt was passed on although the answer of a later one was late or lost.
#[test]
fn attempt_without_an_answer_may_have_run() {
    let mut evidence = ExecutionEvidence::default();
    assert!(evidence.not_run().is_some());
    let refused = evidence.attempt_sent();
    evidence.attempt_not_run(refused);
    assert!(evidence.not_run().is_some());
    drop(evidence.attempt_sent());
    assert!(evidence.not_run().is_none());
}

/// The refusal of one of two attempts at a time counted for both.
#[test]
fn refusal_of_one_attempt_proves_nothing_of_another() {
    let mut evidence = ExecutionEvidence::default();
    let first = evidence.attempt_sent();
    let second = evidence.attempt_sent();
    evidence.attempt_not_run(first);
    assert!(evidence.may_have_run());
    evidence.attempt_not_run(second);
    assert!(!evidence.may_have_run());
}

/// Requests that waited for a second attempt were refused with 503 although the first one may have run.
#[test]
fn refusal_without_proof_promises_nothing() {
    let wait = Some(Duration::from_secs(1));
    for reason in REASONS {
        let response = CallerResponse::refusal(reason, wait, None);
        assert!(!promises_not_run(response.status()), "{reason}");
        let not_run = ExecutionEvidence::default().not_run();
        let response = CallerResponse::refusal(reason, wait, not_run);
        assert_eq!(response.status(), reason.status(), "{reason}");
    }
}

/// The 408, 421, 429 or 503 of an upstream that had run a request was passed on.
#[test]
fn answer_of_an_upstream_is_passed_on_unless_it_promises_that_nothing_has_run() {
    for code in 100..600 {
        let status = StatusCode::from_u16(code).expect("a status");
        let is_passed_on = CallerResponse::answer(answer(status)).is_some();
        assert_eq!(
            is_passed_on,
            ![408, 421, 429, 503].contains(&code),
            "{code}"
        );
    }
}
