//! Distinguishes a slow engine from a silent connection by querying it over a new connection.

use std::{future::Future, time::Duration};

use platform_api::engine::AttemptState;
use tokio::time::sleep;

use crate::transport::engine::{AttemptId, EngineClient, error::EngineError};

/// Time without data after which the engine is queried over a new connection.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(1_000);

/// Number of consecutive mismatches with the received data after which the connection counts as
/// silent.
const MISMATCHED_CHECKS_TO_FAIL: u32 = 2;

/// Monitors one attempt while no data arrives.
#[derive(Debug)]
pub(super) struct StallMonitor {
    engine: EngineClient,
    attempt: AttemptId,
    received_tokens: u32,
    mismatched_checks: u32,
}

impl StallMonitor {
    /// Creates a monitor for `attempt`, of which `received_tokens` tokens have arrived.
    pub(super) fn new(engine: EngineClient, attempt: AttemptId, received_tokens: u32) -> Self {
        Self {
            engine,
            attempt,
            received_tokens,
            mismatched_checks: 0,
        }
    }

    /// Queries the engine once; returns an error if the attempt must be abandoned.
    async fn check(&mut self) -> Result<(), EngineError> {
        let peer = self.engine.peer();
        match self.engine.attempt(&self.attempt).await {
            Ok(AttemptState::Running { offset }) if offset <= self.received_tokens => {
                self.mismatched_checks = 0;
            }
            Ok(_) => self.mismatched_checks += 1,
            // An engine without this interface cannot be distinguished from a slow one.
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

/// Waits for `operation` and checks the engine after every [`SILENCE_BEFORE_CHECK`] without a
/// result.
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
