//! Checks that the control traffic of a daemon does not grow with the fleet.

use std::time::{Duration, Instant};

use crate::control_network::{ControlNetwork, Traffic};

/// Time until each daemon's heartbeats show the load.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);
/// Time in which messages are counted, the longest time between two full states of loads.
const COUNTING_TIME: Duration = Duration::from_secs(2);
/// Bytes that a daemon of a fleet of 300 may send for each byte of one in a fleet of 30.
const MAX_GROWTH: f64 = 2.0;

/// Returns what a daemon of a fleet of this size sends in a second on average, and prints it by kind.
fn bytes_per_second(size: usize) -> f64 {
    let started = Instant::now();
    let mut network = ControlNetwork::new(size);
    network.run(SETTLING_TIME);
    network.traffic = Traffic::default();
    network.run(COUNTING_TIME);
    let per_daemon = |count: usize| count as f64 / (size as f64 * COUNTING_TIME.as_secs_f64());
    println!("{size} daemons (played in {:?})", started.elapsed());
    for (kind, count) in &network.traffic.datagrams {
        println!("  {kind}: {:.1} datagrams/s", per_daemon(*count));
    }
    for (content, bytes) in &network.traffic.bytes {
        println!("  {content}: {:.0} B/s", per_daemon(*bytes));
    }
    let total = per_daemon(network.traffic.total());
    println!("  total: {total:.0} B/s");
    total
}

/// The sender's loads and the signs of life of an eighth of the fleet went to every daemon.
#[test]
fn control_bytes_of_a_daemon_at_most_double_from_30_to_300_daemons() {
    let small = bytes_per_second(30);
    for size in [100, 300] {
        let large = bytes_per_second(size);
        assert!(
            large <= MAX_GROWTH * small,
            "{size} daemons: {large:.0} B/s, 30 daemons: {small:.0} B/s"
        );
    }
}

/// Bytes that a daemon of a small fleet sent in a second at commit 8065376, by the size of the fleet.
const SMALL_FLEET_BYTES: [(usize, f64); 4] =
    [(2, 859.0), (8, 6_465.0), (14, 13_253.0), (20, 21_539.0)];

#[test]
fn fleet_of_up_to_20_daemons_sends_no_more_bytes_than_before() {
    for (size, before) in SMALL_FLEET_BYTES {
        let now = bytes_per_second(size);
        assert!(now <= before, "{size} daemons: {now:.0} B/s");
    }
}
