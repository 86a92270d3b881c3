//! Claim records in memory and in the table.

use std::{fmt::Write, sync::Arc};

use compact_str::{CompactString, format_compact};
use platform_api::table::Key;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    state::objects::CustomerName,
};

/// Key that a caller sends with a request to have it executed at most once.
pub type IdempotencyKey = CompactString;

/// Identifier of one attempt to execute a request; unique across all incarnations.
pub type AttemptId = CompactString;

/// Maximum size of an answer body stored in the table, in bytes.
pub const MAX_ROW_ANSWER_BYTES: usize = 16 << 10;

/// Number of digest bytes in a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a claim by customer and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The customer that sent the request.
    pub customer: CustomerName,
    /// The idempotency key.
    pub key: IdempotencyKey,
}

/// Digest of a request, compared to detect a key that is reused with a different request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(CompactString);

impl Fingerprint {
    /// Hashes the parts in order; each is prefixed with its length so that the boundaries count.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut text = CompactString::default();
        for byte in &hash.finalize()[..FINGERPRINT_BYTES] {
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

/// HTTP header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

/// Complete answer of an upstream, kept for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers returned to callers.
    pub headers: Vec<Header>,
    /// Response body.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
}

/// Outcome of a dispatched attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered; `None` when the answer is not kept.
    Answered(Option<Arc<Answer>>),
    /// The upstream may have executed the request, and no answer was received.
    Unknown,
}

impl Outcome {
    /// Returns a copy of the outcome without the answer if its body exceeds `limit` bytes.
    pub fn with_answer_limit(&self, limit: usize) -> Self {
        match self {
            Self::Answered(Some(answer)) if answer.body.len() > limit => Self::Answered(None),
            other => other.clone(),
        }
    }
}

/// Daemon incarnation and attempt that hold a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The attempt's identifier.
    pub attempt: AttemptId,
}

/// State of a claim in its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// The holder may have dispatched the request.
    Claimed,
    /// The holder has not dispatched the request and never will.
    Released,
    /// The holder dispatched the request, and the attempt ended.
    Ended(Outcome),
}

/// Row of a key that is claimed in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Most recent holder of the claim.
    pub holder: Holder,
    /// State of the claim.
    pub state: RowState,
}

/// An ended claim on a home key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The claimed key.
    pub id: ClaimId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// Journal row: ended claims on home keys, in the order in which they ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The ended claims.
    pub entries: Vec<JournalEntry>,
}

/// Row stating that an incarnation dispatches no more requests and that its journal is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteRow {
    /// Number of journal rows of the incarnation.
    pub batches: u64,
}

/// Returns the table key of a claim's row.
pub fn row_key(id: &ClaimId) -> Key {
    format_compact!("claim/{}/{}", escaped(&id.customer), id.key)
}

/// Returns the key prefix of an incarnation's journal rows.
pub fn journal_prefix(daemon: &str, incarnation: Incarnation) -> Key {
    format_compact!("claim-journal/{}/{incarnation:016x}/", escaped(daemon))
}

/// Returns the key of an incarnation's [`CompleteRow`].
pub fn complete_key(daemon: &str, incarnation: Incarnation) -> Key {
    format_compact!("claim-complete/{}/{incarnation:016x}", escaped(daemon))
}

/// Serializes a row to JSON.
pub fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// Parses a row from JSON.
pub fn decode<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// Escapes slashes in a name, as they separate the parts of a row key.
fn escaped(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2f")
}

mod base64_text {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
