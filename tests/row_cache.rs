//! Tests of the cache of table rows that daemons forward to each other.

use hibiscusyoke::state::rows::{RowCache, RowChanges};
use platform::{RowVersion, table::Row};

/// A version of the table's first era.
fn version(number: u64) -> RowVersion {
    RowVersion { era: 1, number }
}

fn row(key: &str, number: u64, value: Option<&str>) -> Row {
    Row {
        key: key.into(),
        value: value.map(|text| text.as_bytes().to_vec()),
        version: version(number),
    }
}

fn changes(full: bool, number: u64, rows: &[Row]) -> RowChanges {
    RowChanges {
        full,
        rows: rows.to_vec(),
        version: version(number),
    }
}

/// The same rows and versions in the era after a restore.
fn restored(changes: RowChanges) -> RowChanges {
    let restore = |version: RowVersion| RowVersion { era: 2, ..version };
    let rows = changes.rows.into_iter().map(|row| Row {
        version: restore(row.version),
        ..row
    });
    RowChanges {
        rows: rows.collect(),
        version: restore(changes.version),
        ..changes
    }
}

fn never_newer(_: &Row, _: &Row) -> bool {
    false
}

#[test]
fn changes_after_version_include_removals() {
    let mut cache = RowCache::default();
    cache.merge(&changes(
        true,
        5,
        &[row("a", 3, Some("1")), row("b", 5, Some("1"))],
    ));
    cache.merge(&changes(
        false,
        8,
        &[row("a", 7, None), row("c", 8, Some("1"))],
    ));
    let update = cache.changes_after(version(5));
    assert!(!update.full);
    assert_eq!(update.version, version(8));
    assert_eq!(update.rows, [row("a", 7, None), row("c", 8, Some("1"))]);
}

#[test]
fn changes_after_pruned_version_include_all_rows() {
    let mut cache = RowCache::default();
    cache.merge(&changes(true, 5, &[row("a", 3, Some("1"))]));
    let update = cache.changes_after(version(2));
    assert!(update.full);
    assert_eq!(update.rows, [row("a", 3, Some("1"))]);
}

#[test]
fn older_rows_never_replace_newer() {
    let mut cache = RowCache::default();
    cache.merge(&changes(true, 9, &[row("config", 9, Some("new"))]));
    cache.merge(&changes(false, 4, &[row("config", 4, Some("old"))]));
    cache.merge(&changes(true, 4, &[row("config", 4, Some("old"))]));
    assert_eq!(
        cache.changes_after(version(8)).rows,
        [row("config", 9, Some("new"))]
    );
    assert_eq!(cache.version(), version(9));
}

/// A full set that lags behind the receiver's own polls must still advance its newest change.
/// Otherwise the receiver requests the same set again and again: five thousand times in the
/// filmverde scale-2 run.
#[test]
fn full_set_with_older_rows_advances_newest_change() {
    let mut sender = RowCache::default();
    sender.merge(&changes(true, 104, &[row("config", 98, Some("1"))]));
    let mut receiver = RowCache::default();
    receiver.merge(&changes(true, 98, &[row("config", 98, Some("1"))]));
    receiver.merge(&changes(false, 110, &[]));
    assert!(sender.newest_change() > receiver.newest_change());
    receiver.merge(&sender.changes_after(receiver.newest_change()));
    assert_eq!(receiver.newest_change(), sender.newest_change());
}

/// The full read of a restored table was merged away, as its numbers were lower, and was requested
/// again without a pause.
#[test]
fn full_read_of_a_later_era_replaces_rows_with_higher_numbers() {
    let mut cache = RowCache::default();
    cache.merge(&changes(
        true,
        9,
        &[row("config", 9, Some("9")), row("gone", 8, Some("8"))],
    ));
    let read = restored(changes(true, 4, &[row("config", 4, Some("4"))]));
    cache.merge(&read);
    assert_eq!(cache.version(), read.version);
    assert_eq!(cache.newest_change(), read.version);
    let told = cache.changes_after(version(9));
    assert!(told.full);
    assert_eq!(told.rows, read.rows);
}

#[test]
fn late_changes_of_an_earlier_era_are_ignored() {
    let mut cache = RowCache::default();
    let read = restored(changes(true, 4, &[row("a", 4, Some("4"))]));
    cache.merge(&read);
    cache.merge(&changes(false, 20, &[row("b", 20, Some("20"))]));
    cache.merge(&changes(true, 20, &[row("a", 20, Some("20"))]));
    assert_eq!(cache.changes_after(version(0)).rows, read.rows);
}

#[test]
fn rows_that_a_restored_table_lacks_are_carried_over_once() {
    let mut cache = RowCache::default();
    cache.merge(&changes(
        true,
        9,
        &[
            row("kept", 2, Some("2")),
            row("lost", 8, Some("8")),
            row("removed", 9, None),
        ],
    ));
    let read = restored(changes(true, 4, &[row("kept", 2, Some("2"))]));
    let carried = cache.carried_over(&read, never_newer);
    let keys: Vec<&str> = carried.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["lost"]);
    assert_eq!(carried[0].version, read.version);
    cache.merge(&read.with_rows(carried));
    assert_eq!(cache.changes_after(version(0)).rows.len(), 2);

    // The next full read settles what was not written again.
    let settled = restored(changes(true, 6, &[row("kept", 2, Some("2"))]));
    assert_eq!(cache.carried_over(&settled, never_newer), []);
    cache.merge(&settled);
    assert_eq!(cache.changes_after(version(0)).rows, settled.rows);
}

#[test]
fn newer_value_is_carried_over_in_place_of_the_restored_one() {
    let mut cache = RowCache::default();
    cache.merge(&changes(true, 9, &[row("config", 9, Some("9"))]));
    let read = restored(changes(true, 4, &[row("config", 4, Some("4"))]));
    let carried = cache.carried_over(&read, |known, read| known.value > read.value);
    let merged = read.with_rows(carried);
    assert_eq!(merged.rows.len(), 1);
    assert_eq!(merged.rows[0].value.as_deref(), Some(b"9".as_slice()));
}

/// Each full read counted as a change, and all daemons fetched all rows from the one that read last.
#[test]
fn full_read_of_known_rows_shows_nothing_new() {
    let mut cache = RowCache::default();
    let rows = [row("a", 3, Some("1")), row("b", 5, Some("1"))];
    let read = changes(true, 5, &rows);
    assert!(!cache.shows_nothing_new(&read), "the first read");
    cache.merge(&read);
    cache.merge(&changes(false, 6, &[row("c", 6, None)]));
    let [a, b] = rows.clone();
    assert!(cache.shows_nothing_new(&changes(true, 9, &[b.clone(), a.clone()])));
    cache.merge(&RowChanges::none(version(9)));
    assert_eq!(cache.newest_change(), version(6));
    assert_eq!(cache.version(), version(9));
    assert!(
        !cache.shows_nothing_new(&changes(true, 9, std::slice::from_ref(&a))),
        "a removal"
    );
    let changed = row("b", 8, Some("2"));
    assert!(
        !cache.shows_nothing_new(&changes(true, 9, &[a, changed])),
        "a change"
    );
    assert!(
        !cache.shows_nothing_new(&restored(changes(true, 9, &rows))),
        "another era"
    );
}
