//! A cache of the rows of a followed table, from which other daemons request changes.
//!
//! After the table was restored from a copy, rows may be missing that were in force. They are carried
//! over into the new era until their writers have had time to write them again.

use std::collections::BTreeMap;

use compact_str::CompactString;
use platform::{RowVersion, table::Row};
use serde::{Deserialize, Serialize};

/// Maximum number of retained removals. When it is exceeded, they are pruned, and a daemon that is
/// too far behind receives all rows.
const MAX_RETAINED_REMOVALS: usize = 1_024;

/// The changes of a table after a given version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChanges {
    /// Whether `rows` contains all rows rather than only those that changed.
    pub full: bool,
    /// The rows.
    pub rows: Vec<Row>,
    /// The table version that the rows reflect.
    pub version: RowVersion,
}

impl RowChanges {
    /// Returns an empty set of changes up to a version.
    pub fn none(version: RowVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Returns the length of all values in bytes.
    pub fn value_bytes(&self) -> usize {
        let values = self.rows.iter().filter_map(|row| row.value.as_ref());
        values.map(Vec::len).sum()
    }

    /// Returns these changes with `rows` in place of the rows with the same keys.
    pub fn with_rows(&self, rows: Vec<Row>) -> Self {
        let replaced = |row: &&Row| rows.iter().any(|other| other.key == row.key);
        let kept = self.rows.iter().filter(|row| !replaced(row));
        Self {
            rows: kept.cloned().chain(rows.iter().cloned()).collect(),
            ..*self
        }
    }
}

/// The rows of a table, including recent removals.
#[derive(Clone, Debug, Default)]
pub struct RowCache {
    rows: BTreeMap<CompactString, Row>,
    version: RowVersion,
    /// The version of the newest change.
    newest_change: RowVersion,
    /// The version up to which removals have been pruned.
    pruned_through: RowVersion,
}

impl RowCache {
    /// Returns the table version that the rows reflect.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// Returns the version of the newest change; unlike [`Self::version`] it does not advance while
    /// nothing changes.
    pub fn newest_change(&self) -> RowVersion {
        self.newest_change
    }

    /// Returns whether a full read shows the rows that are already known.
    ///
    /// Load pattern: the table discards its history many times a second, so that pollers read it in
    /// full again and again. If each read counted as a change, all daemons would fetch all rows from
    /// the daemon that read last.
    pub fn shows_nothing_new(&self, changes: &RowChanges) -> bool {
        if !changes.full || self.version == RowVersion::default() {
            return false;
        }
        let known = self.rows.values().filter(|row| row.value.is_some());
        let mut read: Vec<&Row> = changes.rows.iter().collect();
        read.sort_by(|a, b| a.key.cmp(&b.key));
        known.eq(read)
    }

    /// Returns the rows to carry over into a full read: those for which `is_newer(known, read)` holds
    /// and, if it is the first of a later era, those that it lacks.
    pub fn carried_over(
        &self,
        changes: &RowChanges,
        is_newer: impl Fn(&Row, &Row) -> bool,
    ) -> Vec<Row> {
        if !changes.full {
            return Vec::new();
        }
        let later_era = changes.version.era > self.version.era;
        let is_lost = |known: &&Row| {
            let read = changes.rows.iter().find(|row| row.key == known.key);
            read.map_or(later_era, |read| is_newer(known, read))
        };
        let known = self.rows.values().filter(|row| row.value.is_some());
        known
            .filter(is_lost)
            .map(|row| Row {
                version: changes.version,
                ..row.clone()
            })
            .collect()
    }

    /// Merges changes; older rows never replace newer ones, and changes of an earlier era are ignored.
    pub fn merge(&mut self, changes: &RowChanges) {
        if changes.version.era < self.version.era {
            return;
        }
        if changes.full && changes.version >= self.version {
            self.rows.clear();
            self.pruned_through = changes.version;
        }
        if changes.full {
            self.newest_change = self.newest_change.max(changes.version);
        }
        for row in &changes.rows {
            let known = self.rows.get(&row.key).map(|known| known.version);
            if Some(row.version) >= known {
                self.rows.insert(row.key.clone(), row.clone());
                self.newest_change = self.newest_change.max(row.version);
            }
        }
        self.version = self.version.max(changes.version);
        self.prune_removals();
    }

    /// Returns the changes after `version`, or all rows if removals since then have been pruned.
    pub fn changes_after(&self, version: RowVersion) -> RowChanges {
        let full = version < self.pruned_through;
        let wanted = |row: &&Row| match full {
            true => row.value.is_some(),
            false => row.version > version,
        };
        RowChanges {
            full,
            rows: self.rows.values().filter(wanted).cloned().collect(),
            version: self.version,
        }
    }

    fn prune_removals(&mut self) {
        let removals = self.rows.values().filter(|row| row.value.is_none()).count();
        if removals > MAX_RETAINED_REMOVALS {
            self.rows.retain(|_, row| row.value.is_some());
            self.pruned_through = self.version;
        }
    }
}
