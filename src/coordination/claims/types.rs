//! Inputs and results of the claim registry.

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

/// Limits on the claims that a daemon keeps in memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of claims.
    pub max_claims: usize,
    /// Maximum total size of the answers kept for repeated requests, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of ended claims queued for the journal.
    pub max_journal_entries: usize,
    /// Minimum retention of an ended claim on a home key.
    pub retention: Duration,
    /// Minimum retention of an ended claim that was made in the table.
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

/// Store in which a key is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimLocation {
    /// Only the memory of this incarnation.
    Home {
        /// When the key's prefix expires; an unknown key is rejected from then on.
        expires: Instant,
    },
    /// The table.
    Table,
}

/// A request to claim an idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The claimed key.
    pub id: ClaimId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Latest time of dispatch.
    pub deadline: Instant,
    /// Store in which the key is claimed.
    pub location: ClaimLocation,
}

/// Identifies one attempt to execute the request of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimToken {
    /// The claimed key.
    pub id: ClaimId,
    /// The attempt's identifier.
    pub attempt: AttemptId,
}

/// The next action that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The claim is held: dispatch the request if `ClaimRegistry::dispatch` returns `true`.
    Run(ClaimToken),
    /// Write the row, then call `ClaimRegistry::on_insert_reply`.
    Insert(InsertWrite),
    /// Read the row, then call `ClaimRegistry::on_row_read`.
    Read(RowRead),
    /// Query the holder for the state of its attempt, then call
    /// `ClaimRegistry::on_holder_reply`.
    AskHolder(ClaimToken, Holder),
    /// This daemon already has an open claim on the key: wait for a change, then call
    /// `ClaimRegistry::begin` again.
    Wait,
    /// Return the answer of the earlier execution.
    Repeat(Arc<Answer>),
    /// Refuse the request.
    Refuse(Refused),
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The key was used with a different request.
    KeyReused,
    /// Another daemon holds the claim, or a repeated request timed out waiting for the first.
    InProgress,
    /// The request was executed, and its answer is no longer kept.
    AnswerGone,
    /// The request was dispatched, and no answer was received.
    OutcomeUnknown,
    /// The key is unknown and its prefix has expired.
    Expired,
    /// The registry holds the maximum number of claims.
    Full,
    /// The daemon is shutting down.
    Closing,
    /// The holder of the key could not be determined from the table.
    Undecided,
    /// The holder could not be reached, so it is unknown whether the request was executed.
    HolderSilent,
    /// The deadline passed before dispatch.
    DeadlinePassed,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request is known not to have been executed under this key.
    pub not_run: bool,
}

/// Result of an attempt on a held claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The upstream answered.
    Answered(Arc<Answer>),
    /// The upstream may have executed the request.
    Unknown,
    /// The request was not executed and will not be under this attempt.
    NotRun,
}

/// State of an attempt as reported by the daemon that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Not yet dispatched, or still executing.
    Running,
    /// Dispatched and ended.
    Ended(Outcome),
    /// Not dispatched, and never will be.
    NotRun,
    /// The daemon has shut down and recorded all its claims in the table.
    HolderComplete,
    /// The daemon could not be reached and has not recorded that its claims are complete.
    HolderUnreachable,
}

impl Refused {
    /// Refuses a request that is known not to have been executed.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            not_run: true,
        }
    }

    /// Refuses a request that may have been executed.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            not_run: false,
        }
    }
}
