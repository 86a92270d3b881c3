//! A request as the choice of an upstream sees it, and what comes of the choice.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use derive_more::Display;
use platform::{RowVersion, ServiceName, UpstreamId, VersionName, headers::Prompt};

use crate::coordination::dispatch::rollout::Arm;

/// A request, as far as the choice of an upstream depends on it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The route's name.
    pub route: &'a str,
    /// A hash of its session, or of its id.
    pub session: u64,
    /// The model, where the system names it.
    pub model: Option<&'a str>,
    /// Its prompt.
    pub prompt: Option<&'a Prompt>,
    /// The size of its body.
    pub body_bytes: usize,
    /// Upstreams that have had it.
    pub tried: &'a [UpstreamId],
}

/// A place for one attempt; it must be given back to [`Dispatcher::release`](super::Dispatcher::release).
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The version that it runs.
    pub version: VersionName,
    /// Its part in a roll-out.
    pub arm: Option<Arm>,
    /// A hash of the route's name.
    pub(super) route: u32,
    pub(super) backlog: Duration,
    /// Whether the upstream has run for long enough to be judged by its speed.
    pub(super) settled: bool,
    /// The upstream's index among the `engines` that were listed, in the order of their hashes.
    pub(super) engine_index: u32,
    pub(super) engines: u32,
    pub(super) order: RowVersion,
    /// When its answer is expected to begin.
    pub(super) expected_at: Instant,
    pub(super) reserved_at: Instant,
    pub(super) prefill_time: Duration,
    pub(super) model: Option<CompactString>,
    pub(super) response_started: bool,
}

impl Assignment {
    /// The time since the place was taken.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reserved_at)
    }

    /// The time expected until the answer begins.
    pub fn expected_first_event(&self) -> Duration {
        self.backlog + self.prefill_time
    }
}

/// How good an answer was, as evidence for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// It was whole.
    Good,
    /// The upstream answered with a failure, too late, or not at all.
    Failed,
    /// Its connection broke, perhaps with others.
    Broken,
}

/// Why no upstream can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum NoSlotReason {
    /// None is listed.
    NoneListed,
    /// All that are listed are out of use.
    NoneUsable,
    /// All have as many requests as they run at once.
    AllFull,
    /// All are cold and have had their part.
    AllCold,
}

/// What is done with a request.
#[derive(Debug)]
pub enum Placement {
    /// It goes to an upstream.
    Assigned(Assignment),
    /// It is asked about again after a pause.
    Wait(Duration),
    /// It cannot be served now.
    Refuse(NoSlotReason, Duration),
}
