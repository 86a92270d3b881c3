//! What an engine bears while it is cold.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// How a cold engine behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdConfig {
    /// Whether the engine starts cold.
    pub at_start: bool,
    /// The number of requests at once, waiting ones included, that it bears while cold.
    #[serde(rename = "bears")]
    pub concurrency_limit: u32,
    /// The number of answers completed since it turned cold after which it is warm.
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

/// The requests inside one start of an engine, and whether it is cold.
#[derive(Debug)]
pub(crate) struct Cold {
    concurrency_limit: u32,
    warmup_requests: u32,
    cold: bool,
    /// Excess is forgiven and not recorded before this.
    enforced_from: Option<Instant>,
    completed: u32,
    admitted: u32,
    peak: u32,
}

/// What the arrival of a request does to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The engine bears it.
    Accepted,
    /// The engine breaks down.
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

    /// The greatest number of requests inside while cold.
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
