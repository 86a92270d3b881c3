//! What happens when an upstream is late with its response.
//!
//! Another attempt is made only if the request may be repeated and there is an upstream for it. Of a request whose
//! response is read as a whole, both attempts go on, and the first usable response wins; a stream, which takes
//! an engine's time and memory, is ended before it is sent again. If no other attempt can be made, the first goes on.

use derive_more::Display;
use futures::{FutureExt, future::BoxFuture};
use platform::configuration::RouteKind;

use crate::{
    coordination::execution::SentAttempt,
    gateway::{
        attempt::{self, AttemptError, UpstreamResponse},
        forward::{Exchange, NextStep},
        metrics,
        shared::SlotGuard,
        target::Target,
    },
};

/// The result of an attempt up to the head of its response.
type Answer = Result<UpstreamResponse, AttemptError>;

/// A request that was sent to an upstream.
struct Sent {
    slot: SlotGuard,
    attempt: SentAttempt,
    answer: BoxFuture<'static, Answer>,
}

/// What came of an attempt that was late.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum HedgeOutcome {
    /// No other attempt was allowed, or there was no upstream for it; the late one went on.
    NotSent,
    /// The late attempt responded before another one was sent.
    Overtaken,
    /// The late attempt was the first with a usable response.
    Lost,
    /// The other attempt was the first with a usable response.
    Won,
    /// Neither had a usable response.
    Failed,
    /// The late attempt was ended, and the request sent to another target.
    Replaced,
}

impl Exchange {
    /// Sends the request to the upstream of a slot and handles its response; if that is late, makes another attempt.
    pub(super) async fn attempt(&mut self, slot: SlotGuard) -> NextStep {
        let late_after = self.late_after(&slot);
        let mut sent = self.send(slot);
        let answer = match late_after {
            Some(limit) => tokio::time::timeout(limit, &mut sent.answer).await.ok(),
            None => Some((&mut sent.answer).await),
        };
        match answer {
            Some(answer) => self.handle_answer(sent.slot, sent.attempt, answer).await,
            None => Box::pin(self.handle_late(sent)).await,
        }
    }

    fn send(&mut self, slot: SlotGuard) -> Sent {
        let request = self.request(&slot, None);
        let remaining = self.call.remaining(self.shared.now());
        let address = slot.assignment.address;
        self.attempts += 1;
        self.spend_retry();
        let attempt = self.evidence.attempt_sent();
        let answer = attempt::send(self.shared.settings.ip, address, request, remaining);
        Sent {
            slot,
            attempt,
            answer: answer.boxed(),
        }
    }

    async fn handle_late(&mut self, mut late: Sent) -> NextStep {
        self.record_tried(&late.slot);
        let mut was_denied = false;
        while !self.may_try_another(&late.slot) {
            if !std::mem::replace(&mut was_denied, true) {
                self.report_late(&late.slot.assignment.upstream, HedgeOutcome::NotSent);
            }
            let Some(limit) = self.late_after(&late.slot) else {
                return self.wait_on(late).await;
            };
            if let Ok(answer) = tokio::time::timeout(limit, &mut late.answer).await {
                return self.handle_answer(late.slot, late.attempt, answer).await;
            }
        }
        let chosen = tokio::select! {
            answer = &mut late.answer => Err(answer),
            target = self.choose_target() => Ok(target),
        };
        let target = match chosen {
            Ok(Ok(target)) => target,
            Ok(Err(_)) => {
                self.report_late(&late.slot.assignment.upstream, HedgeOutcome::NotSent);
                return self.wait_on(late).await;
            }
            Err(answer) => {
                self.retry_permit = None;
                self.report_late(&late.slot.assignment.upstream, HedgeOutcome::Overtaken);
                return self.handle_answer(late.slot, late.attempt, answer).await;
            }
        };
        match target {
            Target::Upstream(slot) if slot.assignment.upstream == late.slot.assignment.upstream => {
                drop(slot);
                self.report_late(&late.slot.assignment.upstream, HedgeOutcome::NotSent);
                self.wait_on(late).await
            }
            Target::Upstream(slot) if self.call.route.kind == RouteKind::Streaming => {
                self.end_late(late);
                self.attempt(slot).await
            }
            Target::Upstream(slot) => {
                let other = self.send(slot);
                self.race(late, other).await
            }
            Target::Peer(delegation) => {
                self.end_late(late);
                self.delegate(delegation).await
            }
        }
    }

    /// Returns whether another attempt may be made beside a late one.
    fn may_try_another(&mut self, late: &SlotGuard) -> bool {
        let now = self.shared.now();
        let helps = self
            .shared
            .dispatcher()
            .may_try_another(&late.assignment, now);
        helps && self.may_retry()
    }

    /// Waits for the response of a late attempt, as no other one can be made.
    async fn wait_on(&mut self, late: Sent) -> NextStep {
        self.retry_permit = None;
        let answer = late.answer.await;
        self.handle_answer(late.slot, late.attempt, answer).await
    }

    /// Ends a late attempt, as the request is sent to another target.
    fn end_late(&mut self, mut late: Sent) {
        self.report_late(&late.slot.assignment.upstream, HedgeOutcome::Replaced);
        self.record_lateness(&mut late.slot);
    }

    /// Waits for the responses of two attempts; the first usable one ends the other attempt.
    async fn race(&mut self, mut late: Sent, mut other: Sent) -> NextStep {
        let (first, answer) = tokio::select! {
            answer = &mut late.answer => (HedgeOutcome::Lost, answer),
            answer = &mut other.answer => (HedgeOutcome::Won, answer),
        };
        let (sent, mut left) = match first {
            HedgeOutcome::Won => (other, late),
            _ => (late, other),
        };
        let late_upstream = match first {
            HedgeOutcome::Won => left.slot.assignment.upstream.clone(),
            _ => sent.slot.assignment.upstream.clone(),
        };
        let step = self.handle_answer(sent.slot, sent.attempt, answer).await;
        if !matches!(step, NextStep::Retry) {
            self.report_late(&late_upstream, first);
            if first == HedgeOutcome::Won {
                self.record_lateness(&mut left.slot);
            }
            return step;
        }
        let answer = left.answer.await;
        let step = self.handle_answer(left.slot, left.attempt, answer).await;
        let outcome = match (&step, first) {
            (NextStep::Retry, _) => HedgeOutcome::Failed,
            (_, HedgeOutcome::Won) => HedgeOutcome::Lost,
            _ => HedgeOutcome::Won,
        };
        self.report_late(&late_upstream, outcome);
        step
    }

    /// Counts a late attempt against its upstream, as another target was faster or is tried.
    fn record_lateness(&mut self, slot: &mut SlotGuard) {
        let waited = slot.age();
        let now = self.shared.now();
        self.shared
            .dispatcher()
            .record_late(&slot.assignment, waited, now);
        self.record_failure(slot, &AttemptError::TimedOut(waited));
    }

    /// Logs and counts what came of a late attempt.
    fn report_late(&self, upstream: &str, outcome: HedgeOutcome) {
        metrics::late_attempt(&outcome.to_string());
        log::info!(
            "event=attempt_late id={} upstream={upstream} outcome={outcome} attempts={} ms={}",
            self.call.id(),
            self.attempts,
            self.call.age(self.shared.now()).as_millis()
        );
    }
}
