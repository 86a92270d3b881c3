//! What the attempts of a request show of whether it has run on an upstream, and what may be said of it.
//!
//! Load pattern: some upstreams run requests and then answer them with 408, 429 or 503. Callers take these
//! statuses as the promise that a request has not run, and send one again that must run once.

use http::StatusCode;

/// Statuses that promise a caller that its request has not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns whether a status promises a caller that its request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Proof that no upstream has run a request and none will.
#[derive(Clone, Copy, Debug)]
pub struct NotRun(());

/// An attempt that was sent and may have run its request. One that is dropped counts as a run for good.
#[derive(Debug)]
#[must_use]
pub struct SentAttempt(());

/// The attempts of one request that may have run it.
///
/// An attempt counts from the moment at which it is sent, so that one which is given up, or whose answer is
/// lost or late, is never taken for one that has not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionEvidence {
    possible_runs: u32,
}

impl ExecutionEvidence {
    /// Records that the request is sent to an upstream or to another daemon.
    pub fn attempt_sent(&mut self) -> SentAttempt {
        self.possible_runs += 1;
        SentAttempt(())
    }

    /// Records that an attempt reached no upstream, or was refused by one that said that it has not run it.
    /// Taking the attempt keeps it from counting twice, which would hide another one that may have run.
    pub fn attempt_not_run(&mut self, _attempt: SentAttempt) {
        self.possible_runs -= 1;
    }

    /// Returns whether an upstream may have run the request.
    pub fn may_have_run(self) -> bool {
        self.possible_runs > 0
    }

    /// Returns the proof that the request has not run, if there is one.
    pub fn not_run(self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }
}
