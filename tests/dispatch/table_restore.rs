//! Tests of decisions after the table was restored from an older copy.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Applied, Dispatcher, NoSlotReason, Placement,
    health::AttemptOutcome,
    heartbeat::{Readiness, RolloutReport, TableState},
    rollout::Arm,
};
use platform::{RowVersion, orders::RolloutState, table::Row};
use serde_json::json;

use crate::support::{
    address, assign, configuration, heartbeat, order, ready, request, row, upstream, upstream_with,
    version_of,
};

/// Returns the row as operators write it again after a restore, under a lower number.
fn written_again(row: Row) -> Row {
    Row {
        version: RowVersion { era: 2, number: 1 },
        ..row
    }
}

fn rollout_order() -> Row {
    let value = json!({"service": "pool", "target": "v2", "duration_s": 60});
    row("rollout/pool", 7, Some(value))
}

/// Returns a dispatcher in the first era with one upstream of each version and a rollout.
fn rolling(now: Instant) -> Dispatcher {
    let mut dispatcher = ready(&[upstream("old", 1, "ready")], now);
    dispatcher.enter_era(1, now);
    order(&mut dispatcher, &rollout_order(), now);
    dispatcher
}

fn state_of(dispatcher: &Dispatcher) -> (RolloutState, Option<RolloutState>) {
    let (_, rollout) = dispatcher.rollouts().next().expect("a rollout");
    (rollout.state, rollout.recorded)
}

#[test]
fn older_configuration_of_a_restored_table_is_ignored() {
    let now = Instant::now();
    let mut dispatcher = ready(&[], now);
    order(&mut dispatcher, &configuration(5), now);
    let older = written_again(configuration(3));
    assert_eq!(order(&mut dispatcher, &older, now), Applied::Nothing);
    let routes = dispatcher.routes().expect("a configuration");
    assert_eq!(routes.configuration().generation, 5);
}

/// A decided rollout was started anew when its order was written again.
#[test]
fn rollout_order_that_is_written_again_keeps_the_decision() {
    let now = Instant::now();
    for state in [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ] {
        let mut dispatcher = rolling(now);
        let mut report = heartbeat("front-2", TableState::Reachable);
        report.table_era = 1;
        report.rollouts = vec![RolloutReport {
            service: "pool".into(),
            order: version_of(7),
            target: "v2".into(),
            state,
            recorded: Some(state),
            elapsed: Duration::from_secs(10),
            evidence: Default::default(),
            sticky_sessions: Vec::new(),
        }];
        dispatcher.receive_heartbeat(report, address(2), now);
        assert_eq!(state_of(&dispatcher), (state, Some(state)));
        assert!(dispatcher.enter_era(2, now));
        let again = written_again(rollout_order());
        assert_eq!(order(&mut dispatcher, &again, now), Applied::Nothing);
        assert_eq!(state_of(&dispatcher), (state, None), "to be recorded again");
    }
}

/// A daemon that starts after a restore knows the order by another version than the others; it still
/// counts their evidence and places sessions as they do.
#[test]
fn rollout_order_that_is_written_again_is_the_same_for_all_daemons() {
    let now = Instant::now();
    let later = now + Duration::from_secs(6);
    let versions = [
        upstream("old", 1, "ready"),
        upstream_with("new", 2, &[("version", json!("v2"))]),
    ];
    let mut known = rolling(now);
    known.enter_era(2, now);
    let mut started = ready(&versions, now);
    started.enter_era(2, now);
    for dispatcher in [&mut known, &mut started] {
        dispatcher.registry.replace(&versions, now);
        order(dispatcher, &written_again(rollout_order()), now);
        // All daemons have seen the new version.
        dispatcher.select_upstream(&request(0), now);
    }
    let report = known
        .heartbeat(address(1), Readiness::Ready, Duration::ZERO, now)
        .rollouts;
    assert_eq!(report[0].order, RowVersion { era: 2, number: 1 });
    let mut from_peer = heartbeat("front-2", TableState::NotPolled);
    from_peer.table_era = 2;
    from_peer.rollouts = report;
    from_peer.rollouts[0].evidence.tally(Arm::New, 1).bad = 3;
    started.receive_heartbeat(from_peer, address(2), now);
    let (_, rollout) = started.rollouts().next().expect("a rollout");
    assert_eq!(rollout.evidence().new[&1].bad, 3);
    for session in 1_000..1_200 {
        let arms = [&mut known, &mut started].map(|dispatcher| {
            let assignment = assign(dispatcher, &request(session), later);
            dispatcher.release(&assignment, AttemptOutcome::Served, later);
            assignment.arm
        });
        assert_eq!(arms[0], arms[1], "session {session}");
    }
}

/// Peers that have not noticed the restore still report records that are gone.
#[test]
fn record_of_an_earlier_era_does_not_count_as_written() {
    let now = Instant::now();
    let mut dispatcher = rolling(now);
    dispatcher.enter_era(2, now);
    let mut report = heartbeat("front-2", TableState::NotPolled);
    report.rollouts = vec![RolloutReport {
        service: "pool".into(),
        order: version_of(7),
        target: "v2".into(),
        state: RolloutState::Running,
        recorded: Some(RolloutState::Running),
        elapsed: Duration::ZERO,
        evidence: Default::default(),
        sticky_sessions: Vec::new(),
    }];
    for (era, recorded) in [(1, None), (2, Some(RolloutState::Running))] {
        report.table_era = era;
        dispatcher.receive_heartbeat(report.clone(), address(2), now);
        assert_eq!(state_of(&dispatcher).1, recorded, "from era {era}");
    }
}

#[test]
fn era_is_learned_from_peers_and_never_goes_back() {
    let now = Instant::now();
    let mut dispatcher = rolling(now);
    let mut report = heartbeat("front-2", TableState::NotPolled);
    for (era, known) in [(3, 3), (2, 3)] {
        report.table_era = era;
        dispatcher.receive_heartbeat(report.clone(), address(2), now);
        assert_eq!(dispatcher.table_era(), known);
    }
}

/// The first era of a process is not a restore.
#[test]
fn first_known_era_changes_nothing() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    assert!(!dispatcher.enter_era(4, now));
    assert!(!dispatcher.enter_era(4, now));
    assert!(dispatcher.registry.grace_left(now).is_none());
}

/// Entries that the copy lacks are expected back within the grace period.
#[test]
fn missing_upstream_stays_in_use_until_it_registers_again() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 5, "ready")], now);
    dispatcher.enter_era(1, now);
    dispatcher.enter_era(2, now);
    dispatcher.registry.replace(&[], now);
    assign(&mut dispatcher, &request(1), now);
    let later = now + Duration::from_secs(3);
    dispatcher.tick(later);
    assert!(matches!(
        dispatcher.select_upstream(&request(2), later),
        Placement::Refuse(NoSlotReason::NoneListed, _)
    ));
}

/// A drain that was announced after the copy was made stays in force.
#[test]
fn draining_upstream_is_not_revived_by_an_older_entry() {
    let now = Instant::now();
    let entry = |state: &str, sequence: u64| {
        upstream_with(
            "u1",
            sequence,
            &[("state", json!(state)), ("sequence", json!(sequence))],
        )
    };
    let mut dispatcher = ready(&[entry("ready", 4)], now);
    dispatcher.registry.apply(&[entry("draining", 6)], now);
    dispatcher.registry.replace(&[entry("ready", 5)], now);
    assert!(matches!(
        dispatcher.select_upstream(&request(1), now),
        Placement::Refuse(NoSlotReason::NoneListed, _)
    ));
    dispatcher.registry.apply(&[entry("ready", 7)], now);
    assign(&mut dispatcher, &request(2), now);
}
