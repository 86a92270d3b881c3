//! Attempts to resume a stream that its source did not complete.

use std::time::Duration;

use crate::{
    coordination::dispatch::health::AttemptOutcome,
    gateway::{
        attempt::{self, AttemptError, UpstreamResponse},
        delegate::CountedBy,
        forward::Exchange,
        probe,
        target::Target,
    },
};

/// Timeout for another upstream to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

impl Exchange {
    /// Asks a target for the events of the stream after `last_event`.
    pub(super) async fn send_resumption(
        &mut self,
        target: &Target,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, AttemptError> {
        self.spend_retry();
        let slot = match target {
            Target::Upstream(slot) => slot,
            Target::Peer(delegation) => {
                let sent = self
                    .send_to_peer(delegation, last_event, CountedBy::Sender)
                    .await;
                self.attempts += 1;
                return sent;
            }
        };
        let request = self.request(slot, last_event);
        self.attempts += 1;
        self.record_tried(slot);
        let remaining = self.call.remaining(self.shared.now());
        let local = self.shared.settings.ip;
        let response_timeout = RESUME_TIMEOUT.min(remaining);
        attempt::send(local, slot.assignment.address, request, response_timeout).await
    }

    /// Records the response of a target; returns whether it goes on with the stream.
    pub(super) fn accept_resumption(
        &self,
        target: &mut Target,
        response: &UpstreamResponse,
    ) -> bool {
        let head = self.response_head(response);
        let goes_on = head.matches_request && head.signed && head.status.is_success();
        if let Target::Upstream(slot) = target {
            self.record_reached(slot);
            self.record_announcements(slot, &head);
            if !head.not_run {
                self.record_run_start(slot);
            }
            if !goes_on {
                slot.set_outcome(match head.not_run {
                    true => AttemptOutcome::Refused,
                    false => AttemptOutcome::Failed,
                });
            }
        }
        goes_on
    }

    /// Records that a target did not answer.
    pub(super) fn record_failed_resumption(&mut self, target: &mut Target, e: &AttemptError) {
        log::info!("event=resume_failed id={} {target} {e}", self.call.id());
        let Target::Upstream(slot) = target else {
            return;
        };
        match e {
            AttemptError::Unreachable(e) => {
                self.unreachable += 1;
                slot.set_outcome(AttemptOutcome::not_connected(probe::loss(e)));
            }
            AttemptError::Broken(_) => {
                slot.set_outcome(AttemptOutcome::Failed);
                self.record_lost(slot);
            }
            AttemptError::TimedOut(_) => slot.set_outcome(AttemptOutcome::Failed),
        }
    }
}
