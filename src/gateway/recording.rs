//! What is recorded, logged and counted of a request and its attempts.

use std::{fmt, time::Duration};

use platform::headers::{Prompt, ResponseHead};

use crate::{
    coordination::dispatch::{Assignment, Quality, health::AttemptOutcome, reachability::Loss},
    gateway::{
        delegate::Delegation,
        forward::{Exchange, Origin},
        metrics, probe,
        relay::{BreakCause, StreamProgress},
        shared::SlotGuard,
        target::Target,
    },
};

impl Exchange {
    /// Records that an upstream has begun to respond to this request.
    pub fn record_run_start(&self, slot: &mut SlotGuard) {
        slot.record_response_start();
        let now = self.shared.now();
        self.shared
            .dispatcher()
            .run_began(&slot.assignment, &self.call.suspects, now);
    }

    /// Records that the connection to an upstream broke during this request.
    pub fn report_broken_connection(&self, slot: &SlotGuard) {
        let now = self.shared.now();
        log::info!(
            "event=run_interrupted id={} upstream={} {} prompt={}",
            self.call.id(),
            slot.assignment.upstream,
            self.call.suspects[0].suspect,
            self.call
                .head
                .prompt
                .as_ref()
                .map_or("-".into(), Prompt::segment_ids)
        );
        self.shared
            .dispatcher()
            .connection_broken(&slot.assignment, &self.call.suspects, now);
    }

    /// Records that the upstream of a slot has answered.
    pub(super) fn record_reached(&self, slot: &SlotGuard) {
        let now = self.shared.now();
        let sent_at = now.checked_sub(slot.age()).unwrap_or(now);
        self.shared
            .dispatcher()
            .upstream_reached(&slot.assignment.upstream, sent_at, now);
        probe::report_changes(&self.shared);
    }

    /// Records that the connection to the upstream of a slot was lost, which may be due to the links of
    /// this instance.
    pub(super) fn record_lost(&mut self, slot: &SlotGuard) {
        self.broken += 1;
        let now = self.shared.now();
        self.shared
            .dispatcher()
            .connection_lost(&slot.assignment.upstream, Loss::Broken, now);
        self.shared.connection_lost.notify_one();
    }

    /// Records that the source of a stream is silent, which may be due to the links of this instance, and that the
    /// stream waits for it.
    pub(super) fn record_silent(&mut self, source: &Target) {
        log::info!(
            "event=stream_silent id={} {source} attempts={}",
            self.call.id(),
            self.attempts
        );
        if let Target::Upstream(slot) = source {
            self.record_lost(slot);
        }
    }

    /// Records that the response of the slot's upstream is complete. Only a whole one, from its start, shows
    /// that the upstream has survived the request.
    pub(super) fn record_served(&self, slot: &mut SlotGuard, is_whole: bool) {
        slot.set_outcome(AttemptOutcome::Served);
        self.report_quality(slot, Quality::Good);
        if is_whole {
            let now = self.shared.now();
            let mut dispatcher = self.shared.dispatcher();
            dispatcher.poison.run_completed(&self.call.suspects, now);
        }
    }

    /// Records that a stream was completed by its source.
    pub(super) fn record_complete_stream(
        &self,
        source: &mut Target,
        is_whole: bool,
        progress: &StreamProgress,
    ) {
        if let Target::Upstream(slot) = source {
            self.record_served(slot, is_whole);
        }
        self.log_stream_end(source, "served", progress);
    }

    /// Records that a stream was not completed by its source.
    pub(super) fn record_broken_stream(
        &mut self,
        source: &mut Target,
        cause: BreakCause,
        progress: &StreamProgress,
    ) {
        if let Target::Upstream(slot) = source {
            slot.set_outcome(AttemptOutcome::Failed);
            self.report_quality(slot, Quality::Broken);
            self.report_broken_connection(slot);
            if cause.is_lost_connection() {
                self.record_lost(slot);
            }
        }
        self.log_stream_end(source, &cause.to_string(), progress);
    }

    /// Records the quality of a response as evidence for a rollout.
    pub fn report_quality(&self, slot: &SlotGuard, quality: Quality) {
        let now = self.shared.now();
        let mut dispatcher = self.shared.dispatcher();
        dispatcher.record_quality(&slot.assignment, quality, now);
    }

    /// Records the pace of a stream's events as evidence for a rollout.
    pub fn report_pace(&self, slot: &SlotGuard, per_event: Duration) {
        let now = self.shared.now();
        self.shared
            .dispatcher()
            .record_pace(&slot.assignment, per_event, now);
    }

    /// Records what the upstream of a slot announces in the head of its response.
    pub fn record_announcements(&self, slot: &SlotGuard, head: &ResponseHead) {
        let now = self.shared.now();
        let mut dispatcher = self.shared.dispatcher();
        let announcements = dispatcher.record_announcements(&slot.assignment, head, now);
        drop(dispatcher);
        for announcement in &announcements {
            log::info!(
                "event=upstream_announced upstream={} id={} {announcement}",
                slot.assignment.upstream,
                self.call.id()
            );
            metrics::announcement(announcement);
        }
        if !announcements.is_empty() {
            self.shared.urgent_heartbeat.notify_one();
        }
    }

    /// Records the outcome and the duration of the request.
    pub fn count_request(&self, outcome: &str) {
        match self.origin {
            Origin::Caller => metrics::request(outcome, self.call.age(self.shared.now())),
            Origin::Peer => metrics::delegated_request(outcome),
        }
    }

    /// Logs and counts how an attempt ended.
    pub fn log_attempt_end(&self, slot: &SlotGuard, outcome: &str) {
        let upstream = format_args!("upstream={}", slot.assignment.upstream);
        self.log_end(upstream, outcome, slot.age(), format_args!(""));
    }

    /// Logs and counts how a request ended that was delegated to another daemon.
    pub(super) fn log_delegation_end(&self, delegation: &Delegation, outcome: &str) {
        let age = delegation.age(self.shared.now());
        self.log_end(format_args!("{delegation}"), outcome, age, format_args!(""));
    }

    /// Logs and counts how an attempt ended whose response is a stream.
    pub fn log_stream_end(&self, source: &Target, outcome: &str, progress: &StreamProgress) {
        let progress = format_args!(" {progress}");
        match source {
            Target::Upstream(slot) => {
                let upstream = format_args!("upstream={}", slot.assignment.upstream);
                self.log_end(upstream, outcome, slot.age(), progress);
            }
            Target::Peer(delegation) => {
                let age = delegation.age(self.shared.now());
                self.log_end(format_args!("{delegation}"), outcome, age, progress);
            }
        }
    }

    fn log_end(
        &self,
        source: fmt::Arguments<'_>,
        outcome: &str,
        age: Duration,
        details: fmt::Arguments<'_>,
    ) {
        metrics::attempt(outcome);
        log::info!(
            "event=attempt_ended id={} {source} outcome={outcome} ms={}{details}",
            self.call.id(),
            age.as_millis()
        );
    }

    /// Logs on which upstream a request was placed.
    pub(super) fn log_placement(&self, assignment: &Assignment) {
        log::info!(
            "event=chosen id={} session={:016x} route={} upstream={} version={} arm={} model={} attempt={} expected_ms={} generation={}",
            self.call.id(),
            self.call.session,
            self.call.route.name,
            assignment.upstream,
            assignment.version,
            assignment.arm.map_or("none", |arm| arm.name()),
            self.model.as_deref().unwrap_or("-"),
            self.attempts + 1,
            assignment.expected_first_event().as_millis(),
            self.call.generation
        );
    }
}
