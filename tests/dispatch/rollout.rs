//! Tests of rollouts of good and bad versions.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, Quality, RolloutStatus,
    evidence::Evidence,
    health::AttemptOutcome,
    heartbeat::{RolloutReport, TableState},
    rollout::Arm,
};
use platform::orders::RolloutState;
use serde_json::json;

use crate::support::{
    LIMITS, address, assign, heartbeat, order, ready, receive_heartbeat, request, row,
    upstream_with, version_of,
};

/// Duration of the rollouts.
const WITHIN: Duration = Duration::from_secs(120);
/// Seconds after which all sessions have moved.
const MOVED: f64 = 112.0;

/// Creates a pool with two versions and a rollout from v1 to v2 that was ordered at `start`.
fn start_rolling_pool(start: Instant) -> Dispatcher {
    start_rolling_pool_within(WITHIN, start)
}

/// The same, with a given duration.
fn start_rolling_pool_within(within: Duration, start: Instant) -> Dispatcher {
    let many = ("slots", json!(100_000));
    let mut dispatcher = ready(
        &[upstream_with("old", 1, std::slice::from_ref(&many))],
        start,
    );
    start_rollout(&mut dispatcher, within, start);
    let newer = upstream_with("new", 3, &[many, ("version", json!("v2"))]);
    dispatcher.registry.apply(&[newer], start);
    dispatcher
}

/// The same, after a first request that detected an upstream of the new version.
fn start_rolling_pool_with_new_version(start: Instant) -> Dispatcher {
    let mut dispatcher = start_rolling_pool(start);
    run(&mut dispatcher, 0..1, Quality::Good, start);
    dispatcher
}

fn start_rollout(dispatcher: &mut Dispatcher, within: Duration, now: Instant) {
    let value = json!({"service": "pool", "target": "v2", "duration_s": within.as_secs()});
    order(dispatcher, &row("rollout/pool", 2, Some(value)), now);
}

/// Runs one request for each session at a given time; the new version responds with `quality`.
/// Returns how many ran on the new version.
fn run(
    dispatcher: &mut Dispatcher,
    sessions: std::ops::Range<u64>,
    quality: Quality,
    now: Instant,
) -> usize {
    let mut on_new = 0;
    for session in sessions {
        let assignment = assign(dispatcher, &request(session), now);
        let new = assignment.arm == Some(Arm::New);
        on_new += usize::from(new);
        dispatcher.record_quality(&assignment, if new { quality } else { Quality::Good }, now);
        dispatcher.release(&assignment, AttemptOutcome::Served, now);
    }
    on_new
}

fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

#[test]
fn trial_share_first_and_all_sessions_at_the_end() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool(start);
    assert_eq!(
        run(&mut dispatcher, 0..500, Quality::Good, start),
        0,
        "sessions are collected before the trial"
    );
    let first = run(&mut dispatcher, 1_000..3_000, Quality::Good, at(start, 4.0));
    assert!((50..150).contains(&first), "{first} of 2000");
    assert_eq!(
        run(
            &mut dispatcher,
            5_000..5_500,
            Quality::Good,
            at(start, MOVED)
        ),
        500
    );
}

/// A version that fails only under a load that does not occur is indistinguishable from a good one.
/// Its exposure must stay within the limit all the same.
#[test]
fn exposure_stays_within_the_limit_when_no_fault_appears() {
    for within in [16, 24, 120] {
        let start = Instant::now();
        let mut dispatcher = start_rolling_pool_within(Duration::from_secs(within), start);
        let mut new = 0;
        let mut all = 0;
        for tick in 0..within * 50 {
            let now = start + Duration::from_millis(tick * 20);
            new += run(&mut dispatcher, tick..tick + 1, Quality::Good, now);
            all += 1;
        }
        let allowed = f64::from(all) * LIMITS.exposure;
        assert!((new as f64) < allowed, "{new} of {all} in {within} s");
        dispatcher.decide_rollouts(start + Duration::from_secs(within));
        let states: Vec<RolloutState> = dispatcher.rollouts().map(|(_, r)| r.state).collect();
        assert_eq!(states, [RolloutState::Completed], "within {within} s");
    }
}

#[test]
fn session_seen_before_the_order_stays_on_the_old_version() {
    let start = Instant::now();
    let mut dispatcher = ready(
        &[upstream_with("old", 1, &[("slots", json!(100_000))])],
        start,
    );
    run(&mut dispatcher, 0..500, Quality::Good, start);
    start_rollout(&mut dispatcher, WITHIN, start);
    let newer = upstream_with("new", 3, &[("version", json!("v2"))]);
    dispatcher.registry.apply(&[newer], start);
    assert_eq!(
        run(&mut dispatcher, 0..500, Quality::Good, at(start, 3.0)),
        0
    );
}

/// Another daemon saw the sessions and lists them as sticky in its heartbeat.
#[test]
fn session_seen_by_another_daemon_stays_on_the_old_version() {
    let start = Instant::now();
    let mut other = start_rolling_pool(start);
    run(&mut other, 0..500, Quality::Good, start);
    let mut received = heartbeat("front-2", TableState::Reachable);
    received.rollouts = other
        .heartbeat(
            address(1),
            received.readiness,
            Duration::from_secs(1),
            start,
        )
        .rollouts;
    let mut dispatcher = start_rolling_pool(start);
    run(&mut dispatcher, 9_000..9_001, Quality::Good, start);
    receive_heartbeat(&mut dispatcher, &[received], start);
    assert_eq!(
        run(&mut dispatcher, 0..500, Quality::Good, at(start, 3.0)),
        0
    );
}

#[test]
fn failing_version_is_rolled_back_and_gets_no_more_requests() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    let exposed = run(
        &mut dispatcher,
        1_000..1_100,
        Quality::Failed,
        at(start, 4.0),
    );
    assert!(exposed >= 4, "{exposed}");
    let decided = dispatcher.decide_rollouts(at(start, 4.0));
    assert_eq!(decided, [("pool".into(), RolloutState::RolledBack)]);
    assert_eq!(
        run(
            &mut dispatcher,
            2_000..3_000,
            Quality::Good,
            at(start, 20.0)
        ),
        0
    );
}

/// Five upstreams crashed at once, and a good version was rolled back (scenario filmverde scale-2).
#[test]
fn crash_is_not_evidence_against_the_version() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    run(
        &mut dispatcher,
        1_000..1_200,
        Quality::Broken,
        at(start, 4.0),
    );
    dispatcher.upstream_stopped("new", at(start, 4.2));
    dispatcher.tick(at(start, 6.0));
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)), []);
}

#[test]
fn broken_connections_of_a_live_upstream_roll_back_its_version() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    run(
        &mut dispatcher,
        1_000..1_200,
        Quality::Broken,
        at(start, 4.0),
    );
    dispatcher.tick(at(start, 6.0));
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)).len(), 1);
}

#[test]
fn slow_version_is_rolled_back() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    for session in 1_000..1_400 {
        let now = at(start, 6.0);
        let mut assignment = assign(&mut dispatcher, &request(session), now);
        let took = match assignment.arm {
            Some(Arm::New) => Duration::from_millis(800),
            _ => Duration::from_millis(100),
        };
        dispatcher.response_started(&mut assignment, took);
        dispatcher.release(&assignment, AttemptOutcome::Served, now);
    }
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)).len(), 1);
}

/// Runs streams on both versions during the trial, with the given times between events in
/// milliseconds.
fn run_streams(dispatcher: &mut Dispatcher, old: &[u64], new: &[u64], now: Instant) {
    for (session, i) in (1_000..2_000).zip(0..) {
        let mut assignment = assign(dispatcher, &request(session), now);
        let event_intervals = match assignment.arm {
            Some(Arm::New) => new,
            _ => old,
        };
        let event_interval = Duration::from_millis(event_intervals[i % event_intervals.len()]);
        dispatcher.response_started(&mut assignment, Duration::from_millis(100));
        dispatcher.record_pace(&assignment, event_interval, now);
        dispatcher.release(&assignment, AttemptOutcome::Served, now);
    }
}

/// The old version is so loaded that its slower streams have the same pace as the new version's.
#[test]
fn slow_version_is_detected_beside_a_loaded_old_one() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    run_streams(
        &mut dispatcher,
        &[40, 60, 90, 160, 300],
        &[130, 160, 300],
        at(start, 6.0),
    );
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)).len(), 1);
}

#[test]
fn good_version_is_not_rolled_back_for_some_slow_streams() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    run_streams(
        &mut dispatcher,
        &[40, 60, 90],
        &[45, 160, 300, 300],
        at(start, 6.0),
    );
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)), []);
}

/// After all sessions have moved, the new version is slower because it has all the load.
#[test]
fn pace_is_ignored_after_all_sessions_have_moved() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool_with_new_version(start);
    run_streams(
        &mut dispatcher,
        &[40, 60, 90],
        &[40, 60, 90],
        at(start, 6.0),
    );
    let moved = at(start, MOVED);
    run_streams(&mut dispatcher, &[300], &[300], moved);
    assert_eq!(dispatcher.decide_rollouts(moved), []);
}

/// Requests of a crashed daemon must not delay completion once the daemon has restarted.
#[test]
fn requests_of_an_earlier_incarnation_do_not_delay_completion() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool(start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    let ended = at(start, MOVED + 0.5);
    for (incarnation, running_old) in [(1, 3), (2, 0)] {
        let mut message = heartbeat("front-2", TableState::Reachable);
        message.from.incarnation = incarnation;
        message.rollouts = vec![RolloutReport {
            service: "pool".into(),
            order: version_of(2),
            target: "v2".into(),
            state: RolloutState::Running,
            recorded: None,
            elapsed: Duration::from_secs_f64(MOVED + 0.5),
            evidence: Evidence {
                running_old,
                ..Evidence::default()
            },
            sticky_sessions: Vec::new(),
        }];
        receive_heartbeat(&mut dispatcher, &[message], ended);
        assert_eq!(dispatcher.decide_rollouts(ended), []);
    }
    let decided = dispatcher.decide_rollouts(ended + LIMITS.session_timeout);
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

/// The rollout completes after the last session on the old version has ended.
#[test]
fn good_version_completes_after_the_last_session() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool(start);
    let busy = assign(&mut dispatcher, &request(1), start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    assert_eq!(dispatcher.decide_rollouts(at(start, MOVED + 0.5)), []);
    dispatcher.release(&busy, AttemptOutcome::Served, at(start, MOVED + 0.5));
    let ended = at(start, MOVED + 0.6);
    assert_eq!(dispatcher.decide_rollouts(ended), []);
    let decided = dispatcher.decide_rollouts(ended + LIMITS.session_timeout);
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

#[test]
fn long_request_does_not_delay_completion_past_the_deadline() {
    let start = Instant::now();
    let mut dispatcher = start_rolling_pool(start);
    assign(&mut dispatcher, &request(1), start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    let decided = dispatcher.decide_rollouts(start + WITHIN.mul_f64(0.98));
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

/// The first daemon by name has lost connectivity to the table, so another one writes the decision.
#[test]
fn daemon_without_table_connectivity_does_not_write_first() {
    let now = Instant::now();
    let mut dispatcher = start_rolling_pool(now);
    let before = |table| heartbeat("front-0", table);
    receive_heartbeat(&mut dispatcher, &[before(TableState::Reachable)], now);
    assert_eq!(dispatcher.writer_rank(now), 1);
    receive_heartbeat(&mut dispatcher, &[before(TableState::Lost)], now);
    assert_eq!(dispatcher.writer_rank(now), 0);
    let after = heartbeat("front-2", TableState::NotPolled);
    receive_heartbeat(&mut dispatcher, &[after], now);
    assert_eq!(dispatcher.writer_rank(now), 0);
    dispatcher.table_lost(now);
    assert_eq!(dispatcher.writer_rank(now), 1);
}

/// A decision that is already recorded in the table is not written again by other daemons.
#[test]
fn record_written_by_another_daemon_is_merged() {
    let now = Instant::now();
    let mut dispatcher = start_rolling_pool(now);
    dispatcher.set_recorded_state("pool", version_of(2), RolloutState::Running);
    let mut message = heartbeat("front-2", TableState::Reachable);
    message.rollouts = dispatcher
        .heartbeat(address(1), message.readiness, Duration::ZERO, now)
        .rollouts;
    let mut other = start_rolling_pool(now);
    receive_heartbeat(&mut other, &[message], now);
    let recorded: Vec<_> = other.rollouts().map(|(_, r)| r.recorded).collect();
    assert_eq!(recorded, [Some(RolloutState::Running)]);
}

/// A daemon may read the record of a rollout before its order.
#[test]
fn decision_that_is_known_before_the_order_stays() {
    let start = Instant::now();
    for (order_read, expected) in [
        (2, RolloutState::Completed),
        // An older record says nothing about a later order.
        (1, RolloutState::Running),
    ] {
        let mut dispatcher = ready(&[], start);
        let known = RolloutStatus {
            service: "pool".into(),
            order: version_of(order_read),
            target: None,
            state: RolloutState::Completed,
            elapsed: WITHIN,
        };
        dispatcher.merge_rollout_status(known, start);
        start_rollout(&mut dispatcher, WITHIN, start);
        let (_, rollout) = dispatcher.rollouts().next().expect("a rollout");
        assert_eq!(rollout.state, expected);
    }
}
