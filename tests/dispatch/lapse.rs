//! Entries of upstreams that vanish around an outage of the table.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::peers::TableState;

use crate::support::{dispatcher, hear, heartbeat, row, upstream};

const SECOND: Duration = Duration::from_secs(1);

/// The ids that take new work.
fn listed(
    dispatcher: &hibiscusyoke::coordination::dispatch::Dispatcher,
    now: Instant,
) -> Vec<String> {
    dispatcher
        .registry
        .of_service("pool")
        .filter(|upstream| upstream.is_listed(now))
        .map(|upstream| upstream.id.to_string())
        .collect()
}

/// Found by hunt-80e9-35: this daemon alone was turned away, and the entry was really removed.
#[test]
fn removal_after_own_outage_counts_at_once() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    dispatcher.registry.replace(&rows, start);
    hear(
        &mut dispatcher,
        &[
            heartbeat("front-2", TableState::Answers),
            heartbeat("front-3", TableState::Answers),
        ],
        start,
    );
    dispatcher.table_lost(start);
    dispatcher.table_back(start + SECOND);
    dispatcher
        .registry
        .apply(&[row("u1", 3, None)], start + SECOND);
    assert_eq!(listed(&dispatcher, start + SECOND), ["u2"]);
}

#[test]
fn removal_after_common_outage_may_come_back() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    dispatcher.registry.replace(&rows, start);
    hear(
        &mut dispatcher,
        &[
            heartbeat("front-2", TableState::Lost),
            heartbeat("front-3", TableState::Lost),
        ],
        start,
    );
    dispatcher.table_lost(start);
    dispatcher.table_back(start + SECOND);
    dispatcher
        .registry
        .apply(&[row("u1", 3, None)], start + SECOND);
    assert_eq!(listed(&dispatcher, start + 2 * SECOND), ["u1", "u2"]);
    dispatcher
        .registry
        .apply(&[upstream("u1", 4, "ready")], start + 2 * SECOND);
    assert_eq!(listed(&dispatcher, start + 9 * SECOND), ["u1", "u2"]);
}

#[test]
fn removal_after_common_outage_ends_without_a_tick() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    dispatcher.registry.replace(&rows, start);
    hear(
        &mut dispatcher,
        &[heartbeat("front-2", TableState::Lost)],
        start,
    );
    dispatcher.table_lost(start);
    dispatcher.table_back(start + SECOND);
    dispatcher
        .registry
        .apply(&[row("u1", 3, None)], start + SECOND);
    assert_eq!(
        listed(&dispatcher, start + SECOND + 2_300 * SECOND / 1_000),
        ["u2"]
    );
}

/// A poll that hung through a short outage shows the lapse without a failed call.
#[test]
fn removal_of_most_at_once_is_taken_for_a_lapse() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows: Vec<_> = (1..=4)
        .map(|i| upstream(&format!("u{i}"), i, "ready"))
        .collect();
    dispatcher.registry.replace(&rows, start);
    let gone: Vec<_> = (1..=4)
        .map(|i| row(&format!("u{i}"), 4 + i, None))
        .collect();
    dispatcher.registry.apply(&gone, start + SECOND);
    assert_eq!(listed(&dispatcher, start + 2 * SECOND).len(), 4);
    assert_eq!(
        listed(&dispatcher, start + 3 * SECOND).len(),
        0,
        "drained within two seconds"
    );
}

#[test]
fn removal_of_one_counts_at_once() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    let rows: Vec<_> = (1..=4)
        .map(|i| upstream(&format!("u{i}"), i, "ready"))
        .collect();
    dispatcher.registry.replace(&rows, start);
    dispatcher.registry.apply(&[row("u2", 5, None)], start);
    assert_eq!(listed(&dispatcher, start), ["u1", "u3", "u4"]);
}
