//! Counts callers' requests for the metrics.

use std::time::Instant;

use compact_str::CompactString;
use derive_more::Display;

use crate::{
    clock::SharedClock,
    daemon::components::Components,
    metrics::{REQUEST_SECONDS, REQUESTS},
    protocol::problem::Refusal,
};

/// The outcome of a request that was not refused.
const SERVED_LABEL: &str = "served";

/// What is asked for.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
pub(super) enum RequestKind {
    /// A completion.
    Chat,
    /// A call of a plain service.
    Service,
}

/// One request that is being served.
pub(super) struct RequestMetrics {
    clock: SharedClock,
    daemon: CompactString,
    kind: CompactString,
    started_at: Instant,
}

impl RequestMetrics {
    /// A request has arrived.
    pub(super) fn start(components: &Components, kind: RequestKind) -> Self {
        let core = &components.core;
        Self {
            clock: core.clock.clone(),
            daemon: core.name().clone(),
            kind: kind.to_string().into(),
            started_at: core.clock.now(),
        }
    }

    /// Its answer, its first token or its refusal is ready.
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
