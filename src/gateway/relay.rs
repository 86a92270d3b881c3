//! Relays the events of a stream to the caller and resumes the stream on another upstream after a
//! failure.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    coordination::dispatch::{PaceSampler, Quality, health::AttemptOutcome},
    gateway::{
        attempt::{self, BodyFraming, UpstreamResponse},
        events::{EventBuffer, MAX_EVENT_BYTES},
        forward::Exchange,
        reply::{EventBody, StreamAborted},
        shared::SlotGuard,
    },
};

/// Maximum number of events queued for a slow caller.
const MAX_QUEUED_EVENTS: usize = 8;
/// Pause between events after which a stream is resumed on another upstream.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for another upstream to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the deadline in which events that are ready are still forwarded.
const LATE_EVENTS_TIME: Duration = Duration::from_millis(250);

type Sender = mpsc::Sender<Result<Frame<Bytes>, StreamAborted>>;

/// How the stream from one upstream ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The connection broke, the body ended inside an event or without an event that must follow, or
    /// the upstream was silent for too long or sent much without a new event; holds the outcome for the
    /// log.
    Broken(&'static str),
    /// The request's deadline passed.
    Timeout,
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
pub fn spawn(
    exchange: Exchange,
    slot: SlotGuard,
    upstream_response: UpstreamResponse,
) -> EventBody {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    tokio::spawn(async move {
        let last_event = exchange.call.head.last_event_id;
        let relay = Relay {
            last_event,
            expects_event: last_event.is_none(),
            exchange,
            tx,
        };
        relay.run(slot, upstream_response).await;
    });
    StreamBody::new(ReceiverStream::new(rx))
}

struct Relay {
    exchange: Exchange,
    tx: Sender,
    /// Number of the last event that was forwarded.
    last_event: Option<u64>,
    /// Whether at least one more event must follow: the first one, or one in which an upstream stopped.
    expects_event: bool,
}

impl Relay {
    async fn run(mut self, mut slot: SlotGuard, mut upstream_response: UpstreamResponse) {
        loop {
            let mut progress = StreamProgress::new(upstream_response.framing());
            let end = self
                .relay_events(&slot, upstream_response, &mut progress)
                .await;
            let cause = match end {
                StreamEnd::Complete => {
                    slot.set_outcome(AttemptOutcome::Served);
                    self.exchange.report_quality(&slot, Quality::Good);
                    self.exchange.log_stream_end(&slot, "served", &progress);
                    self.exchange.count_request("served");
                    return;
                }
                StreamEnd::CallerLeft => {
                    self.exchange
                        .log_stream_end(&slot, "caller_left", &progress);
                    self.exchange.count_request("caller_left");
                    return;
                }
                StreamEnd::Timeout => {
                    self.exchange.log_stream_end(&slot, "timeout", &progress);
                    return self.abort("timeout").await;
                }
                StreamEnd::Broken(cause) => cause,
            };
            slot.set_outcome(AttemptOutcome::Failed);
            self.exchange.report_quality(&slot, Quality::Broken);
            self.exchange.report_broken_connection(&slot);
            self.exchange.log_stream_end(&slot, cause, &progress);
            drop(slot);
            self.expects_event |= progress.partial_bytes > 0;
            match self.resume().await {
                Some((next_slot, next_response)) => {
                    (slot, upstream_response) = (next_slot, next_response);
                }
                None => return self.abort("broken_off").await,
            }
        }
    }

    async fn relay_events(
        &mut self,
        slot: &SlotGuard,
        upstream_response: UpstreamResponse,
        progress: &mut StreamProgress,
    ) -> StreamEnd {
        // Dropping `upstream_response` closes the connection, so it is kept until the stream ends.
        let mut body = upstream_response.response.into_body();
        let mut events = EventBuffer::default();
        let mut pace = PaceSampler::default();
        let mut repeated_bytes = 0;
        loop {
            if self.is_overdue() {
                return StreamEnd::Timeout;
            }
            let remaining = self.remaining();
            let frame = tokio::select! {
                frame = tokio::time::timeout(SILENCE_TIMEOUT.min(remaining), body.frame()) => frame,
                () = self.tx.closed() => return StreamEnd::CallerLeft,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return StreamEnd::Broken("broken"),
                Ok(None) => break,
                Err(_) if self.remaining().is_zero() => return StreamEnd::Timeout,
                Err(_) if self.exchange.call.route.is_retryable() => {
                    return StreamEnd::Broken("silent");
                }
                Err(_) => continue,
            };
            events.push(&data);
            while let Some(event) = events.next_event() {
                progress.events += 1;
                if let Some(per_event) = pace.record(self.exchange.shared.now()) {
                    self.exchange.report_pace(slot, per_event);
                }
                if Some(event.id) <= self.last_event {
                    repeated_bytes += event.bytes.len();
                    continue;
                }
                self.last_event = Some(event.id);
                self.expects_event = false;
                if self.send(event.bytes).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
            progress.partial_bytes = events.partial_bytes();
            if events.is_overlong() || repeated_bytes > MAX_EVENT_BYTES {
                return StreamEnd::Broken("no_new_event");
            }
        }
        // The upstream may mark the end of the body only by closing the connection, as it does when
        // it stops midway.
        if events.is_inside_event() {
            return StreamEnd::Broken("ended_inside_event");
        }
        if self.expects_event {
            return StreamEnd::Broken("ended_without_event");
        }
        if progress.partial_bytes > 0 && self.send(events.take_remaining()).await.is_err() {
            return StreamEnd::CallerLeft;
        }
        StreamEnd::Complete
    }

    /// Whether even events that are ready come too late.
    fn is_overdue(&self) -> bool {
        let now = self.exchange.shared.now();
        now.saturating_duration_since(self.exchange.call.deadline) >= LATE_EVENTS_TIME
    }

    /// Resumes the stream on another upstream after the last forwarded event.
    async fn resume(&mut self) -> Option<(SlotGuard, UpstreamResponse)> {
        if !self.exchange.call.route.is_retryable() {
            return None;
        }
        while self.exchange.may_retry() && !self.tx.is_closed() {
            let mut slot = self.exchange.reserve_slot().await.ok()?;
            let request = self.exchange.request(&slot, self.last_event);
            self.exchange.record_resume_attempt(&slot);
            let response_timeout = RESUME_TIMEOUT.min(self.remaining());
            let local = self.exchange.shared.settings.ip;
            let sent = attempt::send(local, slot.assignment.address, request, response_timeout);
            let upstream_response = tokio::select! {
                upstream_response = sent => upstream_response,
                () = self.tx.closed() => return None,
            };
            let upstream_response = match upstream_response {
                Ok(upstream_response) => upstream_response,
                Err(e) => {
                    log::info!(
                        "event=resume_failed id={} upstream={} {e}",
                        self.exchange.call.id(),
                        slot.assignment.upstream
                    );
                    slot.set_outcome(match e {
                        attempt::AttemptError::Unreachable(_) => AttemptOutcome::Unreachable,
                        _ => AttemptOutcome::Failed,
                    });
                    continue;
                }
            };
            let head = self.exchange.response_head(&upstream_response);
            self.exchange.record_announcements(&slot, &head);
            if !head.not_run {
                self.exchange.record_run_start(&mut slot);
            }
            if head.matches_request && head.signed && head.status.is_success() {
                log::info!(
                    "event=resumed id={} upstream={} after_event={}",
                    self.exchange.call.id(),
                    slot.assignment.upstream,
                    self.last_event.unwrap_or_default()
                );
                return Some((slot, upstream_response));
            }
            slot.set_outcome(if head.not_run {
                AttemptOutcome::Refused
            } else {
                AttemptOutcome::Failed
            });
        }
        None
    }

    async fn send(&self, bytes: Bytes) -> Result<(), ()> {
        let frame = Ok(Frame::data(bytes));
        self.tx.send(frame).await.map_err(|_| ())
    }

    async fn abort(&self, outcome: &str) {
        log::info!(
            "event=stream_ended id={} outcome={outcome} last_event={}",
            self.exchange.call.id(),
            self.last_event.unwrap_or_default()
        );
        self.exchange.count_request(outcome);
        // Fails only if the caller has already disconnected.
        let _ = self.tx.send(Err(StreamAborted)).await;
    }

    fn remaining(&self) -> Duration {
        self.exchange.call.remaining(self.exchange.shared.now())
    }
}
