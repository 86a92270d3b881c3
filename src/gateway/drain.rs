//! What a daemon still accepts and waits for while it shuts down.
//!
//! Load pattern: all daemons are restarted at about the same time, and streams keep each of them
//! running to the end of its grace period. If they refused all requests meanwhile, callers could ask
//! no daemon although all still run.
//!
//! Failure: one daemon is stopped while others are ready. Requests that it takes although they may outlast it are
//! cut, and those that must not be repeated are lost.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use tokio::sync::watch;

/// Time before the deadline of a shutdown at which requests that still run are answered.
const ANSWER_RESERVE: Duration = Duration::from_millis(100);

/// Work in progress and the shutdown of the process.
#[derive(Debug, Default)]
pub struct Drain {
    generation: Mutex<Arc<()>>,
    shutdown: watch::Sender<Option<Shutdown>>,
}

/// Marks a request as in progress until it is dropped.
#[derive(Clone, Debug)]
pub struct WorkGuard {
    _generation: Arc<()>,
}

/// The requests that were in progress when draining began.
#[derive(Debug)]
pub struct EarlierWork(Weak<()>);

/// A request while the daemon may be shutting down.
#[derive(Clone, Copy, Debug)]
pub struct DrainRequest {
    /// Time until its deadline.
    pub remaining: Duration,
    /// Whether it may be sent again after it may have run.
    pub is_retryable: bool,
}

/// Why a request is not served by a daemon that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the caller should send the request again.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Shutdown {
    /// When all requests must have ended.
    deadline: Instant,
    /// Whether callers have had time to notice the shutdown.
    is_draining: bool,
}

impl Drain {
    /// Marks a request as in progress.
    pub fn start_work(&self) -> WorkGuard {
        WorkGuard {
            _generation: self.generation().clone(),
        }
    }

    /// Announces that the process ends at `deadline`: from now on requests that may outlast it and must not be
    /// repeated are refused if another daemon is ready.
    pub fn announce(&self, deadline: Instant) {
        self.shutdown.send_replace(Some(Shutdown {
            deadline,
            is_draining: false,
        }));
    }

    /// Begins draining after an announcement: from now on only requests that end before the deadline are accepted.
    pub fn begin(&self) -> EarlierWork {
        self.shutdown.send_modify(|shutdown| {
            if let Some(shutdown) = shutdown {
                shutdown.is_draining = true;
            }
        });
        let earlier = std::mem::take(&mut *self.generation());
        EarlierWork(Arc::downgrade(&earlier))
    }

    /// Returns whether a request is refused because the daemon shuts down; `has_successor` tells whether another
    /// daemon is ready.
    pub fn refuses(
        &self,
        request: DrainRequest,
        has_successor: impl FnOnce() -> bool,
        now: Instant,
    ) -> Option<Leaving> {
        let shutdown = (*self.shutdown.borrow())?;
        let left = shutdown.deadline.saturating_duration_since(now);
        let must_survive = !request.is_retryable;
        if request.remaining <= left || !(shutdown.is_draining || must_survive) {
            return None;
        }
        match has_successor() {
            true => Some(Leaving {
                retry_after: Duration::ZERO,
            }),
            // This daemon has the best chance to serve it until it refuses all such requests.
            false if !shutdown.is_draining => None,
            false => Some(Leaving { retry_after: left }),
        }
    }

    /// Returns the time until the process ends; `None` if the daemon is not draining.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let shutdown = self.shutdown.borrow().filter(|s| s.is_draining)?;
        Some(shutdown.deadline.saturating_duration_since(now))
    }

    /// Completes when requests that still run must be answered, shortly before the process ends.
    pub async fn expired(&self) {
        let mut shutdown = self.shutdown.subscribe();
        let announced = shutdown.wait_for(Option::is_some).await;
        let deadline = announced.ok().and_then(|s| s.map(|s| s.deadline));
        match deadline {
            Some(deadline) => {
                let expires = deadline.checked_sub(ANSWER_RESERVE).unwrap_or(deadline);
                tokio::time::sleep_until(expires.into()).await;
            }
            None => std::future::pending().await,
        }
    }

    fn generation(&self) -> MutexGuard<'_, Arc<()>> {
        self.generation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EarlierWork {
    /// Returns whether all of it has ended.
    pub fn has_ended(&self) -> bool {
        self.0.strong_count() == 0
    }
}
