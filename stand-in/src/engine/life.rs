//! What an engine loses when it crashes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use crate::engine::{
    Engine,
    attempts::Attempts,
    batch::Batch,
    cold::{Arrival, Cold},
    config::EngineConfig,
};

/// One start of an engine.
pub(crate) struct Life {
    pub(crate) batch: Arc<Batch>,
    cold: Mutex<Cold>,
    attempts: Mutex<Attempts>,
}

impl Life {
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

/// A request inside the engine, waiting or running, until this is dropped.
pub(crate) struct Inside {
    engine: Arc<Engine>,
    life: Arc<Life>,
    /// Whether its answer has been completed.
    pub(crate) completed: bool,
    begun: bool,
}

impl Inside {
    /// Takes a request in, or breaks the engine down.
    pub(crate) fn enter(engine: &Arc<Engine>, life: Arc<Life>) -> Result<Self, Crashed> {
        let (arrival, peak) = {
            let mut cold = life.cold();
            (cold.enter(Instant::now()), cold.peak())
        };
        engine.note_cold_peak(peak);
        let inside = Self {
            engine: engine.clone(),
            life,
            completed: false,
            begun: false,
        };
        match arrival {
            Arrival::Borne => {
                engine.report();
                Ok(inside)
            }
            Arrival::Crash => Err(Crashed),
        }
    }

    /// Marks that it runs.
    pub(crate) fn begin(mut self) -> Self {
        self.begun = true;
        self
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.life.cold().leave(self.completed);
        if self.begun && !self.completed {
            self.engine.note_cancelled();
        }
        self.engine.report();
    }
}

/// The engine broke down under a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crashed;
