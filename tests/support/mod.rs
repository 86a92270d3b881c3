//! Daemons and stand-ins as real processes on loopback, and callers of them.
#![allow(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part, and a failed call fails the test"
)]

pub mod caller;
pub mod daemon;
pub mod fleet;
pub mod objects;
pub mod process;
pub mod stand_in;

use std::time::{Duration, Instant};

/// How long a test waits for what the fleet does by itself.
pub const LIMIT: Duration = Duration::from_secs(20);

/// How often a condition is looked at again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds; the test fails with `what` if it does not within `limit`.
pub async fn wait_until(what: &str, limit: Duration, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition().await {
        assert!(Instant::now() < deadline, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
