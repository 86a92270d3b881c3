//! Refusals of completion requests.

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

/// `Retry-After` for failures that the fleet recovers from automatically.
const RECOVERY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// `Retry-After` when all slots are in use.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn overloaded(refused: &Refused) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, "admit", refused.to_string())
        .retry_after(refused.retry_after)
}

pub(super) fn quarantined(refused: &Quarantined) -> Refusal {
    Refusal::not_run(RefusalKind::Quarantined, "admit", refused.to_string())
        .retry_after(refused.retry_after)
}

pub(super) fn no_free_slot(may_have_run: bool) -> Refusal {
    let detail = "no upstream had a free slot before the deadline";
    let refusal = Refusal::not_run(RefusalKind::DeadlineExceeded, "route", detail);
    refusal
        .with_may_have_run(may_have_run)
        .retry_after(NO_SLOT_RETRY_AFTER)
}

pub(super) fn no_route(error: &NoRoute, may_have_run: bool) -> Refusal {
    let kind = match error.cause {
        NoRouteCause::SessionEnded => RefusalKind::SessionEnded,
        NoRouteCause::NotAllowed => RefusalKind::NotAllowed,
        NoRouteCause::Unknown => RefusalKind::NotFound,
        NoRouteCause::Busy => RefusalKind::Overloaded,
        NoRouteCause::NoVersion | NoRouteCause::NoUpstream => RefusalKind::NoUpstream,
    };
    let refusal = Refusal::not_run(kind, "route", error.to_string());
    let refusal = match error.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    };
    refusal.with_may_have_run(may_have_run)
}

pub(super) fn upstream_failed(upstream: &str, e: &EngineError, may_have_run: bool) -> Refusal {
    let refusal = Refusal::not_run(RefusalKind::UpstreamFailed, "dispatch", e.to_string());
    refusal
        .with_may_have_run(may_have_run)
        .with_peer(upstream)
        .retry_after(RECOVERY_RETRY_AFTER)
}

pub(super) fn deadline_exceeded(upstream: &str, may_have_run: bool) -> Refusal {
    let detail = "the deadline passed while the upstream was processing the request";
    let refusal = Refusal::not_run(RefusalKind::DeadlineExceeded, "dispatch", detail);
    refusal
        .with_may_have_run(may_have_run)
        .with_peer(upstream)
        .retry_after(RECOVERY_RETRY_AFTER)
}

pub(super) fn bill_not_stored() -> Refusal {
    let detail = "the bill could not be stored, so the answer is not delivered";
    Refusal::unknown(RefusalKind::NotReady, "bill", detail).retry_after(RECOVERY_RETRY_AFTER)
}
