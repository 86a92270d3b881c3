//! An in-memory table service with conditional commits and consistent reads.

use std::collections::BTreeMap;

use hibiscusyoke::coordination::configuration::rows::{self, CHANGE_PREFIX};
use hibiscusyoke::state::record::Record;
use platform_api::table::{ABSENT, CommitRequest, Key, Row, RowVersion};

#[derive(Default)]
pub(crate) struct Table {
    rows: BTreeMap<Key, Row>,
    version: RowVersion,
    pub(crate) reads: u64,
}

impl Table {
    pub(crate) fn read(&mut self, keys: &[Key]) -> Vec<Row> {
        self.reads += 1;
        keys.iter()
            .filter_map(|key| self.rows.get(key).cloned())
            .collect()
    }

    pub(crate) fn scan(&mut self, prefix: &str) -> Vec<Row> {
        self.reads += 1;
        let matching = self.rows.values().filter(|row| row.key.starts_with(prefix));
        matching.cloned().collect()
    }

    pub(crate) fn records_after(&mut self, after: u64) -> Vec<Record> {
        let mut records = rows::parse_records(&self.scan(CHANGE_PREFIX)).unwrap();
        records.retain(|record| record.generation > after);
        records
    }

    /// Applies a commit and returns whether its conditions were met.
    pub(crate) fn commit(&mut self, req: &CommitRequest) -> bool {
        let version = |key: &Key| self.rows.get(key).map_or(ABSENT, |row| row.version);
        if req.conditions.iter().any(|c| version(&c.key) != c.version) {
            return false;
        }
        self.version += 1;
        for write in &req.writes {
            let key = write.key.clone();
            match write.value.clone() {
                Some(value) => {
                    let version = self.version;
                    self.rows.insert(
                        key.clone(),
                        Row {
                            key,
                            version,
                            value,
                        },
                    );
                }
                None => drop(self.rows.remove(&key)),
            }
        }
        true
    }
}
