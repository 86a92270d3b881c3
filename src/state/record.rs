//! The record of one accepted publication.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::state::{diff::Change, objects::OperatorName, snapshot::Generation};

/// Names one publication, so that repeating it is harmless; chosen by the operator's command.
pub type PublishId = CompactString;

/// One accepted publication: what it changed, by whom and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The generation that it made.
    pub generation: Generation,
    /// Its id.
    pub publish_id: PublishId,
    /// Who published it.
    pub operator: OperatorName,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub changes: Vec<Change>,
}
