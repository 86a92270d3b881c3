//! Tells a slow engine from a silent connection by asking over a fresh connection.

use std::{future::Future, time::Duration};

use platform_api::engine::AttemptState;
use tokio::time::sleep;

use crate::transport::engine::{AttemptId, EngineClient, error::EngineError};

/// How long nothing may come before the engine is asked over a fresh connection.
const SILENCE: Duration = Duration::from_millis(1_000);

/// The number of checks in a row that must disagree with what has come.
const SUSPICIOUS_CHECKS: u32 = 2;

/// Watches one attempt while nothing comes.
#[derive(Debug)]
pub(super) struct Watch {
    engine: EngineClient,
    attempt: AttemptId,
    received: u32,
    suspicious: u32,
}

impl Watch {
    /// Watches `attempt`, of which `received` tokens have come.
    pub(super) fn new(engine: EngineClient, attempt: AttemptId, received: u32) -> Self {
        Self {
            engine,
            attempt,
            received,
            suspicious: 0,
        }
    }

    /// Asks the engine once; an error means that the attempt must be given up.
    async fn check(&mut self) -> Result<(), EngineError> {
        let peer = self.engine.peer();
        match self.engine.attempt(&self.attempt).await {
            Ok(AttemptState::Running { offset }) if offset <= self.received => self.suspicious = 0,
            Ok(_) => self.suspicious += 1,
            // An engine without this interface cannot be told from a slow one.
            Err(EngineError::Refused { .. }) => {}
            Err(_) => return Err(EngineError::Unresponsive { peer }),
        }
        if self.suspicious >= SUSPICIOUS_CHECKS {
            self.engine.forget_idle();
            return Err(EngineError::Silent { peer });
        }
        Ok(())
    }
}

/// Waits for `work`, checking on the engine each time nothing has come for [`SILENCE`].
pub(super) async fn watched<T>(
    mut watch: Watch,
    work: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    tokio::pin!(work);
    loop {
        tokio::select! {
            done = &mut work => return done,
            () = sleep(SILENCE) => {}
        }
        tokio::select! {
            biased;
            done = &mut work => return done,
            checked = watch.check() => checked?,
        }
    }
}
