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
    coordination::dispatch::PaceSampler,
    gateway::{
        attempt::{BodyFraming, UpstreamResponse},
        events::{EventBuffer, MAX_EVENT_BYTES},
        forward::Exchange,
        reply::{EventBody, StreamAborted},
        target::Target,
    },
};

/// Maximum number of events queued for a slow caller.
const MAX_QUEUED_EVENTS: usize = 8;
/// Pause between events after which a stream is resumed on another upstream.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a stream from another daemon, which may be resuming it itself.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Time after the deadline in which events that are ready are still forwarded.
const LATE_EVENTS_TIME: Duration = Duration::from_millis(250);

type Sender = mpsc::Sender<Result<Frame<Bytes>, StreamAborted>>;

/// How the stream from one upstream ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The stream is not complete.
    Broken(BreakCause),
    /// The request's deadline passed.
    Timeout,
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
pub fn spawn(exchange: Exchange, source: Target, response: UpstreamResponse) -> EventBody {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    tokio::spawn(async move {
        let last_event = exchange.call.head.last_event_id;
        let relay = Relay {
            last_event,
            expects_event: last_event.is_none(),
            is_from_start: last_event.is_none(),
            exchange,
            tx,
        };
        relay.run(source, response).await;
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
    /// Whether the current source sends the stream from its start.
    is_from_start: bool,
}

impl Relay {
    async fn run(mut self, mut source: Target, mut response: UpstreamResponse) {
        loop {
            let mut progress = StreamProgress::new(response.framing());
            let end = self.relay_events(&source, response, &mut progress).await;
            let cause = match end {
                StreamEnd::Complete => {
                    return self.exchange.record_complete_stream(
                        &mut source,
                        self.is_from_start,
                        &progress,
                    );
                }
                StreamEnd::CallerLeft => {
                    self.exchange
                        .log_stream_end(&source, "caller_left", &progress);
                    self.exchange.count_request("caller_left");
                    return;
                }
                StreamEnd::Timeout => {
                    self.exchange.log_stream_end(&source, "timeout", &progress);
                    return self.abort("timeout").await;
                }
                StreamEnd::Broken(cause) => cause,
            };
            self.exchange
                .record_broken_stream(&mut source, cause, &progress);
            drop(source);
            self.expects_event |= progress.partial_bytes > 0;
            match self.resume().await {
                Some((next_source, next_response)) => {
                    self.is_from_start = false;
                    (source, response) = (next_source, next_response);
                }
                None => return self.abort("broken_off").await,
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
        let mut pace = PaceSampler::default();
        let mut repeated_bytes = 0;
        let max_silence = match source {
            Target::Upstream(_) => SILENCE_TIMEOUT,
            Target::Peer(_) => PEER_SILENCE_TIMEOUT,
        };
        loop {
            if self.is_overdue() {
                return StreamEnd::Timeout;
            }
            let remaining = self.remaining();
            let frame = tokio::select! {
                frame = tokio::time::timeout(max_silence.min(remaining), body.frame()) => frame,
                () = self.tx.closed() => return StreamEnd::CallerLeft,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return StreamEnd::Broken(BreakCause::Broken),
                Ok(None) => break,
                Err(_) if self.remaining().is_zero() => return StreamEnd::Timeout,
                Err(_) if self.exchange.call.route.is_retryable() => {
                    return StreamEnd::Broken(BreakCause::Silent);
                }
                Err(_) => continue,
            };
            events.push(&data);
            while let Some(event) = events.next_event() {
                progress.events += 1;
                if let Target::Upstream(slot) = source
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
                if self.send(event.bytes).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
            progress.partial_bytes = events.partial_bytes();
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

    /// Resumes the stream after the last forwarded event, on another upstream or through another daemon.
    async fn resume(&mut self) -> Option<(Target, UpstreamResponse)> {
        if !self.exchange.call.route.is_retryable() {
            return None;
        }
        while self.exchange.may_retry() && !self.tx.is_closed() {
            let mut target = tokio::select! {
                target = self.exchange.choose_target() => target.ok()?,
                () = self.tx.closed() => return None,
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
