//! Counters of an engine, and its settings that can change at runtime.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;

use crate::{
    control::Control,
    engine::{
        config::EngineConfig,
        generation::{StreamFaults, Truncation},
        versions::Pace,
    },
    stats::{AttemptCount, EngineStats},
};

/// Maximum number of attempts whose executions are counted.
const MAX_COUNTED_ATTEMPTS: usize = 200_000;

/// Counters of an engine; kept across crashes.
#[derive(Default)]
pub(crate) struct Records {
    pub(crate) cold_peak: u32,
    pub(crate) cold_crashes: u64,
    pub(crate) poison_crashes: u64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) running_peak: u32,
    pub(crate) fenced: u64,
    attempts: BTreeMap<CompactString, u32>,
}

impl Records {
    pub(crate) fn count_attempt(&mut self, id: &CompactString) {
        if let Some(count) = self.attempts.get_mut(id) {
            *count += 1;
        } else if self.attempts.len() < MAX_COUNTED_ATTEMPTS {
            self.attempts.insert(id.clone(), 1);
        }
    }

    /// Returns all statistics except those of the versions and of the volatile state.
    pub(crate) fn stats(&self) -> EngineStats {
        let attempts = self.attempts.iter().map(|(id, count)| AttemptCount {
            id: id.clone(),
            executions: *count,
        });
        EngineStats {
            cold_peak: self.cold_peak,
            cold_crashes: self.cold_crashes,
            poison_crashes: self.poison_crashes,
            refused: self.refused,
            cancelled: self.cancelled,
            running_peak: self.running_peak,
            fenced: self.fenced,
            attempts: attempts.collect(),
            ..EngineStats::default()
        }
    }
}

/// Settings that can change at runtime; kept across crashes.
pub(crate) struct Tunables {
    pub(crate) pace: Pace,
    pub(crate) leaving: bool,
    pub(crate) load_lag: Duration,
    truncate_count: u32,
    truncate: Truncation,
    duplicate_count: u32,
}

impl Tunables {
    pub(crate) fn new(cfg: &EngineConfig) -> Self {
        Self {
            pace: Pace {
                first_token: cfg.first_token,
                token: cfg.token,
                growth: cfg.growth,
            },
            leaving: false,
            load_lag: cfg.load_lag,
            truncate_count: 0,
            truncate: Truncation::default(),
            duplicate_count: 0,
        }
    }

    /// Applies a control message about pace or stream faults; returns `false` for other messages.
    pub(crate) fn apply(&mut self, control: &Control) -> bool {
        match control {
            Control::Pace { first_token, token } => {
                self.pace.first_token = *first_token;
                self.pace.token = *token;
            }
            Control::TruncateStreams {
                count,
                after_tokens,
                end,
            } => {
                self.truncate_count = *count;
                self.truncate = Truncation {
                    after_tokens: *after_tokens,
                    end: *end,
                };
            }
            Control::DuplicateChunks { count } => self.duplicate_count = *count,
            Control::Heal => {
                self.truncate_count = 0;
                self.duplicate_count = 0;
                return false;
            }
            _ => return false,
        }
        true
    }

    /// Returns the faults of a stream that starts now.
    pub(crate) fn take_stream_faults(&mut self) -> StreamFaults {
        let truncates = take_one(&mut self.truncate_count);
        StreamFaults {
            truncate: truncates.then_some(self.truncate),
            duplicate: take_one(&mut self.duplicate_count),
        }
    }
}

fn take_one(count: &mut u32) -> bool {
    let any_left = *count > 0;
    *count = count.saturating_sub(1);
    any_left
}
