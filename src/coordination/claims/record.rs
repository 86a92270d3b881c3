//! What is kept of claims, in memory and in the table.

use std::{fmt::Write, sync::Arc};

use compact_str::{CompactString, format_compact};
use platform_api::table::Key;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use crate::{
    coordination::membership::{DaemonName, Incarnation},
    state::objects::CustomerName,
};

/// The key that a caller sends with a request that may run at most once.
pub type IdempotencyKey = CompactString;

/// Identifies one try at running a request; never drawn twice.
pub type AttemptId = CompactString;

/// The longest answer body that is kept in the table.
pub const MAX_ROW_ANSWER_BYTES: usize = 16 << 10;

/// The number of digest bytes in a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// What a claim is about: a customer's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The customer.
    pub customer: CustomerName,
    /// The key.
    pub key: IdempotencyKey,
}

/// A digest of a request, by which a reused key is noticed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(CompactString);

impl Fingerprint {
    /// The digest of the parts in order; parts are told apart.
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

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name in lower case.
    pub name: CompactString,
    /// Its value.
    pub value: CompactString,
}

/// An upstream's whole answer, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that callers get.
    pub headers: Vec<Header>,
    /// The body.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
}

/// How a dispatched attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered; `None` when the answer is not kept.
    Answered(Option<Arc<Answer>>),
    /// It may have run, and no answer came.
    Unknown,
}

impl Outcome {
    /// The same without an answer longer than `limit` bytes.
    pub fn with_answer_limit(&self, limit: usize) -> Self {
        match self {
            Self::Answered(Some(answer)) if answer.body.len() > limit => Self::Answered(None),
            other => other.clone(),
        }
    }
}

/// Who made an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The daemon.
    pub daemon: DaemonName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
}

/// What a claim's row says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// The holder may have dispatched it.
    Claimed,
    /// The holder has not dispatched it and never will.
    Released,
    /// The holder dispatched it, and it ended.
    Ended(Outcome),
}

/// The row of a key that is claimed in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Who claimed it last.
    pub holder: Holder,
    /// How far it got.
    pub state: RowState,
}

/// One ended claim on a home key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The key.
    pub id: ClaimId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// How it ended.
    pub outcome: Outcome,
}

/// A journal row: claims on home keys that ended, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The claims.
    pub entries: Vec<JournalEntry>,
}

/// Says that an incarnation dispatches nothing more and that its journal is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteRow {
    /// The number of its journal rows.
    pub batches: u64,
}

/// The key of a claim's row.
pub fn row_key(id: &ClaimId) -> Key {
    format_compact!("claim/{}/{}", escaped(&id.customer), id.key)
}

/// The prefix of an incarnation's journal rows.
pub fn journal_prefix(daemon: &str, incarnation: Incarnation) -> Key {
    format_compact!("claim-journal/{}/{incarnation:016x}/", escaped(daemon))
}

/// The key of the row that says that an incarnation's journal is whole.
pub fn complete_key(daemon: &str, incarnation: Incarnation) -> Key {
    format_compact!("claim-complete/{}/{incarnation:016x}", escaped(daemon))
}

/// The text of a row.
pub fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// Reads a row's text.
pub fn decode<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// Keeps a name's slashes from being taken for separators.
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
