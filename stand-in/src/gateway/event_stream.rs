//! Streams of events that a fake of an upstream sends.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, Version};
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use super::{
    behaviour::{Behaviour, Framing},
    responses::{Body, sign},
    stream_shape::StreamShape,
    upstream::InFlightGuard,
};

type Part = Result<Frame<Bytes>, std::io::Error>;

/// A stream that an upstream sends.
pub(super) struct EventStream {
    /// Id of the upstream.
    pub(super) upstream: String,
    /// The model that the request names.
    pub(super) model: String,
    /// Path of the request.
    pub(super) path: String,
    /// Number of the event after which the stream begins.
    pub(super) after: u64,
    /// How the upstream responds.
    pub(super) behaviour: Behaviour,
    /// How the end of the stream is marked.
    pub(super) framing: Framing,
    /// Time after which the stream is cut off if it is not read.
    pub(super) unread_timeout: Duration,
    /// Whether the upstream crashes while it sends the stream, which never ends then.
    pub(super) crashes: bool,
}

impl EventStream {
    /// Returns the response to the request `id`, whose events are sent while it is read. `unread` is notified if
    /// it is not read.
    pub(super) fn respond(
        self,
        id: &str,
        in_flight: InFlightGuard,
        unread: Arc<Notify>,
    ) -> Response<Body> {
        let is_unsure = self.path.contains("hard") && self.model == "small";
        let framing = self.framing;
        let (tx, rx) = mpsc::channel(1);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            self.send(&tx, &unread).await;
        });
        let mut response = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(rx))));
        if framing == Framing::Close {
            // Without a length, hyper sends an HTTP/1.1 body in chunks.
            *response.version_mut() = Version::HTTP_10;
        }
        sign(&mut response, id, Some("s"));
        let confidence = if is_unsure { "10" } else { "90" };
        for (name, value) in [
            ("content-type", "text/event-stream"),
            ("confidence", confidence),
        ] {
            let value = value.parse().expect("valid header value");
            response.headers_mut().insert(name, value);
        }
        response
    }

    async fn send(&self, tx: &mpsc::Sender<Part>, unread: &Notify) {
        if self.behaviour == Behaviour::EndEmpty {
            return;
        }
        let shape = StreamShape::of(&self.path);
        let last = match self.behaviour {
            Behaviour::BreakAfter(last) | Behaviour::EndAfter(last) => last,
            _ => shape.events,
        };
        let filler = "x".repeat(shape.filler_bytes);
        let line = format!("model={} upstream={} {filler}", self.model, self.upstream);
        for event in self.after + 1..=shape.events {
            if event > last {
                return self.end_inside(event, tx).await;
            }
            if let Behaviour::PauseAfter(events, pause_ms) = self.behaviour
                && event == self.after + events + 1
            {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            let frame = Frame::data(Bytes::from(format!("id: {event}\ndata: {line}\n\n")));
            match tokio::time::timeout(self.unread_timeout, tx.send(Ok(frame))).await {
                Ok(Ok(())) => tokio::time::sleep(shape.interval).await,
                Ok(Err(_)) => return,
                Err(_) => return unread.notify_one(),
            }
        }
        if self.crashes {
            tx.closed().await;
        }
    }

    /// Sends the start of an event and ends the stream, by an error if it is to break.
    async fn end_inside(&self, event: u64, tx: &mpsc::Sender<Part>) {
        let part = Frame::data(Bytes::from(format!("id: {event}\ndata: ")));
        // Fails only if the caller has left.
        let _ = tx.send(Ok(part)).await;
        if matches!(self.behaviour, Behaviour::BreakAfter(_)) {
            let _ = tx.send(Err(std::io::Error::other("broken"))).await;
        }
    }
}
