//! What is asked of the claims of one daemon, and what they answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    record::{Answer, AttemptId, ClaimId, Fingerprint, Holder, Outcome},
    table_claim::{InsertWrite, RowRead},
};

/// What bounds a daemon's memory of claims.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The greatest number of claims remembered.
    pub max_claims: usize,
    /// The greatest number of bytes of answers kept for repeats.
    pub max_answer_bytes: usize,
    /// The greatest number of ended claims that wait for the journal.
    pub max_journal_entries: usize,
    /// How long a home key's ended claim is remembered at least.
    pub retention: Duration,
    /// How long a claim whose outcome is in the table is remembered.
    pub recorded_retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_claims: 32_768,
            max_answer_bytes: 4 << 20,
            max_journal_entries: 8_192,
            retention: Duration::from_secs(900),
            recorded_retention: Duration::from_secs(60),
        }
    }
}

/// Where a key is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimLocation {
    /// In this incarnation's memory alone.
    Home {
        /// When an unknown key with this prefix is no longer taken for a new one.
        expires: Instant,
    },
    /// In the table.
    Table,
}

/// A request that wants to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Its key.
    pub id: ClaimId,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// When it must have been dispatched.
    pub deadline: Instant,
    /// Where its key is claimed.
    pub location: ClaimLocation,
}

/// Names one attempt of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimToken {
    /// The key.
    pub id: ClaimId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// What to do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The claim is held: dispatch once [`ClaimRegistry::dispatch`] allows it.
    Run(ClaimToken),
    /// Write the row and report the reply.
    Insert(InsertWrite),
    /// Read the row and report it.
    Read(RowRead),
    /// Ask the holder about its attempt and report what it says.
    AskHolder(ClaimToken, Holder),
    /// The key runs here already: wait for a change, then ask again.
    Wait,
    /// The key ran before with this answer.
    Repeat(Arc<Answer>),
    /// Refuse the request.
    Refuse(Refused),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The key was used with another request.
    KeyReused,
    /// The key runs elsewhere.
    InProgress,
    /// The key ran, and the answer is no longer kept.
    AnswerGone,
    /// The key was dispatched, and no answer came.
    OutcomeUnknown,
    /// The key's prefix is too old for a new key.
    Expired,
    /// No more claims can be remembered.
    Full,
    /// The daemon is stopping.
    Closing,
    /// The table does not say who holds the key.
    Undecided,
    /// The holder does not say whether the key ran.
    HolderSilent,
    /// The deadline passed before dispatch.
    DeadlinePassed,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Whether the key has certainly not run with this request.
    pub not_run: bool,
}

/// How a held claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The upstream answered.
    Answered(Arc<Answer>),
    /// It may have run.
    Unknown,
    /// It has not run and will not under this attempt.
    NotRun,
}

/// What a daemon says of an attempt of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// It waits or runs.
    Running,
    /// It was dispatched and ended.
    Ended(Outcome),
    /// It was not dispatched and never will be.
    NotRun,
    /// Its daemon has stopped and recorded all that it dispatched.
    HolderComplete,
    /// Nobody can tell.
    HolderUnreachable,
}

impl Refused {
    /// A refusal of a request that has not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            not_run: true,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            not_run: false,
        }
    }
}
