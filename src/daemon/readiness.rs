//! Whether a daemon may take new work.

use std::time::Duration;

use crate::{
    daemon::{billing::Billing, configuration::Configuration},
    protocol::problem::{Refusal, RefusalKind},
};

/// When to come back to a daemon that is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses new work while the configuration may be stale or bills can't be kept.
pub fn check(configuration: &Configuration, billing: &Billing) -> Result<(), Refusal> {
    let refuse = |detail: String| {
        Refusal::not_run(RefusalKind::NotReady, "ready", detail).retry_after(RETRY_AFTER)
    };
    configuration
        .readiness()
        .map_err(|e| refuse(e.to_string()))?;
    billing.may_take_work().map_err(|e| refuse(e.to_string()))
}
