//! Polls of the table that are never answered.

use std::time::{Duration, Instant};

use stand_in::gateway::deployment::configuration;

use crate::harness::{Harness, wait_until};

/// Time after its acknowledgement in which a configuration must be in force.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(2);
/// Time after the table's failure in which every daemon must act on what was acknowledged since.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Waits until all gateways apply the configuration; returns the time that it took since `start`.
async fn time_until_applied(harness: &Harness, generation: u64, start: Instant) -> Duration {
    let applied = format!("configuration generation={generation}");
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().contains(&applied) }).await;
    }
    start.elapsed()
}

/// A daemon whose poll was lost did not ask its peers until the poll had timed out.
#[tokio::test(flavor = "multi_thread")]
async fn lost_poll_does_not_delay_a_change_that_peers_have() {
    let harness = Harness::spawn(2).await;
    harness.table.lose_feeds("op", 1);
    wait_until(|| async { harness.table.has_lost_feeds() }).await;
    let acknowledged = Instant::now();
    harness
        .table
        .put("op", "config", &configuration(2, &["k1"]));
    let elapsed = time_until_applied(&harness, 2, acknowledged).await;
    assert!(elapsed <= MAX_CHANGE_TIME, "{elapsed:?}");
}

/// All polls were lost at once, and the fleet missed a change until the first one timed out.
#[tokio::test(flavor = "multi_thread")]
async fn change_after_all_polls_were_lost_is_in_force_in_time() {
    for daemons in [1, 2, 3] {
        let harness = Harness::spawn(usize::from(daemons)).await;
        // Two daemons of a failure domain poll.
        harness.table.lose_feeds("op", u64::from(daemons.min(2_u8)));
        wait_until(|| async { harness.table.has_lost_feeds() }).await;
        let recovered = Instant::now();
        harness
            .table
            .put("op", "config", &configuration(2, &["k1"]));
        let elapsed = time_until_applied(&harness, 2, recovered).await;
        assert!(
            elapsed <= MAX_RECOVERY_TIME,
            "{daemons} daemons: {elapsed:?}"
        );
    }
}
