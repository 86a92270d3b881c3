//! The transactional table service: rows with versions, conditional commits and ordered scans.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Key of a row; keys are ordered as byte strings.
pub type Key = CompactString;

/// Version of a row; it increases with every write and is 0 for an absent row.
pub type RowVersion = u64;

/// Version of an absent row.
pub const ABSENT: RowVersion = 0;

/// Path that accepts [`ReadRequest`].
pub const READ_PATH: &str = "/table/read";
/// Path that accepts [`ScanRequest`].
pub const SCAN_PATH: &str = "/table/scan";
/// Path that accepts [`CommitRequest`].
pub const COMMIT_PATH: &str = "/table/commit";

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version at which the value was written.
    pub version: RowVersion,
    /// Value, opaque to the table.
    pub value: String,
}

/// Reads rows by key; absent rows are omitted from the response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    pub keys: Vec<Key>,
}

/// Reads rows in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Only keys with this prefix are returned.
    pub prefix: Key,
    /// Only keys greater than this are returned; empty for the first page.
    pub after: Key,
    /// Maximum number of rows in one response.
    pub limit: usize,
}

/// The response to a read or a scan: one consistent view.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rows {
    /// Rows found, in key order for a scan.
    pub rows: Vec<Row>,
    /// Whether a scan reached its limit before the end of the prefix.
    pub more: bool,
}

/// A precondition of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row whose version is compared.
    pub key: Key,
    /// Required version; [`ABSENT`] if the row must not exist.
    pub version: RowVersion,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key to write.
    pub key: Key,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes all rows, or none if a condition does not hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied atomically.
    pub writes: Vec<Write>,
}

/// The outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The writes took effect at this version.
    Committed {
        /// Version assigned to every written row.
        version: RowVersion,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// Current rows of the failed conditions; absent rows are omitted.
        current: Vec<Row>,
    },
}
