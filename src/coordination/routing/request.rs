//! Requests to the router, and the choice or error that it returns.

use std::{
    fmt,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use derive_more::Display;

use crate::{
    coordination::{decisions::RequestId, quality::RequestClass},
    state::objects::{CustomerName, RuleName, ServiceName, UpstreamName, VersionName},
};

/// A model request that needs a version and an upstream.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The request.
    pub request_id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// The rule named by the caller.
    pub rule: RuleName,
    /// The request class for which pass probabilities are estimated.
    pub class: RequestClass,
    /// The version of the request's session, if it belongs to one.
    pub session: Option<VersionName>,
    /// Whether the response is streamed, so that it can't be rated before delivery.
    pub streamed: bool,
    /// The request's deadline.
    pub deadline: Instant,
    /// Versions that have already produced a response that was not good enough.
    pub tried: Vec<VersionName>,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamName>,
    /// The hash of the session or the prompt's prefix, for cache affinity.
    pub affinity: Option<u64>,
    /// Whether the request must run alone on its upstream.
    pub solo: bool,
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The request.
    pub request_id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamName>,
    /// Whether the request must run alone on its upstream.
    pub solo: bool,
}

/// The reason why a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The request's session uses it.
    Session,
    /// It has the lowest expected cost, including escalation.
    LeastExpectedCost,
    /// It is the cheapest whose pass probability meets the target.
    CheapestMeetingTarget,
    /// No version meets the target; it has the highest pass probability.
    BestPassProbability,
    /// It is being rolled out, and the request falls within its current stage.
    Rollout,
    /// The response of a cheaper version was not good enough.
    Escalation,
    /// No upstream of a preferred version was available.
    Spill,
    /// The request names a plain service.
    Service,
}

/// The cause for rejecting a version or an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RejectionCause {
    /// The customer is not allowed to use it.
    NotAllowed,
    /// It is not in the configuration.
    Unknown,
    /// It is draining, and the request belongs to none of its sessions.
    Draining,
    /// It is withdrawn.
    Withdrawn,
    /// It, or a version that costs at least as much, has already been tried.
    Tried,
    /// It was ejected because of its ratings.
    Ejected,
    /// Its exposure budget is exhausted, or the request is outside its current rollout stage.
    Exposure,
    /// It has no usable upstream in service.
    NoUpstream,
    /// All of its upstreams are busy.
    Busy,
}

/// A version that was rejected, with the cause.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{version}:{cause}")]
pub struct Rejected {
    /// The version.
    pub version: VersionName,
    /// The cause.
    pub cause: RejectionCause,
}

/// Identifies a choice made by one router.
pub type ChoiceId = u64;

/// The version and upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Unique among the choices of one router.
    pub id: ChoiceId,
    /// The version, or the plain service's name.
    pub version: CompactString,
    /// The chosen upstream.
    pub upstream: UpstreamName,
    /// Why the version was chosen.
    pub reason: Reason,
    /// The request class.
    pub class: RequestClass,
    /// The estimated probability that the response is good enough.
    pub pass_probability: f64,
    /// Whether this daemon sends no other request to the upstream meanwhile.
    pub solo: bool,
    /// The rejected versions.
    pub rejected: Vec<Rejected>,
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version={} upstream={} reason={} pass={:.2}",
            self.version, self.upstream, self.reason, self.pass_probability
        )?;
        if self.solo {
            f.write_str(" solo=true")?;
        }
        write_rejected(f, &self.rejected)
    }
}

/// The cause for not finding a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum NoRouteCause {
    /// The customer or the rule is not in the configuration.
    Unknown,
    /// The customer may use none of the rule's versions.
    NotAllowed,
    /// The session's version no longer accepts requests, so the session can't continue.
    SessionEnded,
    /// All versions have been tried or do not accept requests.
    NoVersion,
    /// Versions are eligible, but none of their upstreams is in service.
    NoUpstream,
    /// All upstreams are busy.
    Busy,
}

/// No upstream is available for the request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct NoRoute {
    /// The cause.
    pub cause: NoRouteCause,
    /// Delay before a retry; `None` if a retry can't succeed.
    pub retry_after: Option<Duration>,
    /// The rejected versions.
    pub rejected: Vec<Rejected>,
}

impl NoRoute {
    /// Retry delay while all upstreams are busy.
    pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Retry delay while no upstream is in service.
    pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(5);

    pub(super) fn permanent(cause: NoRouteCause, rejected: Vec<Rejected>) -> Self {
        Self {
            cause,
            retry_after: None,
            rejected,
        }
    }

    pub(super) fn temporary(cause: NoRouteCause, after: Duration, rejected: Vec<Rejected>) -> Self {
        Self {
            cause,
            retry_after: Some(after),
            rejected,
        }
    }
}

impl fmt::Display for NoRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no_route={}", self.cause)?;
        if let Some(after) = self.retry_after {
            write!(f, " retry_after_ms={}", after.as_millis())?;
        }
        write_rejected(f, &self.rejected)
    }
}

fn write_rejected(f: &mut fmt::Formatter<'_>, rejected: &[Rejected]) -> fmt::Result {
    for (i, r) in rejected.iter().enumerate() {
        f.write_str(if i == 0 { " rejected=" } else { "," })?;
        write!(f, "{r}")?;
    }
    Ok(())
}
