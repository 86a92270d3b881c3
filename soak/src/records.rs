//! What callers saw.

use std::time::{Duration, Instant};

use derive_more::Display;
use http::StatusCode;

/// The kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestKind {
    /// It must not run twice.
    Book,
    /// It may run several times.
    Look,
    /// A stream of events that another upstream may go on with.
    Ask,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The right answer, whole and signed.
    Served,
    /// An answer of a failure.
    Failed(StatusCode),
    /// A refusal that says when to come back, so that the request has not run.
    NotRun,
    /// A success that is not this request's answer, or not whole, or not signed.
    Wrong(String),
    /// A stream that ended before its last event, which the caller could tell.
    BrokenOff,
    /// The connection ended without an answer.
    NoAnswer(String),
    /// No connection was to be had; nothing was sent.
    NotSent,
    /// Nothing came for longer than the request's time.
    TimedOut,
}

impl Outcome {
    /// Whether the caller got what was asked for.
    pub fn is_served(&self) -> bool {
        *self == Self::Served
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// How long it took.
    pub duration: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// When it ended.
    pub fn ended_at(&self) -> Instant {
        self.sent_at + self.duration
    }
}

/// A time in which something was out of order.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

impl Span {
    /// Whether some of a request's time lies within it.
    pub fn overlaps(&self, record: &RequestRecord) -> bool {
        record.sent_at <= self.to && record.ended_at() >= self.from
    }
}
