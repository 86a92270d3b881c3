//! Daemons that decide a rollout in different ways.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, heartbeat::RolloutReport, heartbeat::TableState, rollout::Arm,
};
use platform::orders::RolloutState;
use serde_json::json;

use crate::support::{
    assign, heartbeat, order, ready, receive_heartbeat, request, row, upstream_with, version_of,
};

/// Duration of the rollouts.
const WITHIN: Duration = Duration::from_secs(20);
/// Time between two checks for decisions.
const TICK: Duration = Duration::from_millis(250);
/// Row version of the order.
const ORDER: u64 = 2;

/// Returns a daemon with both versions of the pool and a rollout that was ordered at `start`.
fn rolling(start: Instant) -> Dispatcher {
    let many = ("slots", json!(100_000));
    let old = upstream_with("old", 1, std::slice::from_ref(&many));
    let new = upstream_with("new", 3, &[many, ("version", json!("v2"))]);
    let mut dispatcher = ready(&[old], start);
    let value = json!({"service": "pool", "target": "v2", "duration_s": WITHIN.as_secs()});
    order(
        &mut dispatcher,
        &row("rollout/pool", ORDER, Some(value)),
        start,
    );
    dispatcher.registry.apply(&[new], start);
    assign(&mut dispatcher, &request(0), start);
    dispatcher
}

/// Runs until `until` without hearing from any peer.
fn run_alone(dispatcher: &mut Dispatcher, start: Instant, until: Instant) {
    let mut now = start;
    while now < until {
        now += TICK;
        dispatcher.tick(now);
        dispatcher.decide_rollouts(now);
    }
}

fn state(dispatcher: &Dispatcher) -> RolloutState {
    let (_, rollout) = dispatcher.rollouts().next().expect("a rollout");
    rollout.state
}

fn report(state: RolloutState, recorded: Option<RolloutState>) -> RolloutReport {
    RolloutReport {
        service: "pool".into(),
        order: version_of(ORDER),
        target: "v2".into(),
        state,
        recorded,
        elapsed: WITHIN,
        evidence: Default::default(),
        sticky_sessions: Vec::new(),
    }
}

fn hear(dispatcher: &mut Dispatcher, report: RolloutReport, now: Instant) {
    let mut message = heartbeat("front-2", TableState::Reachable);
    message.rollouts = vec![report];
    receive_heartbeat(dispatcher, &[message], now);
}

/// A daemon that was cut off completed the rollout by the clock, and used the bad version for good.
#[test]
fn rollback_by_others_replaces_a_completion_by_the_clock() {
    let start = Instant::now();
    let end = start + WITHIN;
    let mut dispatcher = rolling(start);
    run_alone(&mut dispatcher, start, end);
    assert_eq!(state(&dispatcher), RolloutState::Completed);
    hear(&mut dispatcher, report(RolloutState::RolledBack, None), end);
    assert_eq!(state(&dispatcher), RolloutState::RolledBack);
    for session in 1..100 {
        let assignment = assign(&mut dispatcher, &request(session), end);
        assert_eq!(assignment.arm, Some(Arm::Old), "session {session}");
    }
    hear(&mut dispatcher, report(RolloutState::Completed, None), end);
    assert_eq!(state(&dispatcher), RolloutState::RolledBack);
}

/// Operators act on the state in the table, so all daemons have to.
#[test]
fn decision_in_the_table_is_final() {
    let start = Instant::now();
    let end = start + WITHIN;
    for (recorded, other) in [
        (RolloutState::Completed, RolloutState::RolledBack),
        (RolloutState::RolledBack, RolloutState::Completed),
    ] {
        // From the table itself.
        let mut dispatcher = rolling(start);
        hear(&mut dispatcher, report(other, None), end);
        assert_eq!(state(&dispatcher), other);
        dispatcher.set_recorded_state("pool", version_of(ORDER), recorded);
        assert_eq!(state(&dispatcher), recorded, "from the table");
        hear(&mut dispatcher, report(other, None), end);
        assert_eq!(state(&dispatcher), recorded, "over a peer's decision");
        // From a peer that has read it.
        let mut dispatcher = rolling(start);
        hear(&mut dispatcher, report(other, None), end);
        hear(&mut dispatcher, report(recorded, Some(recorded)), end);
        assert_eq!(state(&dispatcher), recorded, "from a peer");
    }
}

/// A daemon that was frozen completed the rollout by the clock before it read what it had missed.
#[test]
fn frozen_daemon_hears_its_peers_before_it_completes_a_rollout() {
    let start = Instant::now();
    let frozen_at = start + WITHIN / 4;
    let awake_at = start + WITHIN;
    let mut dispatcher = rolling(start);
    run_alone(&mut dispatcher, start, frozen_at);
    assert!(dispatcher.decide_rollouts(awake_at).is_empty());
    hear(
        &mut dispatcher,
        report(RolloutState::RolledBack, None),
        awake_at + TICK,
    );
    assert_eq!(state(&dispatcher), RolloutState::RolledBack);
    // Without news it completes a little later.
    let mut dispatcher = rolling(start);
    run_alone(&mut dispatcher, start, frozen_at);
    run_alone(&mut dispatcher, awake_at, awake_at + 5 * TICK);
    assert_eq!(state(&dispatcher), RolloutState::Completed);
}

/// Orders and upstreams come in tables of their own. A daemon that got the upstreams of the new version,
/// but not the order, sent them requests after 3 s.
#[test]
fn new_version_is_not_used_before_its_order_is_read() {
    let start = Instant::now();
    let many = ("slots", json!(100_000));
    let old = upstream_with("old", 1, std::slice::from_ref(&many));
    let new = upstream_with("new", 3, &[many, ("version", json!("v2"))]);
    for (known, version) in [
        (RolloutState::Running, "v1"),
        (RolloutState::RolledBack, "v1"),
    ] {
        let mut dispatcher = ready(std::slice::from_ref(&old), start);
        let later = start + WITHIN;
        dispatcher.registry.apply(std::slice::from_ref(&new), start);
        hear(&mut dispatcher, report(known, None), start);
        for session in 0..100 {
            let assignment = assign(&mut dispatcher, &request(session), later);
            assert_eq!(assignment.version, version, "{known:?}");
        }
    }
    // The old upstreams leave after a completion, and nothing else is left.
    let mut dispatcher = ready(&[old], start);
    dispatcher.registry.apply(&[new], start);
    hear(
        &mut dispatcher,
        report(RolloutState::Completed, None),
        start,
    );
    dispatcher.registry.apply(&[row("old", 4, None)], start);
    assign(&mut dispatcher, &request(1), start);
}
