//! Requests and their outcomes as seen by callers.

use std::time::{Duration, Instant};

use derive_more::Display;
use http::StatusCode;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestKind {
    /// Must not be executed twice.
    Book,
    /// May be executed several times.
    Look,
    /// Event stream that another upstream can resume.
    Ask,
}

impl RequestKind {
    /// Returns the service of such requests.
    pub fn service(self) -> &'static str {
        match self {
            Self::Book | Self::Look => "desk",
            Self::Ask => "pool",
        }
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The correct response, complete and signed.
    Served,
    /// A response with an error status.
    Failed(StatusCode),
    /// A status that promises that the request was not executed.
    NotRun(StatusCode),
    /// A successful response that belongs to another request, is incomplete or is not signed.
    Wrong(String),
    /// A stream that ended before its last event with a detectable error.
    BrokenOff,
    /// The connection ended without a response.
    NoAnswer(String),
    /// No connection was available; nothing was sent.
    NotSent,
    /// The request timed out.
    TimedOut,
}

impl Outcome {
    /// Whether the caller received the correct response.
    pub fn is_served(&self) -> bool {
        *self == Self::Served
    }
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the gateway to which the request was sent.
    pub gateway: usize,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time until the request ended.
    pub duration: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the time at which the request ended.
    pub fn ended_at(&self) -> Instant {
        self.sent_at + self.duration
    }
}

/// Time span of a disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Start of the span.
    pub from: Instant,
    /// End of the span.
    pub to: Instant,
}

impl Span {
    /// Whether the span overlaps with the duration of a request.
    pub fn overlaps(&self, record: &RequestRecord) -> bool {
        record.sent_at <= self.to && record.ended_at() >= self.from
    }
}
