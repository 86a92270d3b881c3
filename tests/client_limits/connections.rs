//! Which connection gives way.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::connection_table::{
    Admission, ConnectionId, ConnectionTable, Phase,
};

const LIMIT: usize = 8;
const SECOND: Duration = Duration::from_secs(1);

/// Opens a connection for which there is room.
fn open(table: &mut ConnectionTable, phase: Phase, now: Instant) -> ConnectionId {
    let Admission::Accepted(id) = table.open(now) else {
        panic!("no room");
    };
    table.set_phase(id, phase, now);
    id
}

/// Returns the connection that gives way to a new one.
fn replaced(table: &mut ConnectionTable, now: Instant) -> Option<ConnectionId> {
    match table.open(now) {
        Admission::Replaces { closed, .. } => Some(closed),
        Admission::Refused => None,
        Admission::Accepted(_) => panic!("there is room"),
    }
}

/// Guards against a connection with a request that is closed for a new one.
#[test]
fn connections_that_are_served_do_not_give_way() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(LIMIT);
    for _ in 0..LIMIT {
        open(&mut table, Phase::Serving, now);
    }
    assert_eq!(replaced(&mut table, now + SECOND * 100), None);
    assert_eq!(table.len(), LIMIT);
}

/// Guards against ordinary callers that give way before those that send nothing.
#[test]
fn connections_give_way_in_order() {
    let start = Instant::now();
    let now = start + SECOND * 2;
    let mut table = ConnectionTable::new(LIMIT);
    open(&mut table, Phase::Serving, start);
    let upload = open(&mut table, Phase::Body, now);
    let idle = open(&mut table, Phase::Idle, start);
    let old_upload = open(&mut table, Phase::Body, start);
    let opened = open(&mut table, Phase::Opened, start);
    let late_head = open(&mut table, Phase::Head, start);
    let head = open(&mut table, Phase::Head, now);
    let closing = open(&mut table, Phase::Closing, now);
    for expected in [closing, late_head, head, opened, old_upload, idle, upload] {
        let Admission::Replaces { accepted, closed } = table.open(now) else {
            panic!("one gives way");
        };
        assert_eq!(closed, expected);
        table.set_phase(accepted, Phase::Serving, now);
    }
    assert_eq!(replaced(&mut table, now), None);
}

/// Guards against a table that stays full after its connections have ended.
#[test]
fn closed_connections_leave_room() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(LIMIT);
    for _ in 0..3 {
        let ids: Vec<ConnectionId> = (0..LIMIT)
            .map(|_| open(&mut table, Phase::Serving, now))
            .collect();
        for id in ids {
            table.close(id);
            table.close(id);
            table.set_phase(id, Phase::Idle, now);
        }
        assert!(table.is_empty());
    }
}

/// Guards against heads without end, and against idle connections that are taken for such.
#[test]
fn only_heads_are_late() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(LIMIT);
    let head = open(&mut table, Phase::Head, start);
    for phase in [Phase::Opened, Phase::Idle, Phase::Body, Phase::Serving] {
        open(&mut table, phase, start);
    }
    let fresh = open(&mut table, Phase::Head, start + SECOND);
    let late = |table: &ConnectionTable, after| table.late_heads(SECOND * 3, start + after);
    assert!(late(&table, SECOND * 2).is_empty());
    assert_eq!(late(&table, SECOND * 3), [head]);
    assert_eq!(late(&table, SECOND * 4), [head, fresh]);
}

/// Guards against callers that are closed because the process was paused while they sent.
#[test]
fn head_is_not_late_after_a_pause_of_the_process() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(LIMIT);
    let head = open(&mut table, Phase::Head, start);
    let woken = start + SECOND * 60;
    table.resume(woken);
    assert!(table.late_heads(SECOND * 3, woken).is_empty());
    assert_eq!(table.late_heads(SECOND * 3, woken + SECOND * 3), [head]);
}
