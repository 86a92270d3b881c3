//! Heartbeats between gateways in several failure domains.

use std::time::{Duration, Instant};

use crate::harness::{Gateway, Harness, wait_until};

/// Time in which heartbeats are counted.
const COUNTING_TIME: Duration = Duration::from_secs(3);
/// Maximum time until all gateways know that one has crashed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

/// Returns how many datagrams of a kind a gateway has sent.
async fn datagrams(gateway: &Gateway, kind: &str) -> u64 {
    let series = format!("hibiscusyoke_gateway_datagrams_sent_total{{kind=\"{kind}\"}} ");
    let metrics = gateway.metrics().await;
    let value = metrics.lines().find_map(|line| line.strip_prefix(&series));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// The only gateway of its domain sends its heartbeats to one gateway of the other domain, which
/// forwards them to the rest.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_are_forwarded_within_a_domain() {
    let mut harness = Harness::spawn_with(5, |n, settings| {
        settings["domain"] = if n == 0 { "b" } else { "a" }.into();
    })
    .await;
    let (alone, others) = harness.gateways.split_first().expect("gateways");
    wait_until(|| async { datagrams(alone, "heartbeat_to_forward").await > 0 }).await;
    let (direct, to_forward) = (
        datagrams(alone, "heartbeat").await,
        datagrams(alone, "heartbeat_to_forward").await,
    );
    let counted = Instant::now();
    while counted.elapsed() < COUNTING_TIME {
        for gateway in others {
            assert_eq!(gateway.directory().await.len(), 5);
        }
    }
    assert_eq!(datagrams(alone, "heartbeat").await, direct);
    assert!(datagrams(alone, "heartbeat_to_forward").await >= to_forward + 4);

    alone.signal("KILL");
    let killed = Instant::now();
    for gateway in others {
        wait_until(|| async { gateway.directory().await.len() == 4 }).await;
    }
    assert!(killed.elapsed() < MAX_DETECTION_TIME);
    assert!(!harness.gateways[0].wait_for_exit().await);
}
