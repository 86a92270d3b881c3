//! At-most-once execution of non-idempotent requests, keyed by customer and idempotency key.
//!
//! A *home key* names the one daemon incarnation that may run it; that daemon decides from its own
//! memory and journals ended claims to the table. Any other key is claimed by a conditional write
//! of its row before dispatch. A claim is taken over only when its holder says that the attempt
//! will never be dispatched, or has written that all its claims are in the table.

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
