//! What becomes of an upstream's answer, or of its failure.

use compact_str::{CompactString, format_compact};
use platform::{configuration::RouteKind, headers::ResponseHead};

use crate::{
    coordination::{
        dispatch::{
            Quality,
            escalation::{EscalationDecision, StartedResponse, decide_escalation},
            health::AttemptOutcome,
        },
        execution::{SentAttempt, promises_not_run},
    },
    gateway::{
        attempt::{AttemptError, UpstreamResponse},
        delegate,
        forward::{Exchange, NextStep},
        metrics,
        outcome::AttemptAnswer,
        probe, relay,
        reply::{CallerResponse, RefusalReason, UpstreamAnswer},
        shared::SlotGuard,
        target::Target,
    },
};

impl Exchange {
    /// Handles the response to an attempt, or its failure.
    pub(super) async fn handle_answer(
        &mut self,
        mut slot: SlotGuard,
        attempt: SentAttempt,
        answer: Result<UpstreamResponse, AttemptError>,
    ) -> NextStep {
        let upstream_response = match answer {
            Ok(upstream_response) => upstream_response,
            Err(e) => return self.handle_failure(&mut slot, attempt, &e),
        };
        self.record_reached(&slot);
        let head = self.response_head(&upstream_response);
        self.record_announcements(&slot, &head);
        self.record_tried(&slot);
        if head.not_run {
            self.evidence.attempt_not_run(attempt);
            slot.set_outcome(AttemptOutcome::Refused);
            self.log_attempt_end(&slot, "refused_by_upstream");
            return NextStep::Retry;
        }
        self.record_run_start(&mut slot);
        if !head.matches_request || (!head.signed && head.status.is_success()) {
            slot.set_outcome(AttemptOutcome::Failed);
            self.report_quality(&slot, Quality::Failed);
            self.log_attempt_end(&slot, "not_an_answer");
            return NextStep::Retry;
        }
        match self.call.route.kind {
            RouteKind::Streaming if head.status.is_success() => {
                self.stream(slot, upstream_response, &head)
            }
            _ => self.buffered(slot, upstream_response, &head).await,
        }
    }

    fn stream(
        &mut self,
        mut slot: SlotGuard,
        upstream_response: UpstreamResponse,
        head: &ResponseHead,
    ) -> NextStep {
        if let Some(larger) = self.escalation_model(head)
            && self.may_retry()
        {
            slot.set_outcome(AttemptOutcome::Served);
            self.report_quality(&slot, Quality::Good);
            self.log_attempt_end(&slot, "escalated");
            self.model = Some(larger);
            // An upstream that was already tried may also run the larger model.
            self.tried.clear();
            return NextStep::Escalated;
        }
        self.relay(Target::Upstream(slot), upstream_response)
    }

    /// Relays a stream from an upstream or from another daemon to the caller.
    pub(super) fn relay(&mut self, source: Target, response: UpstreamResponse) -> NextStep {
        let headers = delegate::headers_for_caller(response.response.headers());
        let status = response.response.status();
        let exchange = Self {
            shared: self.shared.clone(),
            call: self.call.clone(),
            model: self.model.clone(),
            origin: self.origin,
            tried: std::mem::take(&mut self.tried),
            delegates: std::mem::take(&mut self.delegates),
            is_counted: self.is_counted,
            counted_at: self.counted_at,
            attempts: self.attempts,
            retry_permit: None,
            unreachable: self.unreachable,
            broken: self.broken,
            evidence: self.evidence,
            failure: None,
            peer_refusal: None,
            rejection: None,
            work: self.work.clone(),
        };
        let body = relay::spawn(exchange, source, response);
        NextStep::Done(CallerResponse::stream(status, headers, body))
    }

    async fn buffered(
        &mut self,
        mut slot: SlotGuard,
        upstream_response: UpstreamResponse,
        head: &ResponseHead,
    ) -> NextStep {
        let remaining = self.call.remaining(self.shared.now());
        let headers = delegate::headers_for_caller(upstream_response.response.headers());
        // Dropping `upstream_response` closes the connection, so it is kept until the body is read.
        let body = upstream_response.response.into_body();
        let body = self.shared.read_response(body);
        let body = match tokio::time::timeout(remaining, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                slot.set_outcome(AttemptOutcome::Failed);
                self.report_quality(&slot, Quality::Broken);
                log::info!("event=answer_broken id={} error=\"{e}\"", self.call.id());
                self.log_attempt_end(&slot, "broken");
                return NextStep::Retry;
            }
            Err(_) => return NextStep::GiveUp(RefusalReason::Timeout),
        };
        // A 408 or 429 that does not say that the request has not run is no answer to it.
        let failed = head.status.is_server_error() || promises_not_run(head.status);
        let outcome = if failed { "failed" } else { "served" };
        if failed {
            slot.set_outcome(AttemptOutcome::Failed);
            self.report_quality(&slot, Quality::Failed);
        } else {
            self.record_served(&mut slot, true);
        }
        self.log_attempt_end(&slot, outcome);
        let answer = AttemptAnswer {
            source: format_compact!("upstream={}", slot.assignment.upstream),
            outcome,
            answer: UpstreamAnswer {
                status: head.status,
                headers,
                body,
            },
        };
        if !failed || !self.call.route.is_retryable() {
            return NextStep::Done(self.respond(answer));
        }
        self.failure = Some(answer);
        NextStep::Retry
    }

    fn handle_failure(
        &mut self,
        slot: &mut SlotGuard,
        attempt: SentAttempt,
        e: &AttemptError,
    ) -> NextStep {
        if matches!(e, AttemptError::Unreachable(_)) {
            self.evidence.attempt_not_run(attempt);
        }
        self.record_failure(slot, e);
        if self.call.remaining(self.shared.now()).is_zero() {
            return NextStep::GiveUp(RefusalReason::Timeout);
        }
        NextStep::Retry
    }

    /// Records an attempt that got no response.
    pub(super) fn record_failure(&mut self, slot: &mut SlotGuard, e: &AttemptError) {
        self.record_tried(slot);
        match e {
            AttemptError::Unreachable(e) => {
                self.attempts -= 1;
                self.unreachable += 1;
                slot.set_outcome(AttemptOutcome::not_connected(probe::loss(e)));
                self.shared.urgent_heartbeat.notify_one();
            }
            AttemptError::Broken(_) => {
                slot.set_outcome(AttemptOutcome::Failed);
                self.report_quality(slot, Quality::Broken);
                self.report_broken_connection(slot);
                self.record_lost(slot);
            }
            AttemptError::TimedOut(_) => {
                slot.set_outcome(AttemptOutcome::Failed);
                self.report_quality(slot, Quality::Failed);
            }
        }
        log::info!(
            "event=attempt_failed id={} upstream={} {e}",
            self.call.id(),
            slot.assignment.upstream
        );
        metrics::attempt(match e {
            AttemptError::Unreachable(_) => "unreachable",
            AttemptError::Broken(_) => "broken",
            AttemptError::TimedOut(_) => "silent",
        });
    }

    /// Returns the larger model to use if the response of the current one is not trusted.
    fn escalation_model(&self, head: &ResponseHead) -> Option<CompactString> {
        let largest = self.call.models().last()?;
        if self.model.as_ref() == Some(largest) || self.attempts >= self.call.route.max_attempts {
            return None;
        }
        let now = self.shared.now();
        let objective = self.call.route.latency_objective;
        let routes = self.shared.dispatcher().routes();
        let urgency = routes.and_then(|routes| routes.urgency(&self.call.service));
        let highest_priority = urgency.map_or(self.call.priority, |u| u.highest_priority);
        let response = StartedResponse {
            confidence: head.confidence,
            waited: self.call.age(now),
            objective,
            shortest_objective: urgency.map_or(objective, |u| u.shortest_objective),
            priority_rank: self.call.priority.saturating_sub(highest_priority),
        };
        let larger = self.shared.dispatcher().expected_start(
            &self.placement_request(Some(largest)),
            response.waited,
            now,
        );
        match decide_escalation(&response, larger) {
            EscalationDecision::Keep => None,
            EscalationDecision::Escalate => Some(largest.clone()),
        }
    }
}
