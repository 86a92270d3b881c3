//! The transactional table service: rows with versions, conditional commits and ordered scans.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The key of a row; keys are ordered as byte strings.
pub type Key = CompactString;

/// The version of a row; it grows with every write, and 0 stands for an absent row.
pub type RowVersion = u64;

/// The version that stands for an absent row.
pub const ABSENT: RowVersion = 0;

/// Path of [`ReadRequest`].
pub const READ_PATH: &str = "/table/read";
/// Path of [`ScanRequest`].
pub const SCAN_PATH: &str = "/table/scan";
/// Path of [`CommitRequest`].
pub const COMMIT_PATH: &str = "/table/commit";

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Key,
    /// The version at which the value was written.
    pub version: RowVersion,
    /// The value, opaque to the table.
    pub value: String,
}

/// Reads rows by key; absent rows are left out of the answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The keys to read.
    pub keys: Vec<Key>,
}

/// Reads rows in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Only keys that begin with this are read.
    pub prefix: Key,
    /// Only keys greater than this are read; empty for the first page.
    pub after: Key,
    /// The greatest number of rows in one answer.
    pub limit: usize,
}

/// The answer to a read or a scan: one consistent view.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rows {
    /// The rows found, in key order for a scan.
    pub rows: Vec<Row>,
    /// Whether a scan stopped at its limit before the end of the prefix.
    pub more: bool,
}

/// A condition that must hold for a commit to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key whose version is compared.
    pub key: Key,
    /// The version it must have; [`ABSENT`] if the row must not exist.
    pub version: RowVersion,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key to write.
    pub key: Key,
    /// The new value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes all rows, or none if a condition does not hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommitRequest {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Applied together.
    pub writes: Vec<Write>,
}

/// The outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The writes took effect at this version.
    Committed {
        /// The version given to every row written.
        version: RowVersion,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// The rows that the failed conditions name, as they are now; absent rows are left out.
        current: Vec<Row>,
    },
}
