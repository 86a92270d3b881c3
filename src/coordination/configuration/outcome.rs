//! What operators ask of a publication, and how it ends.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::configuration::edit::Edit,
    state::{
        check::Fault, diff::ObjectId, objects::OperatorName, record::PublishId,
        snapshot::Generation,
    },
};

/// What an operator wants published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishRequest {
    /// Its id; a repetition under the same id takes effect once.
    pub id: PublishId,
    /// Who wants it.
    pub operator: OperatorName,
    /// What to change.
    pub edit: Edit,
    /// The generation whose difference the operator was shown.
    pub base: Option<Generation>,
    /// Whether only the difference is wanted.
    pub dry_run: bool,
}

/// An object that another publication has changed since the operator saw it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{id}: changed by {operator} in generation {generation}")]
pub struct Conflict {
    /// The object.
    pub id: ObjectId,
    /// The generation that changed it.
    pub generation: Generation,
    /// Who published that.
    pub operator: OperatorName,
}

/// Why a publication was refused; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// The whole set would have faults.
    #[error("the set would have {} faults", faults.len())]
    Faults {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// Another operator has changed the same objects.
    #[error("another operator has changed {} of these objects", conflicts.len())]
    Conflicts {
        /// All of them.
        conflicts: Vec<Conflict>,
    },
    /// The difference was shown so long ago that conflicts cannot be found.
    #[error("generation {base} is too old to be compared with")]
    BaseTooOld {
        /// The generation that was shown.
        base: Generation,
    },
    /// Other publications were always first.
    #[error("{races} other publications were first")]
    Raced {
        /// How often.
        races: u32,
    },
    /// The table did not act.
    #[error("the table is not available: {reason}")]
    TableDown {
        /// What went wrong.
        reason: String,
    },
    /// The rows in the table make no sense.
    #[error("the table's rows cannot be read: {reason}")]
    TableUnreadable {
        /// What is wrong.
        reason: String,
    },
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It took effect.
    #[display("accepted")]
    Accepted {
        /// The generation that it made.
        generation: Generation,
    },
    /// It had taken effect before, under the same id.
    #[display("repeated")]
    Repeated {
        /// The generation that it made then.
        generation: Generation,
    },
    /// Everything is so already.
    #[display("unchanged")]
    Unchanged {
        /// The generation in which it is.
        generation: Generation,
    },
    /// Only the difference was wanted, and it would be accepted.
    #[display("previewed")]
    Previewed {
        /// The generation with which it was compared.
        generation: Generation,
    },
    /// It was refused and changed nothing.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// It may or may not have taken effect; repeating it is harmless.
    #[display("unknown: {reason}")]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

impl Outcome {
    /// One word for it, for logs and metrics.
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

    /// The generation in which what was asked is in force, if it is.
    pub fn generation(&self) -> Option<Generation> {
        match self {
            Self::Accepted { generation }
            | Self::Repeated { generation }
            | Self::Unchanged { generation } => Some(*generation),
            Self::Previewed { .. } | Self::Refused(_) | Self::Unknown { .. } => None,
        }
    }
}
