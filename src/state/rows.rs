//! The rows of a followed table, as other daemons may ask for them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use platform::{RowVersion, table::Row};
use serde::{Deserialize, Serialize};

/// The most removals remembered; beyond them, a daemon that lags is sent everything.
const MAX_REMOVALS: usize = 1_024;

/// Changes of a table after some version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Whether `rows` are all rows rather than those that changed.
    pub whole: bool,
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
    /// The version of the newest change.
    newest: RowVersion,
    /// Removals up to this version are forgotten.
    forgotten: RowVersion,
}

impl RowCache {
    /// The version as of which the rows hold.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// The version of the newest change; other than [`Self::version`] it stays if nothing changes.
    pub fn newest(&self) -> RowVersion {
        self.newest
    }

    /// Takes in changes; older rows never replace newer ones.
    pub fn take(&mut self, changes: &Changes) {
        if changes.whole && changes.version >= self.version {
            self.rows.clear();
            self.forgotten = changes.version;
        }
        if changes.whole {
            self.newest = self.newest.max(changes.version);
        }
        for row in &changes.rows {
            let known = self.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version >= known {
                self.rows.insert(row.key.clone(), row.clone());
                self.newest = self.newest.max(row.version);
            }
        }
        self.version = self.version.max(changes.version);
        self.forget_removals();
    }

    /// What has changed after `version`.
    pub fn after(&self, version: RowVersion) -> Changes {
        let whole = version < self.forgotten;
        let wanted = |row: &&Row| match whole {
            true => row.value.is_some(),
            false => row.version > version,
        };
        Changes {
            whole,
            rows: self.rows.values().filter(wanted).cloned().collect(),
            version: self.version,
        }
    }

    fn forget_removals(&mut self) {
        let removals = self.rows.values().filter(|row| row.value.is_none()).count();
        if removals > MAX_REMOVALS {
            self.rows.retain(|_, row| row.value.is_some());
            self.forgotten = self.version;
        }
    }
}
