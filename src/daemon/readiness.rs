//! Readiness check for new requests.

use std::time::Duration;

use crate::{
    daemon::{billing::Billing, configuration::Configuration},
    protocol::problem::{Refusal, RefusalKind},
};

/// `Retry-After` of refusals from a daemon that is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a refusal while the configuration may be outdated or bills can't be stored.
pub fn check(configuration: &Configuration, billing: &Billing) -> Result<(), Refusal> {
    let refuse = |detail: String| {
        Refusal::not_run(RefusalKind::NotReady, "ready", detail).retry_after(RETRY_AFTER)
    };
    configuration
        .readiness()
        .map_err(|e| refuse(e.to_string()))?;
    billing.may_take_work().map_err(|e| refuse(e.to_string()))
}
