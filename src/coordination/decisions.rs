//! The record of routing and placement decisions, from which `explain` answers.

use std::{
    collections::VecDeque,
    fmt::Display,
    time::{SystemTime, UNIX_EPOCH},
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Identifies one request of a caller in logs, bills and responses.
pub type RequestId = CompactString;

/// One decision about one request or one placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The request, or the placement's own id.
    pub request_id: RequestId,
    /// The daemon that decided.
    pub daemon: CompactString,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The step at which it was made, such as `admit`, `route`, `retry` or `bill`.
    pub step: CompactString,
    /// What was decided, as `key=value` pairs with the reason and what was rejected.
    pub detail: String,
}

/// The latest decisions, bounded in number.
#[derive(Debug)]
pub struct DecisionLog {
    daemon: CompactString,
    capacity: usize,
    entries: VecDeque<Decision>,
}

impl DecisionLog {
    /// An empty record that keeps the latest `capacity` decisions.
    pub fn new(daemon: CompactString, capacity: usize) -> Self {
        Self {
            daemon,
            capacity,
            entries: VecDeque::with_capacity(capacity),
        }
    }

    /// Records a decision and writes its log line.
    pub fn record(&mut self, at: SystemTime, request_id: &str, step: &str, detail: impl Display) {
        let decision = Decision {
            request_id: request_id.into(),
            daemon: self.daemon.clone(),
            at_ms: millis(at),
            step: step.into(),
            detail: detail.to_string(),
        };
        log::info!("request={request_id} step={step} {}", decision.detail);
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(decision);
    }

    /// The decisions about one request, oldest first.
    pub fn for_request(&self, request_id: &str) -> Vec<Decision> {
        self.entries
            .iter()
            .filter(|d| d.request_id == request_id)
            .cloned()
            .collect()
    }
}

fn millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
