//! Events of a stream on their way to the caller, also across a failure of their upstream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    coordination::dispatch::{PaceSampler, Quality, health::AttemptOutcome},
    gateway::{
        attempt::{self, Answer},
        events::EventBuffer,
        forward::Exchange,
        reply::{BrokenOff, EventBody},
        shared::Place,
    },
};

/// Events that wait for a slow caller.
const QUEUE: usize = 8;
/// The pause between events after which a stream goes on elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long another upstream may take to go on with a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

type Sender = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// How the reading of one upstream's events ended.
enum End {
    /// The stream is whole.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The upstream broke off, or fell silent.
    Broken(&'static str),
    /// The request's time ran out.
    Timeout,
}

/// Passes events on as they come, in a task of its own.
pub fn spawn(exchange: Exchange, place: Place, answer: Answer) -> EventBody {
    let (tx, rx) = mpsc::channel(QUEUE);
    tokio::spawn(async move {
        let relay = Relay {
            last_event: exchange.call.head.last_event_id,
            exchange,
            tx,
        };
        relay.run(place, answer).await;
    });
    StreamBody::new(ReceiverStream::new(rx))
}

struct Relay {
    exchange: Exchange,
    tx: Sender,
    /// The number of the last event that was passed on.
    last_event: Option<u64>,
}

impl Relay {
    async fn run(mut self, mut place: Place, mut answer: Answer) {
        loop {
            let why = match self.pass_on(&place, answer).await {
                End::Complete => {
                    place.ended(AttemptOutcome::Served);
                    self.exchange.judge(&place, Quality::Good);
                    self.exchange.log_end(&place, "served");
                    self.exchange.count("served");
                    return;
                }
                End::CallerLeft => {
                    self.exchange.log_end(&place, "caller_left");
                    self.exchange.count("caller_left");
                    return;
                }
                End::Timeout => {
                    self.exchange.log_end(&place, "timeout");
                    return self.break_off("timeout").await;
                }
                End::Broken(why) => why,
            };
            place.ended(AttemptOutcome::Failed);
            self.exchange.judge(&place, Quality::Broken);
            self.exchange.broke(&place);
            self.exchange.log_end(&place, why);
            drop(place);
            match self.resume().await {
                Some((next_place, next_answer)) => (place, answer) = (next_place, next_answer),
                None => return self.break_off("broken_off").await,
            }
        }
    }

    async fn pass_on(&mut self, place: &Place, answer: Answer) -> End {
        // The connection stays open until `answer` is dropped.
        let mut body = answer.response.into_body();
        let mut events = EventBuffer::default();
        let mut pace = PaceSampler::default();
        loop {
            let remaining = self.remaining();
            let frame = tokio::select! {
                frame = tokio::time::timeout(SILENCE_TIMEOUT.min(remaining), body.frame()) => frame,
                () = self.tx.closed() => return End::CallerLeft,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return End::Broken("broken"),
                Ok(None) => break,
                Err(_) if self.remaining().is_zero() => return End::Timeout,
                Err(_) if self.exchange.call.route.repeatable() => return End::Broken("silent"),
                Err(_) => continue,
            };
            events.push(&data);
            if events.is_overlong() {
                return End::Broken("overlong_event");
            }
            while let Some(event) = events.next_event() {
                if let Some(per_event) = pace.record(self.exchange.shared.now()) {
                    self.exchange.paced(place, per_event);
                }
                if event.id.is_some() && event.id <= self.last_event {
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                if self.send(event.bytes).await.is_err() {
                    return End::CallerLeft;
                }
            }
        }
        if events.has_part() && self.send(events.take_rest()).await.is_err() {
            return End::CallerLeft;
        }
        End::Complete
    }

    /// Lets another upstream go on after the last event.
    async fn resume(&mut self) -> Option<(Place, Answer)> {
        if !self.exchange.call.route.repeatable() {
            return None;
        }
        while self.exchange.may_repeat() && !self.tx.is_closed() {
            let mut place = self.exchange.place().await.ok()?;
            let request = self.exchange.request(&place, self.last_event);
            self.exchange.note_attempt(&place);
            let patience = RESUME_TIMEOUT.min(self.remaining());
            let sent = attempt::send(place.ticket.address, request, patience);
            let answer = tokio::select! {
                answer = sent => answer,
                () = self.tx.closed() => return None,
            };
            let answer = match answer {
                Ok(answer) => answer,
                Err(e) => {
                    log::info!(
                        "event=resume_failed id={} upstream={} {e}",
                        self.exchange.call.id(),
                        place.ticket.upstream
                    );
                    place.ended(match e {
                        attempt::AttemptError::Unreachable(_) => AttemptOutcome::Unreachable,
                        _ => AttemptOutcome::Failed,
                    });
                    continue;
                }
            };
            let head = self.exchange.answer_head(&answer);
            place.begun();
            if head.own && head.signed && head.status.is_success() {
                log::info!(
                    "event=resumed id={} upstream={} after_event={}",
                    self.exchange.call.id(),
                    place.ticket.upstream,
                    self.last_event.unwrap_or_default()
                );
                return Some((place, answer));
            }
            place.ended(if head.not_run {
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

    async fn break_off(&self, outcome: &str) {
        log::info!(
            "event=stream_ended id={} outcome={outcome} last_event={}",
            self.exchange.call.id(),
            self.last_event.unwrap_or_default()
        );
        self.exchange.count(outcome);
        // A caller that has left needs no notice.
        let _ = self.tx.send(Err(BrokenOff)).await;
    }

    fn remaining(&self) -> Duration {
        self.exchange.call.remaining(self.exchange.shared.now())
    }
}
