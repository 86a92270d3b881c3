//! Relays the events of a stream to the caller and resumes the stream on another upstream after a
//! failure.

use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use crate::{
    coordination::dispatch::PaceSampler,
    gateway::{
        attempt::{BodyFraming, UpstreamResponse},
        events::{EventBuffer, MAX_EVENT_BYTES},
        forward::Exchange,
        send_buffer::{PushError, ResponseEnd, SendBody, SendWriter},
        target::Target,
    },
};

/// Pause between events after which a stream is resumed on another upstream, if there is one.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a stream from another daemon, which may be resuming it itself.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Time after the deadline, or after a pause of the caller beyond it, in which events that are ready are
/// still forwarded.
const LATE_EVENTS_TIME: Duration = Duration::from_millis(250);
/// Pause in reading after which the end of a stream is not held against its upstream, which may cut off
/// a response that it cannot deliver.
const LONG_PAUSE: Duration = Duration::from_secs(1);

/// Time between two reports of arrived bytes, as each locks the dispatcher.
const BYTES_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How the stream from one upstream ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected, or reads too slowly.
    Caller(PushError),
    /// The stream is not complete.
    Broken(BreakCause),
    /// Its source is silent, and another target can go on with it.
    Replaced(Target),
    /// The request's deadline passed.
    Timeout,
}

/// What came of waiting for the next part of a stream.
enum Received {
    /// A part of the body, or its end.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Nothing; the source may go on.
    Nothing,
    /// Nothing, and the source is known to be gone.
    Gone,
    /// Nothing, and there is another target.
    Replacement(Target),
}

/// Why a stream is not complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum BreakCause {
    /// The connection broke.
    Broken,
    /// Nothing was received for too long.
    Silent,
    /// Much was received without a new event.
    NoNewEvent,
    /// Bytes that are no event were received, such as the text of an error.
    NotAnEvent,
    /// The body ended inside an event.
    EndedInsideEvent,
    /// The body ended without an event that must follow.
    EndedWithoutEvent,
}

impl BreakCause {
    /// Returns whether the connection itself failed.
    pub(super) fn is_lost_connection(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }
}

/// What has been received of a stream from one upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("framing={framing} events={events} partial_bytes={partial_bytes}")]
pub struct StreamProgress {
    /// How the end of the stream is marked.
    pub framing: BodyFraming,
    /// Number of complete events.
    pub events: u32,
    /// Number of bytes after the last complete event.
    pub partial_bytes: usize,
}

impl StreamProgress {
    fn new(framing: BodyFraming) -> Self {
        Self {
            framing,
            events: 0,
            partial_bytes: 0,
        }
    }
}

/// Relays events to the caller as they arrive, in a separate task.
pub fn spawn(exchange: Exchange, source: Target, response: UpstreamResponse) -> SendBody {
    let (tx, body) = exchange.shared.send_buffers.open();
    tokio::spawn(async move {
        let last_event = exchange.call.head.last_event_id;
        let relay = Relay {
            last_event,
            expects_event: last_event.is_none(),
            is_from_start: last_event.is_none(),
            bytes_reported_at: None,
            exchange,
            tx,
            has_paused: false,
            paused: Duration::ZERO,
            ready_until: None,
        };
        relay.run(source, response).await;
    });
    body
}

struct Relay {
    exchange: Exchange,
    tx: SendWriter,
    /// Number of the last event that was forwarded.
    last_event: Option<u64>,
    /// Whether at least one more event must follow: the first one, or one in which an upstream stopped.
    expects_event: bool,
    /// Whether the current source sends the stream from its start.
    is_from_start: bool,
    /// Whether reading from the current source has paused for long, as the caller did not read.
    has_paused: bool,
    /// How long reading from upstreams has paused, as the caller did not read.
    paused: Duration,
    /// Until when events count as ready after the last pause.
    ready_until: Option<Instant>,
    /// When arrived bytes were last reported to the dispatcher.
    bytes_reported_at: Option<Instant>,
}

impl Relay {
    async fn run(mut self, mut source: Target, mut response: UpstreamResponse) {
        loop {
            let mut progress = StreamProgress::new(response.framing());
            let end = self.relay_events(&source, response, &mut progress).await;
            let (cause, next) = match end {
                StreamEnd::Complete => {
                    self.exchange.record_complete_stream(
                        &mut source,
                        self.is_from_start,
                        &progress,
                    );
                    drop(source);
                    return self.deliver().await;
                }
                StreamEnd::Caller(error) => {
                    return self.give_up_caller(error, &source, &progress);
                }
                StreamEnd::Timeout => {
                    self.exchange.log_stream_end(&source, "timeout", &progress);
                    return self.abort("timeout");
                }
                StreamEnd::Broken(cause) => (cause, None),
                StreamEnd::Replaced(target) => (BreakCause::Silent, Some(target)),
            };
            match std::mem::take(&mut self.has_paused) {
                true => self
                    .exchange
                    .log_stream_end(&source, "broken_after_pause", &progress),
                false => self
                    .exchange
                    .record_broken_stream(&mut source, cause, &progress),
            }
            drop(source);
            self.expects_event |= progress.partial_bytes > 0;
            match self.resume(next).await {
                Some((next_source, next_response)) => {
                    self.is_from_start = false;
                    (source, response) = (next_source, next_response);
                }
                None => return self.abort("broken_off"),
            }
        }
    }

    async fn relay_events(
        &mut self,
        source: &Target,
        response: UpstreamResponse,
        progress: &mut StreamProgress,
    ) -> StreamEnd {
        // Dropping `response` closes the connection, so it is kept until the stream ends.
        let mut body = response.response.into_body();
        let mut events = EventBuffer::default();
        let mut pace = Some(PaceSampler::default());
        let mut repeated_bytes = 0;
        let mut was_silent = false;
        let max_silence = match source {
            Target::Upstream(_) => SILENCE_TIMEOUT,
            Target::Peer(_) => PEER_SILENCE_TIMEOUT,
        };
        loop {
            if self.is_overdue() {
                return StreamEnd::Timeout;
            }
            let wait = max_silence.min(self.remaining());
            let received = tokio::select! {
                received = receive(&mut body, &mut self.exchange, source, wait) => received,
                () = self.tx.closed() => return StreamEnd::Caller(PushError::CallerLeft),
            };
            let data = match received {
                Received::Frame(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Received::Frame(Some(Err(_))) => return StreamEnd::Broken(BreakCause::Broken),
                Received::Frame(None) => break,
                Received::Nothing if self.remaining().is_zero() => return StreamEnd::Timeout,
                Received::Nothing => {
                    let is_first = !std::mem::replace(&mut was_silent, true);
                    if is_first && self.exchange.call.route.is_retryable() {
                        self.exchange.record_silent(source);
                    }
                    continue;
                }
                Received::Gone => return StreamEnd::Broken(BreakCause::Silent),
                Received::Replacement(target) => return StreamEnd::Replaced(target),
            };
            if let Target::Upstream(_) = source {
                self.record_bytes();
            }
            events.push(&data);
            while let Some(event) = events.next_event() {
                progress.events += 1;
                if let Target::Upstream(slot) = source
                    && let Some(pace) = &mut pace
                    && let Some(per_event) = pace.record(self.exchange.shared.now())
                {
                    self.exchange.report_pace(slot, per_event);
                }
                if Some(event.id) <= self.last_event {
                    repeated_bytes += event.bytes.len();
                    continue;
                }
                self.last_event = Some(event.id);
                self.expects_event = false;
                match self.send(event.bytes).await {
                    Ok(waited) if waited.is_zero() => {}
                    // A pause of the caller says nothing about the upstream's pace.
                    Ok(_) => pace = None,
                    Err(error) => return StreamEnd::Caller(error),
                }
            }
            progress.partial_bytes = events.partial_bytes();
            if events.is_malformed() {
                return StreamEnd::Broken(BreakCause::NotAnEvent);
            }
            if events.is_overlong() || repeated_bytes > MAX_EVENT_BYTES {
                return StreamEnd::Broken(BreakCause::NoNewEvent);
            }
        }
        // The upstream may mark the end of the body only by closing the connection, as it does when
        // it stops midway.
        if events.is_inside_event() {
            return StreamEnd::Broken(BreakCause::EndedInsideEvent);
        }
        if self.expects_event {
            return StreamEnd::Broken(BreakCause::EndedWithoutEvent);
        }
        if progress.partial_bytes > 0
            && let Err(error) = self.send(events.take_remaining()).await
        {
            return StreamEnd::Caller(error);
        }
        StreamEnd::Complete
    }

    /// Waits until the caller has taken the response, which the upstream has completed.
    async fn deliver(self) {
        self.tx.end(ResponseEnd::Complete);
        let outcome = match self.tx.delivered().await {
            true => "served",
            false => "caller_left",
        };
        self.exchange.count_request(outcome);
    }

    /// Ends the stream for a caller that has disconnected or accepts no bytes.
    fn give_up_caller(&self, error: PushError, source: &Target, progress: &StreamProgress) {
        let outcome = match error {
            PushError::CallerLeft => "caller_left",
            PushError::CallerTooSlow => {
                log::info!(
                    "event=caller_too_slow id={} {source} held_bytes={} held_for_all_bytes={}",
                    self.exchange.call.id(),
                    self.tx.held(),
                    self.exchange.shared.send_buffers.held()
                );
                self.tx.abort();
                "caller_too_slow"
            }
        };
        self.exchange.log_stream_end(source, outcome, progress);
        self.exchange.count_request(outcome);
    }

    /// Records now and then that bytes of an upstream arrive, which shows that its link works.
    fn record_bytes(&mut self) {
        let now = self.exchange.shared.now();
        let is_due = |at| now.saturating_duration_since(at) >= BYTES_REPORT_INTERVAL;
        if self.bytes_reported_at.is_none_or(is_due) {
            self.bytes_reported_at = Some(now);
            self.exchange.shared.dispatcher().bytes_received(now);
        }
    }

    /// Whether even events that are ready come too late.
    fn is_overdue(&self) -> bool {
        let now = self.exchange.shared.now();
        now.saturating_duration_since(self.deadline()) >= LATE_EVENTS_TIME
    }

    /// Resumes the stream after the last forwarded event, at a target that was chosen before, on another upstream or
    /// through another daemon.
    async fn resume(&mut self, mut chosen: Option<Target>) -> Option<(Target, UpstreamResponse)> {
        if !self.exchange.call.route.is_retryable() {
            return None;
        }
        while (chosen.is_some() || self.exchange.may_retry()) && !self.tx.is_closed() {
            let mut target = match chosen.take() {
                Some(target) => target,
                None => tokio::select! {
                    target = self.exchange.choose_target() => target.ok()?,
                    () = self.tx.closed() => return None,
                },
            };
            let sent = tokio::select! {
                sent = self.exchange.send_resumption(&target, self.last_event) => sent,
                () = self.tx.closed() => return None,
            };
            match sent {
                Ok(response) => {
                    if self.exchange.accept_resumption(&mut target, &response) {
                        log::info!(
                            "event=resumed id={} {target} after_event={}",
                            self.exchange.call.id(),
                            self.last_event.unwrap_or_default()
                        );
                        return Some((target, response));
                    }
                }
                Err(e) => self.exchange.record_failed_resumption(&mut target, &e),
            }
        }
        None
    }

    /// Adds bytes to the caller's buffer; returns how long that had no room for them.
    async fn send(&mut self, bytes: Bytes) -> Result<Duration, PushError> {
        let waited = self.tx.push(bytes).await?;
        if !waited.is_zero() {
            self.has_paused |= waited >= LONG_PAUSE;
            self.paused += waited;
            self.ready_until = Some(self.exchange.shared.now() + LATE_EVENTS_TIME);
        }
        Ok(waited)
    }

    fn abort(&self, outcome: &str) {
        log::info!(
            "event=stream_ended id={} outcome={outcome} last_event={}",
            self.exchange.call.id(),
            self.last_event.unwrap_or_default()
        );
        self.exchange.count_request(outcome);
        self.tx.end(ResponseEnd::Aborted);
    }

    /// Returns when the stream must be complete. The time in which its caller did not read is not counted,
    /// as an upstream that is not read cannot go on, and what is ready after a pause is not cut off.
    fn deadline(&self) -> Instant {
        let deadline = self.exchange.call.deadline + self.paused;
        self.ready_until
            .map_or(deadline, |until| deadline.max(until))
    }

    fn remaining(&self) -> Duration {
        let now = self.exchange.shared.now();
        self.deadline().saturating_duration_since(now)
    }
}

/// Waits for the next part of a stream. If its source is silent for `wait`, chooses another target where the stream
/// may be resumed; until there is one, the source may go on.
async fn receive(
    body: &mut Incoming,
    exchange: &mut Exchange,
    source: &Target,
    wait: Duration,
) -> Received {
    if let Ok(frame) = tokio::time::timeout(wait, body.frame()).await {
        return Received::Frame(frame);
    }
    if !exchange.call.route.is_retryable() {
        return Received::Nothing;
    }
    if exchange.is_gone(source) {
        return Received::Gone;
    }
    if !exchange.may_retry() {
        return Received::Nothing;
    }
    let received = tokio::select! {
        frame = body.frame() => Received::Frame(frame),
        target = exchange.choose_target() => match target {
            Ok(target) if !target.is_same(source) => return Received::Replacement(target),
            Ok(_) | Err(_) => Received::Nothing,
        },
    };
    exchange.retry_permit = None;
    received
}
