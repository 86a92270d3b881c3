//! Why an attempt on an engine failed.

use std::net::SocketAddr;

use http::StatusCode;

use crate::transport::http_client::{HttpError, Sent, Step};

/// A failed attempt, with the step and the peer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum EngineError {
    /// The exchange failed.
    #[error(transparent)]
    Http(HttpError),
    /// The engine refused the request.
    #[error("{peer} refused: status {status}")]
    Refused {
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
        /// Whether the engine says that it did nothing with the request.
        not_run: bool,
    },
    /// The answer belongs to another attempt.
    #[error("{peer} answered another attempt")]
    WrongAttempt {
        /// The engine.
        peer: SocketAddr,
    },
    /// The answer could not be understood.
    #[error("{peer} answered nonsense: {reason}")]
    Malformed {
        /// The engine.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The answer ended before its end.
    #[error("{peer} ended the answer early")]
    Truncated {
        /// The engine.
        peer: SocketAddr,
    },
    /// The connection carries nothing more although the engine runs on.
    #[error("connection to {peer} went silent")]
    SilentConnection {
        /// The engine.
        peer: SocketAddr,
    },
    /// The engine answers on no connection.
    #[error("{peer} does not answer")]
    Unresponsive {
        /// The engine.
        peer: SocketAddr,
    },
    /// The time allowed for the attempt has passed while the engine was working.
    #[error("{peer} took too long")]
    TimedOut {
        /// The engine.
        peer: SocketAddr,
    },
}

/// What a failed attempt says of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection was at fault; the engine deserves another one.
    Connection,
    /// The engine is full, or the lease of its slot ran out; nothing was done.
    Busy,
    /// The engine crashed or closed the connection while it worked.
    Crash,
    /// The engine answers wrongly or not at all.
    Engine,
    /// The engine was merely slow.
    Slow,
}

impl EngineError {
    /// What it says of the engine.
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

    /// Whether the engine certainly did nothing with the request.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Http(e) => e.sent == Sent::No,
            Self::Refused { not_run, .. } => *not_run,
            _ => false,
        }
    }
}
