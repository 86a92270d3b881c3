//! State that an engine loses when it crashes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use crate::engine::{
    Engine,
    attempts::Attempts,
    batch::Batch,
    cold::{Admission, Cold},
    config::EngineConfig,
};

/// State of one incarnation of an engine.
pub(crate) struct VolatileState {
    pub(crate) batch: Arc<Batch>,
    cold: Mutex<Cold>,
    attempts: Mutex<Attempts>,
}

impl VolatileState {
    pub(crate) fn new(cfg: &EngineConfig, cold: bool) -> Self {
        Self {
            batch: Arc::new(Batch::new(cfg.slots, cfg.waiting_limit)),
            cold: Mutex::new(Cold::new(&cfg.cold, cold)),
            attempts: Mutex::default(),
        }
    }

    pub(crate) fn cold(&self) -> MutexGuard<'_, Cold> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn attempts(&self) -> MutexGuard<'_, Attempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request admitted to the engine, waiting or running, until this value is dropped.
pub(crate) struct AdmittedRequest {
    engine: Arc<Engine>,
    volatile: Arc<VolatileState>,
    /// Whether the answer is complete.
    pub(crate) completed: bool,
    started: bool,
}

impl AdmittedRequest {
    /// Admits a request, or fails if it crashes the engine.
    pub(crate) fn enter(
        engine: &Arc<Engine>,
        volatile: Arc<VolatileState>,
    ) -> Result<Self, CrashedOnAdmission> {
        let (admission, peak) = {
            let mut cold = volatile.cold();
            (cold.enter(Instant::now()), cold.peak())
        };
        engine.record_cold_peak(peak);
        let admitted = Self {
            engine: engine.clone(),
            volatile,
            completed: false,
            started: false,
        };
        match admission {
            Admission::Accepted => {
                engine.publish_load();
                Ok(admitted)
            }
            Admission::Crash => Err(CrashedOnAdmission),
        }
    }

    /// Marks the request as running.
    pub(crate) fn begin(mut self) -> Self {
        self.started = true;
        self
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.volatile.cold().leave(self.completed);
        if self.started && !self.completed {
            self.engine.record_cancelled();
        }
        self.engine.publish_load();
    }
}

/// Error: the request crashed the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashedOnAdmission;
