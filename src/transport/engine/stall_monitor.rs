//! Tells a slow engine from a silent connection by asking over a fresh connection.

use std::{future::Future, time::Duration};

use platform_api::engine::AttemptState;
use tokio::time::sleep;

use crate::transport::engine::{AttemptId, EngineClient, error::EngineError};

/// How long nothing may come before the engine is asked over a fresh connection.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(1_000);

/// The number of checks in a row that must disagree with what has come.
const MISMATCHED_CHECKS_TO_FAIL: u32 = 2;

/// Watches one attempt while nothing comes.
#[derive(Debug)]
pub(super) struct StallMonitor {
    engine: EngineClient,
    attempt: AttemptId,
    received_tokens: u32,
    mismatched_checks: u32,
}

impl StallMonitor {
    /// Watches `attempt`, of which `received` tokens have come.
    pub(super) fn new(engine: EngineClient, attempt: AttemptId, received_tokens: u32) -> Self {
        Self {
            engine,
            attempt,
            received_tokens,
            mismatched_checks: 0,
        }
    }

    /// Asks the engine once; an error means that the attempt must be given up.
    async fn check(&mut self) -> Result<(), EngineError> {
        let peer = self.engine.peer();
        match self.engine.attempt(&self.attempt).await {
            Ok(AttemptState::Running { offset }) if offset <= self.received_tokens => {
                self.mismatched_checks = 0
            }
            Ok(_) => self.mismatched_checks += 1,
            // An engine without this interface cannot be told from a slow one.
            Err(EngineError::Refused { .. }) => {}
            Err(_) => return Err(EngineError::Unresponsive { peer }),
        }
        if self.mismatched_checks >= MISMATCHED_CHECKS_TO_FAIL {
            self.engine.drop_idle();
            return Err(EngineError::SilentConnection { peer });
        }
        Ok(())
    }
}

/// Waits for `work`, checking on the engine each time nothing has come for [`SILENCE_BEFORE_CHECK`].
pub(super) async fn with_monitor<T>(
    mut monitor: StallMonitor,
    operation: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    tokio::pin!(operation);
    loop {
        tokio::select! {
            result = &mut operation => return result,
            () = sleep(SILENCE_BEFORE_CHECK) => {}
        }
        tokio::select! {
            biased;
            result = &mut operation => return result,
            checked = monitor.check() => checked?,
        }
    }
}
