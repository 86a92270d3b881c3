//! Background tasks that end or stand still.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use hibiscusyoke::{
    clock::{SharedClock, SystemClock},
    gateway::{
        followed_table::FollowedTable,
        progress::{FollowChange, FollowProgress},
    },
    isolate::isolate,
    metrics,
    supervise::{Restarts, Supervisor},
};

const SECOND: Duration = Duration::from_secs(1);
/// Time between two checks of a gateway's tasks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A task that followed a table ended by a panic, and its daemon was ready for ever with what it knew.
#[tokio::test]
async fn task_that_panics_is_counted_and_started_again() {
    let clock: SharedClock = Arc::new(SystemClock);
    let starts = Arc::new(AtomicU32::new(0));
    let task = Supervisor::new(&clock).spawn("panics_twice", starts.clone(), async |starts| {
        let earlier = starts.fetch_add(1, Ordering::Relaxed);
        assert!(earlier >= 2, "start {earlier}");
    });
    task.await.expect("the supervisor ends with the task");
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    let counted = "hibiscusyoke_task_ends_total{task=\"panics_twice\"} 2";
    assert!(metrics::render().contains(counted));
}

#[test]
fn pauses_grow_to_a_maximum_and_begin_anew_after_a_long_run() {
    let mut restarts = Restarts::default();
    let pauses: Vec<u128> = (0..8)
        .map(|_| restarts.next_pause(SECOND).as_millis())
        .collect();
    assert_eq!(pauses, [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    for _ in 0..100 {
        assert_eq!(restarts.next_pause(SECOND), 5 * SECOND);
    }
    assert_eq!(restarts.next_pause(120 * SECOND).as_millis(), 100);
}

#[test]
fn panic_of_a_step_is_returned_as_its_text() {
    assert_eq!(isolate(|| 7), Ok(7));
    let step = || -> u8 { panic!("row {}", 3) };
    assert_eq!(isolate(step), Err("row 3".to_owned()));
}

/// A daemon whose task made no progress stayed ready, and polled the table for the others.
#[test]
fn table_without_steps_counts_as_not_followed() {
    let start = Instant::now();
    let progress = FollowProgress::new(start);
    let stalled_at = start + 10 * SECOND + CHECK_INTERVAL;
    progress.record_step(FollowedTable::Orders, stalled_at);
    assert_eq!(progress.check(start + 10 * SECOND), None);
    assert_eq!(progress.check(stalled_at), None);
    assert!(!progress.is_stalled());
    let change = progress.check(stalled_at + CHECK_INTERVAL);
    let age = 10 * SECOND + 2 * CHECK_INTERVAL;
    let stalled = FollowChange::Stalled(FollowedTable::Upstreams, age);
    assert_eq!(change, Some(stalled));
    assert!(progress.is_stalled());
    assert_eq!(
        stalled.to_string(),
        "event=not_followed table=servers ms=10500"
    );
    progress.record_step(FollowedTable::Upstreams, stalled_at + SECOND);
    let change = progress.check(stalled_at + SECOND);
    assert_eq!(change, Some(FollowChange::Resumed));
    assert!(!progress.is_stalled());
}

/// A daemon that wakes from a freeze is not late, as its tasks have not run yet.
#[test]
fn first_check_after_a_freeze_finds_no_stall() {
    let start = Instant::now();
    let progress = FollowProgress::new(start);
    let woken_at = start + 60 * SECOND;
    assert_eq!(progress.check(woken_at), None);
    for table in [FollowedTable::Orders, FollowedTable::Upstreams] {
        progress.record_step(table, woken_at);
    }
    assert_eq!(progress.check(woken_at + CHECK_INTERVAL), None);
    assert!(!progress.is_stalled());
}
