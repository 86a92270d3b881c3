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
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a condition is looked at again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds; the test fails with `description` if it does not within `timeout`.
pub async fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let deadline = Instant::now() + timeout;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "not within {timeout:?}: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
