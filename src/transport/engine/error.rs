//! Errors of attempts on an engine.

use std::net::SocketAddr;

use http::StatusCode;

use crate::transport::http_client::{HttpError, Sent, Step};

/// An error of an attempt on an engine.
#[derive(Clone, Debug, thiserror::Error)]
pub enum EngineError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(HttpError),
    /// The engine refused the request.
    #[error("{peer} refused the request: status {status}")]
    Refused {
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
        /// Whether the engine reported that it did not execute the request.
        not_run: bool,
    },
    /// The response belongs to another attempt.
    #[error("{peer} sent the response of another attempt")]
    WrongAttempt {
        /// The engine.
        peer: SocketAddr,
    },
    /// The response is invalid.
    #[error("{peer} sent an invalid response: {reason}")]
    Malformed {
        /// The engine.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
    },
    /// The response ended early.
    #[error("{peer} ended the response early")]
    Truncated {
        /// The engine.
        peer: SocketAddr,
    },
    /// The connection went silent although the engine is still running.
    #[error("connection to {peer} went silent")]
    SilentConnection {
        /// The engine.
        peer: SocketAddr,
    },
    /// The engine does not respond on any connection.
    #[error("{peer} does not respond")]
    Unresponsive {
        /// The engine.
        peer: SocketAddr,
    },
    /// The attempt reached its time limit while the engine was working.
    #[error("{peer} exceeded the time limit")]
    TimedOut {
        /// The engine.
        peer: SocketAddr,
    },
}

/// The cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection failed; the request can be retried on a new one.
    Connection,
    /// The engine is full, or the lease of its slot expired; the request was not executed.
    Busy,
    /// The engine crashed or closed the connection while it worked.
    Crash,
    /// The engine responds incorrectly or not at all.
    Engine,
    /// The engine was slow.
    Slow,
}

impl EngineError {
    /// Returns the cause of the failure.
    pub fn failure_cause(&self) -> FailureCause {
        match self {
            Self::Http(e) if e.step == Step::Connect => FailureCause::Engine,
            Self::Http(e) if e.step == Step::Permission => FailureCause::Busy,
            Self::Http(e) if e.timed_out => FailureCause::Slow,
            Self::Http(e) if e.sent == Sent::No => FailureCause::Connection,
            Self::Http(_) | Self::Truncated { .. } => FailureCause::Crash,
            Self::Refused { not_run: true, .. } => FailureCause::Busy,
            Self::WrongAttempt { .. } | Self::SilentConnection { .. } => FailureCause::Connection,
            Self::Refused { .. } | Self::Malformed { .. } | Self::Unresponsive { .. } => {
                FailureCause::Engine
            }
            Self::TimedOut { .. } => FailureCause::Slow,
        }
    }

    /// Returns whether the request was definitely not executed.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Http(e) => e.sent == Sent::No,
            Self::Refused { not_run, .. } => *not_run,
            _ => false,
        }
    }
}
