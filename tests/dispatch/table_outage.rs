//! Tests of upstream entries that disappear around an outage of the table.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{Dispatcher, heartbeat::TableState};

use crate::support::{
    address, dispatcher, heartbeat, receive_heartbeat, row, upstream, version_of,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the ids of the upstreams that accept new work.
fn listed(dispatcher: &Dispatcher, now: Instant) -> Vec<String> {
    dispatcher
        .registry
        .of_service("pool")
        .filter(|upstream| upstream.is_listed(now))
        .map(|upstream| upstream.id.to_string())
        .collect()
}

/// Returns a dispatcher with two upstreams, of which u1 is removed as connectivity to the table is
/// restored, one second after it was lost; `reported` is what other daemons said about the table
/// when it was lost.
fn dispatcher_with_u1_removed_after_outage(reported: &[TableState], start: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    dispatcher.registry.replace(&rows, start);
    let heartbeats: Vec<_> = reported
        .iter()
        .zip(["front-2", "front-3"])
        .map(|(table, name)| heartbeat(name, *table))
        .collect();
    receive_heartbeat(&mut dispatcher, &heartbeats, start);
    dispatcher.table_lost(start);
    dispatcher.table_restored(start + SECOND);
    dispatcher
        .registry
        .apply(&[row("u1", 3, None)], start + SECOND);
    dispatcher
}

/// Only this daemon had lost connectivity, and the entry was really removed (scenario
/// hunt-80e9-35).
#[test]
fn removal_after_local_outage_takes_effect_at_once() {
    let start = Instant::now();
    let dispatcher = dispatcher_with_u1_removed_after_outage(&[TableState::Reachable; 2], start);
    assert_eq!(listed(&dispatcher, start + SECOND), ["u2"]);
}

#[test]
fn entry_removed_after_shared_outage_may_return() {
    let start = Instant::now();
    let mut dispatcher = dispatcher_with_u1_removed_after_outage(&[TableState::Lost; 2], start);
    assert_eq!(listed(&dispatcher, start + 2 * SECOND), ["u1", "u2"]);
    dispatcher
        .registry
        .apply(&[upstream("u1", 4, "ready")], start + 2 * SECOND);
    assert_eq!(listed(&dispatcher, start + 9 * SECOND), ["u1", "u2"]);
}

#[test]
fn grace_period_after_shared_outage_ends_without_a_tick() {
    let start = Instant::now();
    let dispatcher = dispatcher_with_u1_removed_after_outage(&[TableState::Lost], start);
    assert_eq!(
        listed(&dispatcher, start + SECOND + 2_300 * SECOND / 1_000),
        ["u2"]
    );
}

/// A poll that hangs through a short outage shows missing entries without a failed call.
#[test]
fn mass_removal_gets_a_grace_period() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows: Vec<_> = (1..=4)
        .map(|i| upstream(&format!("u{i}"), i, "ready"))
        .collect();
    dispatcher.registry.replace(&rows, start);
    let removed: Vec<_> = (1..=4)
        .map(|i| row(&format!("u{i}"), 4 + i, None))
        .collect();
    dispatcher.registry.apply(&removed, start + SECOND);
    assert_eq!(listed(&dispatcher, start + 2 * SECOND).len(), 4);
    assert_eq!(
        listed(&dispatcher, start + 3 * SECOND).len(),
        0,
        "removed within two seconds"
    );
}

#[test]
fn single_removal_takes_effect_at_once() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows: Vec<_> = (1..=4)
        .map(|i| upstream(&format!("u{i}"), i, "ready"))
        .collect();
    dispatcher.registry.replace(&rows, start);
    dispatcher.registry.apply(&[row("u2", 5, None)], start);
    assert_eq!(listed(&dispatcher, start), ["u1", "u3", "u4"]);
}

/// Some daemons had lost their connections to the table, but one that kept them has applied the removal
/// (day unanswered, seed 772).
#[test]
fn removal_that_a_connected_daemon_has_applied_takes_effect_at_once() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    dispatcher.registry.replace(&rows, start);
    let lost = heartbeat("front-2", TableState::Lost);
    let mut connected = heartbeat("front-3", TableState::Reachable);
    connected.newest_upstream_version = version_of(3);
    receive_heartbeat(&mut dispatcher, &[lost, connected], start);
    dispatcher.table_lost(start);
    dispatcher.table_restored(start + SECOND);
    dispatcher
        .registry
        .apply(&[row("u1", 3, None)], start + SECOND);
    assert_eq!(listed(&dispatcher, start + SECOND), ["u2"]);
}

/// A daemon read a removal in the poll with which it regained the table, 0.4 ms before the daemons that had kept it,
/// and used the upstream for 2.2 s more (day unanswered, seed 103623231174).
#[test]
fn removal_that_a_connected_daemon_applies_later_takes_effect_with_its_heartbeat() {
    let start = Instant::now();
    let reported = [TableState::Lost, TableState::Reachable];
    let regained = start + SECOND;
    let removed_with = |newest: u64, awaits_upstreams: bool, table: TableState| {
        let mut dispatcher = dispatcher_with_u1_removed_after_outage(&reported, start);
        assert_eq!(listed(&dispatcher, regained), ["u1", "u2"]);
        let mut later = heartbeat("front-3", table);
        later.sequence = 2;
        later.newest_upstream_version = version_of(newest);
        later.awaits_upstreams = awaits_upstreams;
        dispatcher.receive_heartbeat(later, address(3), regained);
        listed(&dispatcher, regained) == ["u2"]
    };
    assert!(removed_with(3, false, TableState::Reachable));
    assert!(removed_with(4, false, TableState::Reachable));
    // It has not applied the removal, may wait for the entry itself, or has lost the table.
    assert!(!removed_with(2, false, TableState::Reachable));
    assert!(!removed_with(3, true, TableState::Reachable));
    assert!(!removed_with(3, false, TableState::Lost));
}
