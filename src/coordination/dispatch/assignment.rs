//! The input and the result of placing a request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use derive_more::Display;
use platform::{RowVersion, ServiceName, UpstreamId, VersionName, headers::Prompt};

use crate::coordination::dispatch::rollout::Arm;

/// The properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The route's name.
    pub route: &'a str,
    /// Hash of the session, or of the request id if there is no session.
    pub session: u64,
    /// The requested model, if it is known.
    pub model: Option<&'a str>,
    /// The prompt, for model engines.
    pub prompt: Option<&'a Prompt>,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Upstreams that have already been tried.
    pub tried: &'a [UpstreamId],
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// A reserved slot for one attempt; release it with
/// [`Dispatcher::release`](super::Dispatcher::release).
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Whether it runs the old or the new version, during a rollout.
    pub arm: Option<Arm>,
    /// Hash of the route's name.
    pub(super) route: u32,
    pub(super) backlog: Duration,
    /// Whether the upstream has run long enough for its speed to be evaluated.
    pub(super) settled: bool,
    /// Index of the upstream among the listed `engines`, in the order of their hashes.
    pub(super) engine_index: u32,
    pub(super) engines: u32,
    /// Startup time of the upstream's incarnation in Unix milliseconds, if known.
    pub(super) started_ms: Option<u64>,
    /// Whether it is the single request to the upstream after a pause, and not accepted yet.
    pub(super) on_trial: bool,
    pub(super) order: RowVersion,
    /// When the first event is expected.
    pub(super) expected_at: Instant,
    pub(super) reserved_at: Instant,
    pub(super) prefill_time: Duration,
    /// Maximum length of the response in tokens; 0 without a prompt.
    pub(super) output_tokens: u32,
    pub(super) model: Option<CompactString>,
    pub(super) response_started: bool,
    /// Time from the reservation to the first event.
    pub(super) first_event_after: Duration,
}

impl Assignment {
    /// Returns the time since the slot was reserved.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reserved_at)
    }

    /// Returns the expected time to first event at the time of placement.
    pub fn expected_first_event(&self) -> Duration {
        self.backlog + self.prefill_time
    }
}

/// Quality of a response, as evidence for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// The response was complete.
    Good,
    /// The upstream returned an error, was too late, or did not respond.
    Failed,
    /// The connection broke, possibly together with others.
    Broken,
}

/// Why no slot could be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum NoSlotReason {
    /// No upstream is listed.
    NoneListed,
    /// All listed upstreams are out of use.
    NoneUsable,
    /// All usable upstreams are out of this daemon's reach.
    Unreachable,
    /// All upstreams have reached their concurrency limit.
    AllFull,
    /// Other daemons hold all slots of a brittle service.
    NoShare,
    /// All upstreams are cold and have used up their rate share.
    AllCold,
    /// The response would start after the request's deadline.
    TooLate,
    /// All usable upstreams have asked for a pause.
    AllPaused,
    /// All usable upstreams have named limits, and this daemon's shares of them are used up.
    AllLimited,
}

/// Result of placing a request.
#[derive(Debug)]
pub enum Placement {
    /// A slot has been reserved.
    Assigned(Box<Assignment>),
    /// Retry the placement after this delay.
    Wait(Duration),
    /// Refuse the request, with a Retry-After.
    Refuse(NoSlotReason, Duration),
}
