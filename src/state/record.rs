//! Records of accepted publications.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::state::{diff::Change, objects::OperatorName, snapshot::Generation};

/// The id of a publication, chosen by the operator's command, which makes repeated requests
/// idempotent.
pub type PublishId = CompactString;

/// The record of an accepted publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The generation that it created.
    pub generation: Generation,
    /// The id of the publication.
    pub publish_id: PublishId,
    /// The operator who published it.
    pub operator: OperatorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changes.
    pub changes: Vec<Change>,
}
