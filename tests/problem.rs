//! Statuses of refusals of the product's own interface.

use hibiscusyoke::{
    coordination::execution::promises_not_run,
    protocol::problem::{Problem, Refusal, RefusalKind},
};

const KINDS: [RefusalKind; 16] = [
    RefusalKind::Malformed,
    RefusalKind::TooLarge,
    RefusalKind::Unauthenticated,
    RefusalKind::NotAllowed,
    RefusalKind::NotFound,
    RefusalKind::KeyReused,
    RefusalKind::InProgress,
    RefusalKind::SessionInvalid,
    RefusalKind::SessionEnded,
    RefusalKind::Quarantined,
    RefusalKind::Overloaded,
    RefusalKind::NotReady,
    RefusalKind::NoUpstream,
    RefusalKind::UpstreamFailed,
    RefusalKind::DeadlineExceeded,
    RefusalKind::Internal,
];

/// Requests that may have run were refused with 429 or 503, by which callers send them again.
#[test]
fn refusal_of_a_request_that_may_have_run_promises_nothing() {
    for kind in KINDS {
        let unknown = Refusal::unknown(kind, "dispatch", "detail");
        assert!(!promises_not_run(unknown.status()), "{kind}");
        let problem = Problem::new("id", &unknown);
        assert_eq!(problem.status, unknown.status().as_u16(), "{kind}");
        let not_run = Refusal::not_run(kind, "admit", "detail");
        let later = not_run.clone().with_may_have_run(true);
        assert!(!promises_not_run(later.status()), "{kind}");
    }
    let overloaded = Refusal::not_run(RefusalKind::Overloaded, "admit", "detail");
    assert_eq!(overloaded.status(), 429);
    let not_ready = Refusal::not_run(RefusalKind::NotReady, "admit", "detail");
    assert_eq!(not_ready.status(), 503);
}
