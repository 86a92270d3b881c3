//! Slots: each allows one request in flight at an upstream.

use std::{sync::Arc, time::Duration};

use crate::{daemon::permits::Permits, state::objects::UpstreamName, transport::engine::SendCheck};

/// Result of an attempt to reserve a slot without waiting.
#[derive(Debug)]
pub enum AcquireResult {
    /// The reserved slot; dropping it releases it.
    Slot(Slot),
    /// All slots are in use.
    Full,
    /// There is no valid lease yet; one has been requested.
    LeasePending,
}

/// No slot became available before the deadline; nothing was sent to the upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot became available at upstream {upstream} before the deadline")]
pub struct SlotTimeout {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Delay after which to retry.
    pub retry_after: Duration,
}

/// Allows one request in flight at an upstream; released when dropped.
#[derive(Debug)]
pub struct Slot {
    pub(super) upstream: UpstreamName,
    /// `None` for an upstream whose concurrency is not leased.
    pub(super) permits: Option<Arc<Permits>>,
}

impl Slot {
    /// Counts a successful answer, for which the owner may grant more slots on a warm engine, and
    /// releases the slot.
    pub fn release_after_success(self) {
        if let Some(permits) = &self.permits {
            permits.leases().record_success(&self.upstream);
        }
    }

    /// Returns a check that the lease is still valid, to be run just before the request is sent.
    pub fn permission(&self) -> SendCheck {
        let upstream = self.upstream.clone();
        let permits = self.permits.clone();
        Arc::new(move || is_lease_valid(permits.as_ref(), &upstream))
    }

    /// Whether the lease is still valid.
    pub fn is_valid(&self) -> bool {
        is_lease_valid(self.permits.as_ref(), &self.upstream)
    }
}

/// Whether the lease on `upstream` is valid now; always true without permits, as none is needed.
fn is_lease_valid(permits: Option<&Arc<Permits>>, upstream: &str) -> bool {
    permits.is_none_or(|permits| {
        let now = permits.core.clock.now();
        permits.leases().is_valid(now, upstream)
    })
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permits) = &self.permits {
            permits.leases().release_slot(&self.upstream);
            permits.slots_changed.notify_waiters();
        }
    }
}
