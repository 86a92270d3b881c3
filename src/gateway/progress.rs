//! Whether the tasks that follow the tables make progress.
//!
//! Failure: a task that follows a table has ended, stands still or ends again after each start. Its daemon would serve
//! callers by what it knew, and be one of those that poll the table for the others.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::gateway::followed_table::FollowedTable;

/// Time in which a task that follows a table must complete a step. Steps end with failed calls, too; the longest
/// is a full read of a large table over a narrow link.
const MAX_STEP_TIME: Duration = Duration::from_secs(10);
/// Number of checks in a row that must find a task late. After a freeze of the process, the first check may run
/// before the tasks do.
const MIN_LATE_CHECKS: u32 = 2;

/// A change of whether all tables are followed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FollowChange {
    /// A table is no longer followed; the duration is the time since the last step.
    #[display("event=not_followed table={} ms={}", _0.table(), _1.as_millis())]
    Stalled(FollowedTable, Duration),
    /// All tables are followed again.
    #[display("event=followed_again")]
    Resumed,
}

/// When the tasks that follow the tables have last completed a step.
#[derive(Debug)]
pub struct FollowProgress {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    steps: [(FollowedTable, Instant); 2],
    /// Consecutive checks that have found a task late.
    late_checks: u32,
}

impl FollowProgress {
    /// Creates the state at the start of the tasks.
    pub fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(State {
                steps: [
                    (FollowedTable::Orders, now),
                    (FollowedTable::Upstreams, now),
                ],
                late_checks: 0,
            }),
        }
    }

    /// Records that a step was completed.
    pub fn record_step(&self, table: FollowedTable, now: Instant) {
        for (followed, last) in &mut self.state().steps {
            if *followed == table {
                *last = now;
            }
        }
    }

    /// Checks whether the tasks are late.
    pub fn check(&self, now: Instant) -> Option<FollowChange> {
        let mut state = self.state();
        let was_stalled = state.is_stalled();
        let late = state.late(now);
        state.late_checks = match late {
            Some(_) => state.late_checks.saturating_add(1),
            None => 0,
        };
        match late {
            Some((table, age)) if !was_stalled && state.is_stalled() => {
                Some(FollowChange::Stalled(table, age))
            }
            None if was_stalled => Some(FollowChange::Resumed),
            _ => None,
        }
    }

    /// Returns whether a table is no longer followed, according to the last checks.
    pub fn is_stalled(&self) -> bool {
        self.state().is_stalled()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_stalled(&self) -> bool {
        self.late_checks >= MIN_LATE_CHECKS
    }

    /// Returns the table whose last step is the longest ago, and the time since then, if that is too long.
    fn late(&self, now: Instant) -> Option<(FollowedTable, Duration)> {
        let age = |last: Instant| now.saturating_duration_since(last);
        let ages = self.steps.iter().map(|(table, last)| (*table, age(*last)));
        ages.max_by_key(|(_, age)| *age)
            .filter(|(_, age)| *age > MAX_STEP_TIME)
    }
}
