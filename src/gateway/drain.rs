//! What a daemon still accepts and waits for while it shuts down.
//!
//! Load pattern: all daemons are restarted at about the same time, and streams keep each of them
//! running to the end of its grace period. If they refused all requests meanwhile, callers could ask
//! no daemon although all still run.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

/// Work in progress and the time until which new requests must end.
#[derive(Debug, Default)]
pub struct Drain {
    state: Mutex<State>,
}

/// Marks a request as in progress until it is dropped.
#[derive(Clone, Debug)]
pub struct WorkGuard {
    _generation: Arc<()>,
}

/// The requests that were in progress when draining began.
#[derive(Debug)]
pub struct EarlierWork(Weak<()>);

#[derive(Debug, Default)]
struct State {
    generation: Arc<()>,
    deadline: Option<Instant>,
}

impl Drain {
    /// Marks a request as in progress.
    pub fn start_work(&self) -> WorkGuard {
        WorkGuard {
            _generation: self.state().generation.clone(),
        }
    }

    /// Begins draining: from now on only requests that end before `deadline` are accepted.
    pub fn begin(&self, deadline: Instant) -> EarlierWork {
        let mut state = self.state();
        state.deadline = Some(deadline);
        let earlier = std::mem::take(&mut state.generation);
        EarlierWork(Arc::downgrade(&earlier))
    }

    /// Returns the time that a new request may take; `None` if the daemon is not draining.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let deadline = self.state().deadline?;
        Some(deadline.saturating_duration_since(now))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EarlierWork {
    /// Returns whether all of it has ended.
    pub fn has_ended(&self) -> bool {
        self.0.strong_count() == 0
    }
}
