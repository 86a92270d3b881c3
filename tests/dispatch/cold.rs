//! Tests that cold upstreams which restart together stay within their rate limit.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, Placement,
    cold::{RateShare, rate_share},
    health::AttemptOutcome,
    heartbeat::{Heartbeat, TableState},
};
use serde_json::json;

use crate::support::{
    LIMITS, configuration, daemon, heartbeat, order, request, upstream, upstream_with,
};

/// Maximum requests per second that operators allow, over all daemons.
const MAX_PER_SECOND: f64 = 16.0 * 1.5 + 5.0;

#[test]
fn shares_of_all_daemons_stay_within_the_rate() {
    for daemons in 1..=400 {
        let sum: f64 = (0..daemons)
            .map(|rank| match rate_share(16.0, rank, daemons) {
                RateShare::None => 0.0,
                // The first request is sent at once, the others at the rate.
                RateShare::Rate(rate) => rate + 1.0,
            })
            .sum();
        assert!(
            sum <= MAX_PER_SECOND,
            "{sum} a second from {daemons} daemons"
        );
    }
}

/// Eight daemons send to two cold upstreams as fast as allowed. The sum stays within the limit in
/// any second.
#[test]
fn concurrent_daemons_stay_within_the_cold_rate() {
    let start = Instant::now();
    let cold = [("cold_remaining_ms", json!(3_000)), ("slots", json!(512))];
    let rows = [upstream_with("u1", 1, &cold), upstream_with("u2", 2, &cold)];
    let names: Vec<String> = (1..=8).map(|i| format!("front-{i}")).collect();
    let heartbeats: Vec<Heartbeat> = names
        .iter()
        .map(|n| heartbeat(n, TableState::Reachable))
        .collect();
    let mut daemons: Vec<Dispatcher> = names
        .iter()
        .map(|name| {
            let mut dispatcher = Dispatcher::new(daemon(name), "a".into(), LIMITS, 1);
            order(&mut dispatcher, &configuration(1), start);
            dispatcher.registry.replace(&rows, start);
            crate::support::receive_heartbeat(&mut dispatcher, &heartbeats, start);
            dispatcher
        })
        .collect();
    let mut sent: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for ms in (0..3_000).step_by(5) {
        let now = start + Duration::from_millis(ms);
        for dispatcher in &mut daemons {
            if let Placement::Assigned(assignment) = dispatcher.select_upstream(&request(ms), now) {
                sent.entry(assignment.upstream.to_string())
                    .or_default()
                    .push(ms);
                dispatcher.release(&assignment, AttemptOutcome::Served, now);
            }
        }
    }
    for (upstream, times) in sent {
        for from in (0..2_000).step_by(50) {
            let n = times
                .iter()
                .filter(|ms| (from..from + 1_000).contains(*ms))
                .count();
            assert!(n as f64 <= MAX_PER_SECOND, "{n} in a second at {upstream}");
        }
        assert!(
            times.len() > 30,
            "too few requests at {upstream}: {}",
            times.len()
        );
    }
}

/// An upstream that refused connections may have restarted undetected, so other daemons mark it
/// cold too.
#[test]
fn unreachable_upstream_is_cold_for_all_daemons() {
    let start = Instant::now();
    let mut dispatcher = crate::support::ready(&[upstream("u1", 1, "ready")], start);
    let mut other = crate::support::ready(&[upstream("u1", 1, "ready")], start);
    let assignment = crate::support::assign(&mut other, &request(1), start);
    other.release(&assignment, AttemptOutcome::Unreachable, start);
    let mut received = heartbeat("front-2", TableState::Reachable);
    received.loads = other
        .heartbeat(
            crate::support::address(1),
            received.readiness,
            Duration::ZERO,
            start,
        )
        .loads;
    crate::support::receive_heartbeat(&mut dispatcher, &[received], start);
    let upstream = dispatcher.registry.get("u1").expect("listed");
    assert!(upstream.is_cold(start + Duration::from_secs(3)));
}

/// Upstreams of a failure domain may have restarted while it was evacuated.
#[test]
fn restored_domain_is_cold() {
    let start = Instant::now();
    let mut dispatcher = crate::support::ready(&[upstream("u1", 1, "ready")], start);
    let key = "evacuate/a";
    order(
        &mut dispatcher,
        &crate::support::row(key, 2, Some(json!({}))),
        start,
    );
    assert!(matches!(
        dispatcher.select_upstream(&request(1), start),
        Placement::Refuse(..)
    ));
    order(&mut dispatcher, &crate::support::row(key, 3, None), start);
    assert!(
        dispatcher
            .registry
            .get("u1")
            .expect("listed")
            .is_cold(start)
    );
}
