//! Simulated table with outages, lost replies and delayed writes.

use std::collections::BTreeMap;

use hibiscusyoke::coordination::claims::WriteReply;
use platform_api::table::{ABSENT, Key, Row, RowVersion};

/// Fault injected into the next write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// The write is applied, and its reply is lost.
    LoseReply,
    /// The write is delayed until its sender has timed out.
    DelayWrite,
}

#[derive(Debug)]
struct DelayedWrite {
    key: Key,
    version: RowVersion,
    value: String,
}

#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) down: bool,
    pub(crate) next: Fault,
    rows: BTreeMap<Key, Row>,
    version: RowVersion,
    delayed: Vec<DelayedWrite>,
}

impl Table {
    pub(crate) fn write(&mut self, key: &str, version: RowVersion, value: String) -> WriteReply {
        if self.down {
            return WriteReply::NotApplied;
        }
        match std::mem::take(&mut self.next) {
            Fault::None => self.apply(key, version, value),
            Fault::LoseReply => {
                self.apply(key, version, value);
                WriteReply::Unknown
            }
            Fault::DelayWrite => {
                let key = key.into();
                self.delayed.push(DelayedWrite {
                    key,
                    version,
                    value,
                });
                WriteReply::Unknown
            }
        }
    }

    fn apply(&mut self, key: &str, version: RowVersion, value: String) -> WriteReply {
        let current = self.rows.get(key);
        if current.map_or(ABSENT, |row| row.version) != version {
            return WriteReply::Conflict(current.cloned());
        }
        self.version += 1;
        let row = Row {
            key: key.into(),
            version: self.version,
            value,
        };
        self.rows.insert(key.into(), row);
        WriteReply::Committed(self.version)
    }

    /// Inserts a row whose content never changes; returns whether the table has it.
    pub(crate) fn insert(&mut self, key: &str, value: &str) -> bool {
        match self.write(key, ABSENT, value.into()) {
            WriteReply::Committed(_) => true,
            WriteReply::Conflict(Some(row)) => row.value == value,
            _ => false,
        }
    }

    /// Applies the delayed writes.
    pub(crate) fn deliver_delayed(&mut self) {
        for delayed in std::mem::take(&mut self.delayed) {
            self.apply(&delayed.key, delayed.version, delayed.value);
        }
    }

    pub(crate) fn read(&self, key: &str) -> Result<Option<Row>, ()> {
        if self.down {
            return Err(());
        }
        Ok(self.rows.get(key).cloned())
    }

    pub(crate) fn scan(&self, prefix: &str) -> Result<Vec<Row>, ()> {
        if self.down {
            return Err(());
        }
        let rows = self.rows.values().filter(|r| r.key.starts_with(prefix));
        Ok(rows.cloned().collect())
    }
}
