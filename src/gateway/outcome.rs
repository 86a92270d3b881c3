//! Turns what the attempts of a request have shown into the response for its caller.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    coordination::execution::NotRun,
    gateway::{
        delegate,
        forward::{Exchange, Origin},
        metrics,
        reply::{CallerResponse, RefusalReason, UpstreamAnswer},
    },
};

/// An answer that a caller gets unless a later attempt succeeds, and where it comes from.
#[derive(Debug)]
pub(super) struct AttemptAnswer {
    /// The upstream or the daemon, as in log lines.
    pub(super) source: CompactString,
    /// Whether it counts as served or as failed.
    pub(super) outcome: &'static str,
    /// The answer.
    pub(super) answer: UpstreamAnswer,
}

impl Exchange {
    /// Returns the response once no other attempt may follow.
    pub(super) fn give_up(
        &mut self,
        reason: RefusalReason,
        wait: Option<Duration>,
    ) -> CallerResponse {
        match self.failure.take() {
            Some(failure) => self.respond(failure),
            None => self.refuse_or_pass_refusal(reason, wait),
        }
    }

    /// Passes on the refusal of another daemon if the request has not run, or refuses it.
    pub(super) fn refuse_or_pass_refusal(
        &mut self,
        reason: RefusalReason,
        wait: Option<Duration>,
    ) -> CallerResponse {
        if let Some(not_run) = self.evidence.not_run()
            && let Some(refusal) = self.peer_refusal.take()
        {
            self.count_request("refused_by_peer");
            return CallerResponse::peer_refusal(refusal, not_run);
        }
        self.refuse(reason, wait)
    }

    /// Passes on an answer; one that promises that the request has not run is replaced, as an upstream has run
    /// it.
    pub(super) fn respond(&self, answer: AttemptAnswer) -> CallerResponse {
        let status = answer.answer.status;
        self.count_request(answer.outcome);
        CallerResponse::answer(answer.answer).unwrap_or_else(|| {
            metrics::replaced_answer(status);
            let reason = RefusalReason::UpstreamFailed;
            log::info!(
                "event=answer_replaced id={} {} status={} replaced_by={} reason={reason}",
                self.call.id(),
                answer.source,
                status.as_u16(),
                reason.status().as_u16()
            );
            CallerResponse::refusal(reason, None, None)
        })
    }

    /// Refuses the request. The reason counts only as far as the attempts prove it.
    pub(super) fn refuse(&self, reason: RefusalReason, wait: Option<Duration>) -> CallerResponse {
        let not_run = self.evidence.not_run();
        let reason = reason.proved_by(not_run);
        let wait = wait.filter(|_| self.may_return(not_run));
        let waited = self.call.age(self.shared.now());
        log::info!(
            "event=refused id={} route={} reason={reason} attempts={} generation={} ms={} retry_after_ms={}{}",
            self.call.id(),
            self.call.route.name,
            self.attempts,
            self.call.generation,
            waited.as_millis(),
            wait.unwrap_or_default().as_millis(),
            self.rejection.map_or_else(String::new, |r| format!(" {r}"))
        );
        self.count_request(&reason.to_string());
        let mut response = CallerResponse::refusal(reason, wait, not_run);
        if self.origin == Origin::Peer {
            delegate::mark_refusal(&mut response, self.attempts);
        }
        response
    }

    /// Returns whether the caller may send the request again after it was refused.
    fn may_return(&self, not_run: Option<NotRun>) -> bool {
        not_run.is_some() || self.call.route.is_retryable()
    }
}
