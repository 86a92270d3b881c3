//! Control messages, which start and stop faults and change what a role serves.

use std::time::Duration;

use compact_str::CompactString;
use platform_api::instances::Instance;
use serde::{Deserialize, Serialize};

use crate::millis;

/// Path on the control address that accepts [`Control`] messages with `POST`.
pub const CONTROL_PATH: &str = "/control";
/// Path on the control address that returns [`crate::stats::Stats`] for `GET`.
pub const STATS_PATH: &str = "/control/stats";

/// How a role that is down rejects callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// The listener is closed: new connections are refused and open ones are closed.
    Refuse,
    /// New connections are accepted and closed immediately; open ones are closed.
    Close,
    /// Every request is rejected with status 503 and is not executed.
    Unavailable,
}

/// How a truncated stream ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnd {
    /// The connection is closed in the middle of the body.
    #[default]
    Cut,
    /// The body ends well-formed but without its last event.
    Short,
    /// The connection stays open, but nothing more is sent.
    Stall,
}

/// The next requests to which a fault applies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextRequests {
    /// Number of requests.
    pub count: u32,
    /// Path prefix of the requests; empty matches all paths.
    #[serde(default)]
    pub path: CompactString,
}

/// A change of a role's behaviour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "control", rename_all = "snake_case")]
pub enum Control {
    /// Delays the execution of each request.
    Slow {
        /// The delay; zero ends the fault.
        #[serde(with = "millis")]
        by: Duration,
    },
    /// Takes the role down; its stored data is kept.
    Down {
        /// How callers are rejected.
        how: Down,
    },
    /// Brings the role back up.
    Up,
    /// Executes requests, then closes the connection without a response.
    LoseAnswers {
        /// The affected requests.
        next: NextRequests,
    },
    /// Executes requests and delays their responses.
    DelayAnswers {
        /// The affected requests.
        next: NextRequests,
        /// The delay.
        #[serde(with = "millis")]
        by: Duration,
    },
    /// Executes requests and answers them with an error status, without a statement that they were not executed.
    FailAnswers {
        /// The affected requests.
        next: NextRequests,
        /// HTTP status.
        status: u16,
    },
    /// Swaps the responses of two concurrent requests; use an even count, as requests are paired.
    CrossAnswers {
        /// The affected requests.
        next: NextRequests,
    },
    /// Sends complete responses twice on the same connection.
    DuplicateAnswers {
        /// The affected requests.
        next: NextRequests,
    },
    /// Closes the connection after the first bytes of a response body.
    TruncateAnswers {
        /// The affected requests.
        next: NextRequests,
        /// Number of bytes sent of each body.
        after_bytes: usize,
    },
    /// Accepts connections and reads requests without executing or answering them, on old and new
    /// connections.
    Freeze {
        /// Duration of the freeze; lasts until [`Control::Thaw`] if absent.
        #[serde(default)]
        millis: Option<u64>,
    },
    /// Ends a freeze.
    Thaw,
    /// Permanently discards all bytes of the connections that are open now; new connections work.
    SilenceEstablished,
    /// Closes all connections; all state is kept.
    Cut,
    /// Closes all connections, loses volatile state and restarts as a new incarnation.
    Crash {
        /// How long the listener stays closed.
        #[serde(default, with = "millis")]
        restart: Duration,
    },
    /// Ends all faults that were started through this address.
    Heal,
    /// Makes an engine cold.
    GoCold {
        /// How long requests over the cold concurrency limit are tolerated; needed because the load
        /// report is delayed.
        #[serde(default, with = "millis")]
        grace: Duration,
    },
    /// Sets the generation speed of an engine.
    Pace {
        /// Time from the start of a single request to its first token.
        #[serde(with = "millis")]
        first_token: Duration,
        /// Time between two tokens of a single request.
        #[serde(with = "millis")]
        token: Duration,
    },
    /// Ends streams of an engine early.
    TruncateStreams {
        /// Number of streams.
        count: u32,
        /// Number of tokens sent of each stream.
        after_tokens: u32,
        /// How the streams end.
        end: StreamEnd,
    },
    /// Sends every event of a stream of an engine twice.
    DuplicateChunks {
        /// Number of streams.
        count: u32,
    },
    /// Sets whether a plain service holds the responses of requests that it has counted.
    HoldResponses {
        /// Whether they are held.
        hold: bool,
    },
    /// Sets whether an engine reports that it is leaving.
    Leaving {
        /// Whether the engine is leaving.
        leaving: bool,
    },
    /// Lowers the true quality of a version's answers; a drop of zero restores it.
    TurnBad {
        /// The version.
        version: CompactString,
        /// Reduction of the quality, from 0 to 1.
        quality_drop: f64,
    },
    /// Replaces the instance list.
    SetInstances {
        /// All instances.
        instances: Vec<Instance>,
    },
    /// Sets the delay of changes of the instance list or of the load report.
    SetLag {
        /// The delay.
        #[serde(with = "millis")]
        lag: Duration,
    },
    /// Sets the maximum error of ratings.
    SetNoise {
        /// Maximum error, from 0 to 1.
        noise: f64,
    },
    /// Sets the rate limit of the weight store.
    SetRate {
        /// Allowed reads per second.
        reads_per_second: f64,
    },
}
