//! Daemons whose connections to upstreams are accepted but carry no data, in virtual time.
//!
//! Guards against two failures: a daemon with such links that goes on sending its callers' requests into
//! them, and a daemon that takes slow or busy upstreams for a loss of its links.

use std::time::{Duration, Instant};

use hibiscusyoke::{coordination::dispatch::heartbeat::Links, protocol::codec};

use crate::{
    silent_fleet::{Fleet, PERIOD, REQUEST_INTERVAL, Upstreams},
    support::{order, row, upstream_with},
};

/// Time from the onset until callers of a cut daemon must be served like others (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time from the end until all daemons serve for themselves again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Maximum number of probes of a daemon in a second.
const MAX_PROBES_PER_SECOND: usize = 8;
/// Least share of the rate at which other daemons serve first attempts.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Silences the links of the first `cut` daemons and checks the bounds.
fn check_cut(size: usize, cut: usize, interval: Duration) {
    let mut fleet = Fleet::new(size, Upstreams::Fast);
    for daemon in &mut fleet.daemons {
        daemon.interval = interval;
    }
    fleet.run(Duration::from_secs(3));
    for daemon in &mut fleet.daemons[..cut] {
        daemon.is_silent = true;
    }
    fleet.run(CONTACT_TIME);
    let counts = fleet.run(Duration::from_secs(6));
    let others = counts[cut..].iter().map(|c| c.share()).sum::<f64>() / (size - cut) as f64;
    for count in &counts[..cut] {
        assert!(
            count.share() >= MIN_SERVED_SHARE * others,
            "{count:?} {others}"
        );
    }
    for daemon in &mut fleet.daemons {
        assert_eq!(daemon.was_cut_off, daemon.is_silent);
        daemon.is_silent = false;
    }
    fleet.run(RECOVERY_TIME);
    for count in fleet.run(Duration::from_secs(3)) {
        assert_eq!((count.served, count.delegated), (count.sent, 0));
    }
    let now = fleet.now;
    for daemon in &mut fleet.daemons {
        let probes = &daemon.probed_at;
        let within = |from: &Instant| {
            let is_in = |at: &&Instant| **at >= *from && **at - *from < Duration::from_secs(1);
            probes.iter().filter(is_in).count()
        };
        let busiest = probes.iter().map(within).max().unwrap_or_default();
        assert!(busiest <= MAX_PROBES_PER_SECOND, "{busiest} probes");
        assert!(daemon.failure_rates(now) < 0.01, "own loss counts");
        assert!(daemon.dispatcher.take_presumed_cold().is_empty());
        assert!(daemon.dispatcher.poison.take_findings().is_empty());
    }
}

/// A daemon that sends its requests into silent links served none of them.
#[test]
fn daemons_with_silent_links_are_served_by_others() {
    for (size, cut) in [(3, 1), (3, 2), (24, 8), (24, 16)] {
        check_cut(size, cut, REQUEST_INTERVAL);
    }
}

/// Each daemon of a large fleet sees few requests and hears from each of the others only now and then.
#[test]
fn daemons_of_a_large_fleet_are_served_by_others() {
    check_cut(86, 29, Duration::from_millis(250));
}

/// Failures into silent links count against no upstream when the links work again.
#[test]
fn own_loss_leaves_no_failure_rate() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(2));
    fleet.daemons[0].is_silent = true;
    fleet.run(Duration::from_secs(6));
    fleet.daemons[0].is_silent = false;
    while fleet.daemons[0].dispatcher.reachability.is_cut_off() {
        fleet.run(PERIOD);
    }
    assert!(fleet.daemons[0].was_cut_off);
    let rate = fleet.daemons[0].failure_rates(fleet.now);
    assert!(rate < 0.01, "{rate}");
}

/// An upstream that answers nothing is not a loss of the links.
#[test]
fn one_slow_upstream_is_not_taken_for_a_cut() {
    for size in [3, 24] {
        let mut fleet = Fleet::new(size, Upstreams::OneSlow);
        fleet.run(Duration::from_secs(15));
        assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
    }
}

/// Upstreams whose first events take seconds are not a loss of the links, neither of busy daemons nor of
/// one that sends a request now and then.
#[test]
fn busy_upstreams_are_not_taken_for_a_cut() {
    for (size, seconds) in [(3, 2), (3, 3), (24, 3)] {
        let mut fleet = Fleet::new(size, Upstreams::Busy(Duration::from_secs(seconds)));
        fleet.daemons[0].interval = Duration::from_millis(1_900);
        fleet.run(Duration::from_secs(20));
        assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
    }
}

/// The same if the times differ, so that others are answered sooner by chance.
#[test]
fn unevenly_busy_upstreams_are_not_taken_for_a_cut() {
    for size in [3, 24] {
        let mut fleet = Fleet::new(size, Upstreams::Uneven);
        fleet.daemons[0].interval = Duration::from_millis(1_900);
        fleet.daemons[1].interval = Duration::from_millis(400);
        fleet.run(Duration::from_secs(40));
        assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
    }
}

/// A rollout is not rolled back for answers that this daemon's links lost.
#[test]
fn own_loss_is_no_evidence_in_a_rollout() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    let newer = [("version", "v2".into()), ("slots", 1_000.into())];
    let rows: Vec<_> = (7..10)
        .map(|n| upstream_with(&format!("u{n}"), n, &newer))
        .collect();
    let value = serde_json::json!({"service": "pool", "target": "v2", "duration_s": 20});
    for daemon in &mut fleet.daemons {
        let rollout = row("rollout/pool", 20, Some(value.clone()));
        order(&mut daemon.dispatcher, &rollout, fleet.now);
        daemon.dispatcher.registry.apply(&rows, fleet.now);
    }
    fleet.run(Duration::from_secs(10));
    fleet.daemons[0].is_silent = true;
    fleet.run(Duration::from_secs(6));
    assert!(fleet.daemons[0].was_cut_off);
    let mut rollouts = fleet.daemons[0].dispatcher.rollouts();
    let (_, rollout) = rollouts.next().expect("a rollout");
    let evidence = rollout.own_evidence();
    let tallies: Vec<_> = evidence.old.values().chain(evidence.new.values()).collect();
    assert!(tallies.iter().any(|tally| tally.answers > 0));
    let against: u32 = tallies.iter().map(|tally| tally.bad + tally.slow).sum();
    assert_eq!(against, 0);
}

/// Fleets in which no daemon suspects a loss must not send more bytes than before.
#[test]
fn calm_links_take_one_byte_of_a_heartbeat() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(3));
    let links = fleet.heartbeat(0).links;
    let encoded = codec::encode(&links).expect("encoded");
    let before = codec::encode(&false).expect("encoded");
    assert_eq!((encoded.len(), links), (before.len(), Links::Working));
}

/// If all daemons lose all upstreams, no other daemon can serve, and nobody takes the loss for its own.
#[test]
fn upstreams_that_are_silent_to_all_daemons_are_not_an_own_loss() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(2));
    for daemon in &mut fleet.daemons {
        daemon.is_silent = true;
    }
    fleet.run(Duration::from_secs(8));
    assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
}

/// Calm daemons send no probes.
#[test]
fn calm_daemons_send_no_probes() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.daemons.iter().all(|d| d.probed_at.is_empty()));
}
