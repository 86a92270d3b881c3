//! The messages that switch faults on and off, and change what a role serves.

use std::time::Duration;

use compact_str::CompactString;
use platform_api::instances::Instance;
use serde::{Deserialize, Serialize};

use crate::millis;

/// Path of [`Control`] on the control address, sent with `POST`.
pub const CONTROL_PATH: &str = "/control";
/// Path of [`crate::stats::Stats`] on the control address, read with `GET`.
pub const STATS_PATH: &str = "/control/stats";

/// How a role that is down turns callers away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// Nothing listens: connections are refused, and open ones are closed.
    Refuse,
    /// Connections are accepted and closed at once, and open ones are closed.
    Close,
    /// Every request is answered with status 503, truly not run.
    Unavailable,
}

/// How a truncated stream ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnd {
    /// The connection is closed in the middle of the body.
    #[default]
    Cut,
    /// The body ends well-formed, but without its last event.
    Short,
    /// The connection stays open and nothing more is sent.
    Stall,
}

/// The next requests that a fault strikes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextRequests {
    /// How many.
    pub count: u32,
    /// Only requests whose path begins with this count; empty for all.
    #[serde(default)]
    pub path: CompactString,
}

/// A change of what a role does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "control", rename_all = "snake_case")]
pub enum Control {
    /// Waits this long before each request is carried out.
    Slow {
        /// The wait; zero ends the fault.
        #[serde(with = "millis")]
        by: Duration,
    },
    /// Takes the role down; what it has stored stays.
    Down {
        /// How callers are turned away.
        how: Down,
    },
    /// Takes the role up again.
    Up,
    /// Carries requests out and then closes the connection without an answer.
    LoseAnswers {
        /// Which ones.
        next: NextRequests,
    },
    /// Carries requests out and holds the answers back.
    DelayAnswers {
        /// Which ones.
        next: NextRequests,
        /// For how long.
        #[serde(with = "millis")]
        by: Duration,
    },
    /// Swaps the answers of two requests that run at the same time; an even count makes pairs.
    CrossAnswers {
        /// Which ones.
        next: NextRequests,
    },
    /// Sends whole answers twice on the same connection.
    DuplicateAnswers {
        /// Which ones.
        next: NextRequests,
    },
    /// Closes the connection after the first bytes of a body.
    TruncateAnswers {
        /// Which ones.
        next: NextRequests,
        /// The number of bytes sent of each body.
        after_bytes: usize,
    },
    /// Accepts and reads, but carries nothing out and answers nothing, on old and new connections.
    Freeze {
        /// For how long; until thawed if absent.
        #[serde(default)]
        millis: Option<u64>,
    },
    /// Ends a freeze.
    Thaw,
    /// Swallows all bytes of the connections open now, for good; new connections work.
    SilenceEstablished,
    /// Closes all connections; nothing is forgotten.
    Cut,
    /// Closes all connections, forgets volatile state and comes back as a new incarnation.
    Crash {
        /// How long nothing listens.
        #[serde(default, with = "millis")]
        restart: Duration,
    },
    /// Ends all faults that this address has been told to have.
    Heal,
    /// Makes an engine cold.
    GoCold {
        /// How long requests over what it bears are still forgiven, because its load report lags.
        #[serde(default, with = "millis")]
        grace: Duration,
    },
    /// Sets the pace of an engine.
    Pace {
        /// From the start of a lone request to its first token.
        #[serde(with = "millis")]
        first_token: Duration,
        /// Between two tokens of a lone request.
        #[serde(with = "millis")]
        token: Duration,
    },
    /// Ends streams of an engine early.
    TruncateStreams {
        /// How many.
        count: u32,
        /// The number of tokens sent of each.
        after_tokens: u32,
        /// How they end.
        end: StreamEnd,
    },
    /// Sends every event of a stream of an engine twice.
    DuplicateChunks {
        /// How many streams.
        count: u32,
    },
    /// Makes an engine report that it leaves, or stays.
    Leaving {
        /// Whether it leaves.
        leaving: bool,
    },
    /// Lowers the true quality of a version's answers; a drop of zero mends it.
    TurnBad {
        /// The version.
        version: CompactString,
        /// By how much, from 0 to 1.
        quality_drop: f64,
    },
    /// Sets the instance list.
    SetInstances {
        /// All instances.
        instances: Vec<Instance>,
    },
    /// Sets by how much the instance list or the load report lags.
    SetLag {
        /// The lag.
        #[serde(with = "millis")]
        lag: Duration,
    },
    /// Sets the greatest error of ratings.
    SetNoise {
        /// From 0 to 1.
        noise: f64,
    },
    /// Sets the rate of the weight store.
    SetRate {
        /// Reads per second.
        reads_per_second: f64,
    },
}
