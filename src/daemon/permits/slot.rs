//! The right to one request at an upstream.

use std::{sync::Arc, time::Duration};

use crate::{daemon::permits::Permits, state::objects::UpstreamName, transport::engine::SendCheck};

/// The outcome of an attempt to take a slot without waiting.
#[derive(Debug)]
pub enum Acquire {
    /// A slot; dropping it gives it back.
    Slot(Slot),
    /// All slots are taken.
    Full,
    /// There is no valid lease yet; one has been asked for.
    Unknown,
}

/// No slot came free in time; nothing was sent to the upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot at upstream {upstream} in time")]
pub struct Denied {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When to come back.
    pub retry_after: Duration,
}

/// The right to one request at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    pub(super) upstream: UpstreamName,
    /// `None` for an upstream whose concurrency is not leased.
    pub(super) permits: Option<Arc<Permits>>,
}

impl Slot {
    /// Counts an answer that succeeded, by which a warm engine is trusted with more.
    pub fn succeeded(self) {
        if let Some(permits) = &self.permits {
            permits.leases().record_success(&self.upstream);
        }
    }

    /// Tells whether the lease still holds; to be asked just before the request is sent.
    pub fn permission(&self) -> SendCheck {
        let upstream = self.upstream.clone();
        let permits = self.permits.clone();
        Arc::new(move || holds(permits.as_ref(), &upstream))
    }

    /// Whether the lease still holds.
    pub fn is_valid(&self) -> bool {
        holds(self.permits.as_ref(), &self.upstream)
    }
}

/// Whether a lease on `upstream` holds now; without permits, none is needed.
fn holds(permits: Option<&Arc<Permits>>, upstream: &str) -> bool {
    permits.is_none_or(|permits| {
        let now = permits.core.clock.now();
        permits.leases().is_valid(now, upstream)
    })
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permits) = &self.permits {
            permits.leases().release_slot(&self.upstream);
            permits.changed.notify_waiters();
        }
    }
}
