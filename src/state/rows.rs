//! A cache of the rows of a followed table, from which other daemons request changes.

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

    /// Merges changes; older rows never replace newer ones.
    pub fn merge(&mut self, changes: &RowChanges) {
        if changes.full && changes.version >= self.version {
            self.rows.clear();
            self.pruned_through = changes.version;
        }
        if changes.full {
            self.newest_change = self.newest_change.max(changes.version);
        }
        for row in &changes.rows {
            let known = self.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version >= known {
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
