//! Roll-outs of good and bad versions.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, Quality,
    evidence::Evidence,
    health::Ended,
    peers::{RolloutReport, TableState},
    rollout::Arm,
};
use platform::orders::RolloutState;
use serde_json::json;

use crate::support::{
    LIMITS, address, ask, hear, heartbeat, order, place, ready, row, upstream_with,
};

/// The time of the roll-outs.
const WITHIN: Duration = Duration::from_secs(120);
/// Seconds after which all sessions have moved.
const MOVED: f64 = 112.0;

/// A pool of two versions whose move from v1 to v2 was ordered at `start`.
fn rolling(start: Instant) -> Dispatcher {
    rolling_within(WITHIN, start)
}

/// The same, with a time of its own.
fn rolling_within(within: Duration, start: Instant) -> Dispatcher {
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

/// The same, where a first request has shown that the new version has an upstream.
fn rolling_with_new_seen(start: Instant) -> Dispatcher {
    let mut dispatcher = rolling(start);
    run(&mut dispatcher, 0..1, Quality::Good, start);
    dispatcher
}

fn start_rollout(dispatcher: &mut Dispatcher, within: Duration, now: Instant) {
    let value = json!({"service": "pool", "target": "v2", "duration_s": within.as_secs()});
    order(dispatcher, &row("rollout/pool", 2, Some(value)), now);
}

/// Runs `count` requests of sessions of their own at a moment; the new version answers with
/// `quality`. Returns how many ran on the new version.
fn run(
    dispatcher: &mut Dispatcher,
    sessions: std::ops::Range<u64>,
    quality: Quality,
    now: Instant,
) -> usize {
    let mut on_new = 0;
    for session in sessions {
        let ticket = place(dispatcher, &ask(session), now);
        let new = ticket.arm == Some(Arm::New);
        on_new += usize::from(new);
        dispatcher.judge(&ticket, if new { quality } else { Quality::Good }, now);
        dispatcher.finish(&ticket, Ended::Served, now);
    }
    on_new
}

fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

#[test]
fn small_share_at_first_and_all_at_the_end() {
    let start = Instant::now();
    let mut dispatcher = rolling(start);
    assert_eq!(
        run(&mut dispatcher, 0..500, Quality::Good, start),
        0,
        "sessions are gathered first"
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

/// A version that fails only under a load that the day does not reach looks like a good one.
#[test]
fn exposure_stays_allowed_where_no_fault_shows() {
    for within in [16, 24, 120] {
        let start = Instant::now();
        let mut dispatcher = rolling_within(Duration::from_secs(within), start);
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
fn session_seen_before_the_order_stays_in_the_first_half() {
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

/// Another daemon saw the sessions; its heartbeat says which of them stay.
#[test]
fn session_seen_by_another_daemon_stays_too() {
    let start = Instant::now();
    let mut other = rolling(start);
    run(&mut other, 0..500, Quality::Good, start);
    let mut told = heartbeat("front-2", TableState::Answers);
    told.rollouts = other
        .heartbeat(address(1), told.readiness, Duration::from_secs(1), start)
        .rollouts;
    let mut dispatcher = rolling(start);
    run(&mut dispatcher, 9_000..9_001, Quality::Good, start);
    hear(&mut dispatcher, &[told], start);
    assert_eq!(
        run(&mut dispatcher, 0..500, Quality::Good, at(start, 3.0)),
        0
    );
}

#[test]
fn failing_version_is_rolled_back_and_gets_nothing_more() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
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

/// Found by filmverde scale-2: five upstreams crashed, and a good version was rolled back.
#[test]
fn crash_says_nothing_of_the_version() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
    run(
        &mut dispatcher,
        1_000..1_200,
        Quality::Broken,
        at(start, 4.0),
    );
    dispatcher.died("new", at(start, 4.2));
    dispatcher.tick(at(start, 6.0));
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)), []);
}

#[test]
fn breaks_of_a_living_upstream_condemn_its_version() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
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
    let mut dispatcher = rolling_with_new_seen(start);
    for session in 1_000..1_400 {
        let now = at(start, 6.0);
        let mut ticket = place(&mut dispatcher, &ask(session), now);
        let took = match ticket.arm {
            Some(Arm::New) => Duration::from_millis(800),
            _ => Duration::from_millis(100),
        };
        dispatcher.begun(&mut ticket, took);
        dispatcher.finish(&ticket, Ended::Served, now);
    }
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)).len(), 1);
}

/// Streams of both versions in the first half, with the pauses between their events.
fn stream(dispatcher: &mut Dispatcher, old: &[u64], new: &[u64], now: Instant) {
    for (session, i) in (1_000..2_000).zip(0..) {
        let mut ticket = place(dispatcher, &ask(session), now);
        let pauses = match ticket.arm {
            Some(Arm::New) => new,
            _ => old,
        };
        let pause = Duration::from_millis(pauses[i % pauses.len()]);
        dispatcher.begun(&mut ticket, Duration::from_millis(100));
        dispatcher.paced(&ticket, pause, now);
        dispatcher.finish(&ticket, Ended::Served, now);
    }
}

/// The old version has so much to do that its slower streams are as slow as the new version's.
#[test]
fn slow_version_is_told_beside_a_loaded_old_one() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
    stream(
        &mut dispatcher,
        &[40, 60, 90, 160, 300],
        &[130, 160, 300],
        at(start, 6.0),
    );
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)).len(), 1);
}

#[test]
fn good_version_is_not_condemned_by_some_slow_streams() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
    stream(
        &mut dispatcher,
        &[40, 60, 90],
        &[45, 160, 300, 300],
        at(start, 6.0),
    );
    assert_eq!(dispatcher.decide_rollouts(at(start, 6.0)), []);
}

/// Once all sessions have moved, the new version is slower because it has all the load.
#[test]
fn pace_under_the_load_of_all_sessions_says_nothing() {
    let start = Instant::now();
    let mut dispatcher = rolling_with_new_seen(start);
    stream(
        &mut dispatcher,
        &[40, 60, 90],
        &[40, 60, 90],
        at(start, 6.0),
    );
    let moved = at(start, MOVED);
    stream(&mut dispatcher, &[300], &[300], moved);
    assert_eq!(dispatcher.decide_rollouts(moved), []);
}

/// Requests of a daemon that was killed hold nothing up once it has started anew.
#[test]
fn requests_of_an_earlier_incarnation_do_not_hold_up_completion() {
    let start = Instant::now();
    let mut dispatcher = rolling(start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    let ended = at(start, MOVED + 0.5);
    for (incarnation, running_old) in [(1, 3), (2, 0)] {
        let mut said = heartbeat("front-2", TableState::Answers);
        said.from.incarnation = incarnation;
        said.rollouts = vec![RolloutReport {
            service: "pool".into(),
            order: 2,
            state: RolloutState::Running,
            recorded: None,
            elapsed: Duration::from_secs_f64(MOVED + 0.5),
            evidence: Evidence {
                running_old,
                ..Evidence::default()
            },
            bound: Vec::new(),
        }];
        hear(&mut dispatcher, &[said], ended);
        assert_eq!(dispatcher.decide_rollouts(ended), []);
    }
    let decided = dispatcher.decide_rollouts(ended + LIMITS.session_time);
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

/// Sessions of the old version end before the roll-out is completed, but not beyond its time.
#[test]
fn good_version_is_completed_after_the_last_session() {
    let start = Instant::now();
    let mut dispatcher = rolling(start);
    let busy = place(&mut dispatcher, &ask(1), start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    assert_eq!(dispatcher.decide_rollouts(at(start, MOVED + 0.5)), []);
    dispatcher.finish(&busy, Ended::Served, at(start, MOVED + 0.5));
    let ended = at(start, MOVED + 0.6);
    assert_eq!(dispatcher.decide_rollouts(ended), []);
    let decided = dispatcher.decide_rollouts(ended + LIMITS.session_time);
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

#[test]
fn long_request_does_not_hold_up_completion_beyond_the_time() {
    let start = Instant::now();
    let mut dispatcher = rolling(start);
    place(&mut dispatcher, &ask(1), start);
    run(&mut dispatcher, 0..1, Quality::Good, at(start, MOVED));
    let decided = dispatcher.decide_rollouts(start + WITHIN.mul_f64(0.98));
    assert_eq!(decided, [("pool".into(), RolloutState::Completed)]);
}

/// The first daemon by name is turned away by the table; another one writes the decision.
#[test]
fn daemon_without_the_table_is_not_the_first_to_write() {
    let now = Instant::now();
    let mut dispatcher = rolling(now);
    let before = |table| heartbeat("front-0", table);
    hear(&mut dispatcher, &[before(TableState::Answers)], now);
    assert_eq!(dispatcher.turn(now), 1);
    hear(&mut dispatcher, &[before(TableState::Lost)], now);
    assert_eq!(dispatcher.turn(now), 0);
    let after = heartbeat("front-2", TableState::NotAsked);
    hear(&mut dispatcher, &[after], now);
    assert_eq!(dispatcher.turn(now), 0);
    dispatcher.table_lost(now);
    assert_eq!(dispatcher.turn(now), 1);
}

/// Who hears that the table has a decision does not write it once more.
#[test]
fn record_that_another_daemon_wrote_is_known() {
    let now = Instant::now();
    let mut dispatcher = rolling(now);
    dispatcher.note_recorded("pool", 2, RolloutState::Running);
    let mut said = heartbeat("front-2", TableState::Answers);
    said.rollouts = dispatcher
        .heartbeat(address(1), said.readiness, Duration::ZERO, now)
        .rollouts;
    let mut other = rolling(now);
    hear(&mut other, &[said], now);
    let recorded: Vec<_> = other.rollouts().map(|(_, r)| r.recorded).collect();
    assert_eq!(recorded, [Some(RolloutState::Running)]);
}
