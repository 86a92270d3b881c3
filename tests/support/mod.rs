//! Daemon and stand-in processes on loopback addresses, and callers of the daemons.
#![allow(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses some of the helpers, and a failed call fails the test"
)]

pub mod caller;
pub mod daemon;
pub mod fleet;
pub mod objects;
pub mod process;
pub mod stand_in;

use std::time::{Duration, Instant};

/// Maximum time to wait for a change that the fleet makes on its own.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds; panics with `description` if it does not hold within `timeout`.
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
