//! The question that routing answers, and its answer with the reasons.

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

/// One model request that needs a version and an upstream.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The request.
    pub request_id: RequestId,
    /// Who sent it.
    pub customer: CustomerName,
    /// The rule that the caller named.
    pub rule: RuleName,
    /// The kind of request for which pass probabilities are learned.
    pub class: RequestClass,
    /// The version to which the session is bound, if it is in one.
    pub session: Option<VersionName>,
    /// Whether the answer is streamed, so that it can't be rated before it is delivered.
    pub streamed: bool,
    /// When the answer is no longer of use.
    pub deadline: Instant,
    /// Versions that have answered already and fell short.
    pub tried: Vec<VersionName>,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamName>,
    /// The hash of the session or the prompt's prefix, for cache affinity.
    pub affinity: Option<u64>,
    /// Whether it must run alone on its upstream.
    pub solo: bool,
}

/// One request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The request.
    pub request_id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Upstreams that have failed this request.
    pub excluded: Vec<UpstreamName>,
    /// Whether it must run alone on its upstream.
    pub solo: bool,
}

/// Why a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The session is bound to it.
    Session,
    /// Its expected cost is least, escalation included.
    LeastExpectedCost,
    /// It is the cheapest whose pass probability meets the target.
    CheapestMeetingTarget,
    /// No version meets the target; it comes nearest.
    BestPassProbability,
    /// It is rolled out, and the request is in its stage.
    Rollout,
    /// A cheaper version fell short.
    Escalation,
    /// A preferred version has no free upstream.
    Spill,
    /// The request names a plain service.
    Service,
}

/// Why a version or an upstream was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RejectionCause {
    /// The customer is not allowed it.
    NotAllowed,
    /// The configuration does not name it.
    Unknown,
    /// It drains, and the request is in none of its sessions.
    Draining,
    /// It is withdrawn.
    Withdrawn,
    /// It, or one at least as dear, has answered already and fell short.
    Tried,
    /// Ratings have shown it to be bad.
    Ejected,
    /// Its exposure budget is used up, or its stage leaves this request out.
    Exposure,
    /// It has no upstream in service that may be used.
    NoUpstream,
    /// All of its upstreams are busy.
    Busy,
}

/// A version that was passed over.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{version}:{cause}")]
pub struct Rejected {
    /// The version.
    pub version: VersionName,
    /// Why.
    pub cause: RejectionCause,
}

/// Identifies one choice of one router.
pub type ChoiceId = u64;

/// Where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The choice's id; never used twice by one router.
    pub id: ChoiceId,
    /// The version, or the plain service's name.
    pub version: CompactString,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Why this version.
    pub reason: Reason,
    /// The kind of request.
    pub class: RequestClass,
    /// The probability that the answer is good enough, as learned so far.
    pub pass_probability: f64,
    /// Whether no other request of this daemon may run on the upstream meanwhile.
    pub solo: bool,
    /// The versions passed over.
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

/// Why no upstream can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum NoRouteCause {
    /// The customer or the rule is not in the configuration.
    Unknown,
    /// The customer is allowed none of the rule's versions.
    NotAllowed,
    /// The session's version takes no work any more; the session can't go on.
    SessionEnded,
    /// All versions have been tried or take no work.
    NoVersion,
    /// Versions are allowed, but no upstream is in service.
    NoUpstream,
    /// All upstreams are busy.
    Busy,
}

/// No upstream can take the request now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct NoRoute {
    /// Why.
    pub cause: NoRouteCause,
    /// When to come back; `None` if coming back does not help.
    pub retry_after: Option<Duration>,
    /// The versions passed over.
    pub rejected: Vec<Rejected>,
}

impl NoRoute {
    /// When to come back while all upstreams are busy.
    pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// When to come back while no upstream is in service.
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
