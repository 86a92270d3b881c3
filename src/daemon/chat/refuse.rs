//! The refusals of a completion.

use std::time::Duration;

use crate::{
    coordination::{
        admission::Refused,
        poison::Quarantined,
        routing::{NoRoute, NoRouteCause},
    },
    protocol::problem::{Refusal, RefusalKind},
    transport::engine::error::EngineError,
};

/// When to come back after a fault that the fleet repairs by itself.
const REPAIR: Duration = Duration::from_secs(2);

/// When to come back to a fleet whose slots are all taken.
const SLOT_WAIT: Duration = Duration::from_secs(1);

pub(super) fn overloaded(refused: &Refused) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, "admit", refused.to_string())
        .retry_after(refused.retry_after)
}

pub(super) fn quarantined(q: &Quarantined) -> Refusal {
    Refusal::not_run(RefusalKind::Quarantined, "admit", q.to_string()).retry_after(q.retry_after)
}

pub(super) fn no_slot(may_have_run: bool) -> Refusal {
    let detail = "no upstream had a free slot before the deadline";
    let refusal = Refusal::not_run(RefusalKind::DeadlineExceeded, "route", detail);
    refusal
        .with_may_have_run(may_have_run)
        .retry_after(SLOT_WAIT)
}

pub(super) fn no_route(no: &NoRoute, may_have_run: bool) -> Refusal {
    let kind = match no.cause {
        NoRouteCause::SessionEnded => RefusalKind::SessionEnded,
        NoRouteCause::NotAllowed => RefusalKind::NotAllowed,
        NoRouteCause::Unknown => RefusalKind::NotFound,
        NoRouteCause::Busy => RefusalKind::Overloaded,
        NoRouteCause::NoVersion | NoRouteCause::NoUpstream => RefusalKind::NoUpstream,
    };
    let refusal = Refusal::not_run(kind, "route", no.to_string());
    let refusal = match no.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    };
    refusal.with_may_have_run(may_have_run)
}

pub(super) fn failed(upstream: &str, e: &EngineError, may_have_run: bool) -> Refusal {
    let refusal = Refusal::not_run(RefusalKind::UpstreamFailed, "dispatch", e.to_string());
    refusal
        .with_may_have_run(may_have_run)
        .with_peer(upstream)
        .retry_after(REPAIR)
}

pub(super) fn too_late(upstream: &str, may_have_run: bool) -> Refusal {
    let detail = "the deadline passed while the upstream worked";
    let refusal = Refusal::not_run(RefusalKind::DeadlineExceeded, "dispatch", detail);
    refusal
        .with_may_have_run(may_have_run)
        .with_peer(upstream)
        .retry_after(REPAIR)
}

pub(super) fn unbilled() -> Refusal {
    let detail = "the bill could not be kept, so the answer is not delivered";
    Refusal::unknown(RefusalKind::NotReady, "bill", detail).retry_after(REPAIR)
}
