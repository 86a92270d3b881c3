//! Concurrency limit of a cold engine, and its warmup.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Settings of a cold engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdConfig {
    /// Whether the engine starts cold.
    pub at_start: bool,
    /// Maximum number of concurrent requests, including waiting ones, while cold; one more
    /// crashes the engine.
    #[serde(rename = "bears")]
    pub concurrency_limit: u32,
    /// Number of completed answers after which a cold engine is warm.
    #[serde(rename = "warms_after")]
    pub warmup_requests: u32,
}

impl Default for ColdConfig {
    fn default() -> Self {
        Self {
            at_start: true,
            concurrency_limit: 2,
            warmup_requests: 8,
        }
    }
}

/// Admitted requests of one incarnation of an engine, and whether it is cold.
#[derive(Debug)]
pub(crate) struct Cold {
    concurrency_limit: u32,
    warmup_requests: u32,
    cold: bool,
    /// The concurrency limit is neither enforced nor recorded before this time.
    enforced_from: Option<Instant>,
    completed: u32,
    admitted: u32,
    peak: u32,
}

/// Effect of an arriving request on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The engine accepts the request.
    Accepted,
    /// The engine crashes.
    Crash,
}

impl Cold {
    pub(crate) fn new(cfg: &ColdConfig, cold: bool) -> Self {
        Self {
            concurrency_limit: cfg.concurrency_limit,
            warmup_requests: cfg.warmup_requests,
            cold,
            enforced_from: None,
            completed: 0,
            admitted: 0,
            peak: 0,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the maximum number of admitted requests while cold.
    pub(crate) fn peak(&self) -> u32 {
        self.peak
    }

    pub(crate) fn set_cold(&mut self, enforced_from: Instant) {
        self.cold = true;
        self.completed = 0;
        self.enforced_from = Some(enforced_from);
    }

    pub(crate) fn enter(&mut self, now: Instant) -> Admission {
        self.admitted += 1;
        let in_grace_period = self.enforced_from.is_some_and(|until| now < until);
        if !self.cold || in_grace_period {
            return Admission::Accepted;
        }
        self.peak = self.peak.max(self.admitted);
        if self.admitted > self.concurrency_limit {
            return Admission::Crash;
        }
        Admission::Accepted
    }

    pub(crate) fn leave(&mut self, completed: bool) {
        self.admitted -= 1;
        if completed {
            self.completed += 1;
            self.cold &= self.completed < self.warmup_requests;
        }
    }
}
