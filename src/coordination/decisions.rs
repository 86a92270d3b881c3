//! The log of routing and placement decisions that `explain` queries.

use std::{
    collections::VecDeque,
    fmt::Display,
    time::{SystemTime, UNIX_EPOCH},
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Identifies a caller's request in logs, bills and responses.
pub type RequestId = CompactString;

/// A decision about a request or a placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The request's id, or the id of the placement.
    pub request_id: RequestId,
    /// The daemon that made the decision.
    pub daemon: CompactString,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The processing step, such as `admit`, `route`, `retry` or `bill`.
    pub step: CompactString,
    /// The decision as `key=value` pairs, with its reason and the rejected alternatives.
    pub detail: String,
}

/// A bounded log of the latest decisions.
#[derive(Debug)]
pub struct DecisionLog {
    daemon: CompactString,
    capacity: usize,
    entries: VecDeque<Decision>,
}

impl DecisionLog {
    /// Creates an empty log that keeps the latest `capacity` decisions.
    pub fn new(daemon: CompactString, capacity: usize) -> Self {
        Self {
            daemon,
            capacity,
            entries: VecDeque::with_capacity(capacity),
        }
    }

    /// Records a decision and writes it to the process log.
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

    /// Returns the decisions about a request, oldest first.
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
