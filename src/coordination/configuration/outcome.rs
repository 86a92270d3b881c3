//! The request and the outcome of a publication.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::configuration::edit::Edit,
    state::{
        check::Fault, diff::ObjectId, objects::OperatorName, record::PublishId,
        snapshot::Generation,
    },
};

/// A request of an operator to publish a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishRequest {
    /// The id of the request; repeated requests with the same id take effect at most once.
    pub id: PublishId,
    /// The operator who sent the request.
    pub operator: OperatorName,
    /// The requested change.
    pub edit: Edit,
    /// The generation against which the operator was shown the difference.
    pub base: Option<Generation>,
    /// Whether to compute the difference without publishing it.
    pub dry_run: bool,
}

/// An object that another publication has changed since the operator was shown it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{id}: changed by {operator} in generation {generation}")]
pub struct Conflict {
    /// The object.
    pub id: ObjectId,
    /// The generation that changed it.
    pub generation: Generation,
    /// The operator who published that generation.
    pub operator: OperatorName,
}

/// Why a publication was refused without any effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// The resulting set of objects would be invalid.
    #[error("the set would have {} faults", faults.len())]
    Faults {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another operator has changed the same objects.
    #[error("another operator has changed {} of these objects", conflicts.len())]
    Conflicts {
        /// All conflicts.
        conflicts: Vec<Conflict>,
    },
    /// The records since the shown generation are no longer retained, so conflicts cannot be
    /// detected.
    #[error("generation {base} is too old to be compared with")]
    BaseTooOld {
        /// The generation that the operator was shown.
        base: Generation,
    },
    /// The commit lost too many races against other publications.
    #[error("{races} other publications were first")]
    Raced {
        /// Number of lost races.
        races: u32,
    },
    /// The table is unavailable.
    #[error("the table is not available: {reason}")]
    TableDown {
        /// What went wrong.
        reason: String,
    },
    /// The rows in the table are invalid.
    #[error("the table's rows cannot be read: {reason}")]
    TableUnreadable {
        /// Why they are invalid.
        reason: String,
    },
}

/// The outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The publication took effect.
    #[display("accepted")]
    Accepted {
        /// The generation that was created.
        generation: Generation,
    },
    /// The publication had already taken effect, under the same id.
    #[display("repeated")]
    Repeated {
        /// The generation that was created at that time.
        generation: Generation,
    },
    /// The configuration already has the requested state.
    #[display("unchanged")]
    Unchanged {
        /// The generation that has this state.
        generation: Generation,
    },
    /// A dry run that would have been accepted.
    #[display("previewed")]
    Previewed {
        /// The generation against which the difference was computed.
        generation: Generation,
    },
    /// The publication was refused and changed nothing.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// The publication may or may not have taken effect; repeating it under the same id is safe.
    #[display("unknown: {reason}")]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

impl Outcome {
    /// Returns the label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Repeated { .. } => "repeated",
            Self::Unchanged { .. } => "unchanged",
            Self::Previewed { .. } => "previewed",
            Self::Refused(_) => "refused",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns the generation that contains the requested change, if it is published.
    pub fn generation(&self) -> Option<Generation> {
        match self {
            Self::Accepted { generation }
            | Self::Repeated { generation }
            | Self::Unchanged { generation } => Some(*generation),
            Self::Previewed { .. } | Self::Refused(_) | Self::Unknown { .. } => None,
        }
    }
}
