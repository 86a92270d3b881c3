//! Tests of the cache of table rows that daemons forward to each other.

use hibiscusyoke::state::rows::{RowCache, RowChanges};
use platform::table::Row;

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    Row {
        key: key.into(),
        value: value.map(|text| text.as_bytes().to_vec()),
        version,
    }
}

fn changes(full: bool, version: u64, rows: &[Row]) -> RowChanges {
    RowChanges {
        full,
        rows: rows.to_vec(),
        version,
    }
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
    let update = cache.changes_after(5);
    assert!(!update.full);
    assert_eq!(update.version, 8);
    assert_eq!(update.rows, [row("a", 7, None), row("c", 8, Some("1"))]);
}

#[test]
fn changes_after_pruned_version_include_all_rows() {
    let mut cache = RowCache::default();
    cache.merge(&changes(true, 5, &[row("a", 3, Some("1"))]));
    let update = cache.changes_after(2);
    assert!(update.full);
    assert_eq!(update.rows, [row("a", 3, Some("1"))]);
}

#[test]
fn older_rows_never_replace_newer() {
    let mut cache = RowCache::default();
    cache.merge(&changes(true, 9, &[row("config", 9, Some("new"))]));
    cache.merge(&changes(false, 4, &[row("config", 4, Some("old"))]));
    cache.merge(&changes(true, 4, &[row("config", 4, Some("old"))]));
    assert_eq!(cache.changes_after(8).rows, [row("config", 9, Some("new"))]);
    assert_eq!(cache.version(), 9);
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
