//! Keeps background tasks running: a task that panics is logged, counted and started again.
//!
//! Failure: without this, a daemon whose task has ended goes on with what it knew, and nobody sees it.

use std::{
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    sync::LazyLock,
    time::Duration,
};

use futures::FutureExt;
use prometheus::IntCounterVec;
use tokio::task::JoinHandle;

use crate::{clock::SharedClock, isolate::panic_text, metrics::counter};

/// Pause before a task is started again, doubled each time that it ends soon.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause before a task is started again.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time that a task must run for the pauses to begin anew.
const SOUND_RUN: Duration = Duration::from_secs(60);

static TASK_ENDS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_task_ends_total",
        "Background tasks that ended by a panic and were started again, by task.",
        &["task"],
    )
});

static PANICS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_panics_total",
        "Panics in background tasks, in requests and in rows of the table, by place in the source.",
        &["at"],
    )
});

/// The pauses between the runs of a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Restarts {
    /// Consecutive ends soon after a start.
    ends: u32,
}

impl Restarts {
    /// Returns the pause before the next start of a task that has ended after `ran_for`.
    pub fn next_pause(&mut self, ran_for: Duration) -> Duration {
        if ran_for >= SOUND_RUN {
            self.ends = 0;
        }
        let pause = INITIAL_PAUSE.saturating_mul(1_u32.checked_shl(self.ends).unwrap_or(u32::MAX));
        self.ends = self.ends.saturating_add(1);
        pause.min(MAX_PAUSE)
    }
}

/// Starts background tasks.
#[derive(Clone)]
pub struct Supervisor {
    clock: SharedClock,
}

impl Supervisor {
    /// Creates one that measures time by `clock`.
    pub fn new(clock: &SharedClock) -> Self {
        Self {
            clock: clock.clone(),
        }
    }

    /// Runs a task that works on `state`, and starts it again after each panic; ends once it returns.
    pub fn spawn<S, F, T>(&self, task: &'static str, state: S, start: F) -> JoinHandle<()>
    where
        S: Clone + Send + 'static,
        F: Fn(S) -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(run(task, self.clock.clone(), state, start))
    }
}

async fn run<S, F, T>(task: &'static str, clock: SharedClock, state: S, start: F)
where
    S: Clone,
    F: Fn(S) -> T,
    T: Future<Output = ()>,
{
    let mut restarts = Restarts::default();
    loop {
        let started_at = clock.now();
        let run = AssertUnwindSafe(start(state.clone())).catch_unwind();
        let Err(cause) = run.await else {
            return;
        };
        let ran_for = clock.now().saturating_duration_since(started_at);
        let pause = restarts.next_pause(ran_for);
        TASK_ENDS.with_label_values(&[task]).inc();
        log::error!(
            "event=task_ended task={task} ran_ms={} restart_ms={} error={:?}",
            ran_for.as_millis(),
            pause.as_millis(),
            panic_text(&*cause)
        );
        tokio::time::sleep(pause).await;
    }
}

/// Counts panics and writes them as log lines instead of text on standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let at = info.location().map(ToString::to_string).unwrap_or_default();
    PANICS.with_label_values(&[&at]).inc();
    log::error!("event=panic at={at} error={:?}", panic_text(info.payload()));
}
