//! Metrics of callers' requests.

use std::time::Instant;

use compact_str::CompactString;
use derive_more::Display;

use crate::{
    clock::SharedClock,
    daemon::components::Components,
    metrics::{REQUEST_SECONDS, REQUESTS},
    protocol::problem::Refusal,
};

/// Outcome label of a request that was not refused.
const SERVED_LABEL: &str = "served";

/// Kind of request.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
pub(super) enum RequestKind {
    /// Chat completion.
    Chat,
    /// Call to a plain service.
    Service,
}

/// Measures a request in progress.
pub(super) struct RequestMetrics {
    clock: SharedClock,
    daemon: CompactString,
    kind: CompactString,
    started_at: Instant,
}

impl RequestMetrics {
    /// Starts measuring a request that has arrived.
    pub(super) fn start(components: &Components, kind: RequestKind) -> Self {
        let core = &components.core;
        Self {
            clock: core.clock.clone(),
            daemon: core.name().clone(),
            kind: kind.to_string().into(),
            started_at: core.clock.now(),
        }
    }

    /// Records the outcome and the time until the answer, the first token or the refusal is ready.
    pub(super) fn finish(self, refusal: Option<&Refusal>) {
        let outcome = refusal.map_or_else(|| SERVED_LABEL.into(), |r| r.kind.to_string());
        REQUESTS
            .with_label_values(&[&*self.daemon, &*self.kind, &*outcome])
            .inc();
        REQUEST_SECONDS
            .with_label_values(&[&*self.daemon, &*self.kind])
            .observe((self.clock.now() - self.started_at).as_secs_f64());
    }
}
