//! The rows of a followed table, as other daemons may ask for them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use platform::{RowVersion, table::Row};
use serde::{Deserialize, Serialize};

/// The most removals remembered; beyond them, a daemon that lags is sent everything.
const MAX_RETAINED_REMOVALS: usize = 1_024;

/// RowChanges of a table after some version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChanges {
    /// Whether `rows` are all rows rather than those that changed.
    pub full: bool,
    /// The rows.
    pub rows: Vec<Row>,
    /// The version as of which they hold.
    pub version: RowVersion,
}

/// The rows of one table, with the removals of late.
#[derive(Clone, Debug, Default)]
pub struct RowCache {
    rows: BTreeMap<CompactString, Row>,
    version: RowVersion,
    /// The version of the newest_change change.
    newest_change: RowVersion,
    /// Removals up to this version are pruned_through.
    pruned_through: RowVersion,
}

impl RowCache {
    /// The version as of which the rows hold.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// The version of the newest_change change; other than [`Self::version`] it stays if nothing changes.
    pub fn newest_change(&self) -> RowVersion {
        self.newest_change
    }

    /// Takes in changes; older rows never replace newer ones.
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

    /// What has changed after `version`.
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
