//! At-most-once execution of non-idempotent requests, keyed by customer and idempotency key.
//!
//! A *home key* names the only daemon incarnation that may execute its request. That daemon decides
//! from its own memory and journals ended claims to the table. Any other key is claimed by a
//! conditional write of its row before dispatch. Another daemon takes over a claim only when the
//! holder reports that the attempt will never be dispatched, or when the holder has recorded that
//! all its claims are in the table.

mod journal;
mod record;
mod registry;
mod table_claim;
mod types;

pub use journal::{JournalState, JournalView, JournalWrite};
pub use record::{
    Answer, AttemptId, ClaimId, ClaimRow, CompleteRow, Fingerprint, Header, Holder, IdempotencyKey,
    JournalBatch, JournalEntry, MAX_ROW_ANSWER_BYTES, Outcome, RowState, complete_key, decode,
    encode, journal_prefix, row_key,
};
pub use registry::ClaimRegistry;
pub use table_claim::{InsertWrite, RecordWrite, RowRead, WriteReply};
pub use types::{
    AttemptState, ClaimLocation, ClaimRequest, ClaimToken, Ended, Limits, Reason, Refused, Step,
};
