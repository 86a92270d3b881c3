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
    pub bears: u32,
    /// The number of answers completed since it turned cold after which it is warm.
    pub warms_after: u32,
}

impl Default for ColdConfig {
    fn default() -> Self {
        Self {
            at_start: true,
            bears: 2,
            warms_after: 8,
        }
    }
}

/// The requests inside one start of an engine, and whether it is cold.
#[derive(Debug)]
pub(crate) struct Cold {
    bears: u32,
    warms_after: u32,
    cold: bool,
    /// Excess is forgiven and not recorded before this.
    forgiven_until: Option<Instant>,
    completed: u32,
    inside: u32,
    peak: u32,
}

/// What the arrival of a request does to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The engine bears it.
    Borne,
    /// The engine breaks down.
    Crash,
}

impl Cold {
    pub(crate) fn new(cfg: &ColdConfig, cold: bool) -> Self {
        Self {
            bears: cfg.bears,
            warms_after: cfg.warms_after,
            cold,
            forgiven_until: None,
            completed: 0,
            inside: 0,
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

    pub(crate) fn turn_cold(&mut self, forgiven_until: Instant) {
        self.cold = true;
        self.completed = 0;
        self.forgiven_until = Some(forgiven_until);
    }

    pub(crate) fn enter(&mut self, now: Instant) -> Arrival {
        self.inside += 1;
        let forgiven = self.forgiven_until.is_some_and(|until| now < until);
        if !self.cold || forgiven {
            return Arrival::Borne;
        }
        self.peak = self.peak.max(self.inside);
        if self.inside > self.bears {
            return Arrival::Crash;
        }
        Arrival::Borne
    }

    pub(crate) fn leave(&mut self, completed: bool) {
        self.inside -= 1;
        if completed {
            self.completed += 1;
            self.cold &= self.completed < self.warms_after;
        }
    }
}
