//! Journal of ended claims on home keys, written by their home and read by other daemons.

use std::collections::{HashMap, VecDeque};

use compact_str::format_compact;
use platform_api::table::{Key, Row};

use super::{
    record::{
        ClaimId, CompleteRow, Fingerprint, JournalBatch, JournalEntry, Outcome, complete_key,
        decode, encode, journal_prefix,
    },
    registry::ClaimRegistry,
};
use crate::coordination::membership::Incarnation;

/// Maximum number of claims in one row.
const MAX_BATCH_ENTRIES: usize = 256;

/// Row to insert; the insert may be retried, as the content never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalWrite {
    /// Key of the row.
    pub key: Key,
    /// Value of the row.
    pub value: String,
}

/// Queues ended claims and groups them into numbered batches.
#[derive(Debug)]
pub(super) struct Journal {
    prefix: Key,
    complete_key: Key,
    max_queued: usize,
    queue: VecDeque<JournalEntry>,
    writing: Option<JournalWrite>,
    batches: u64,
    has_gap: bool,
}

impl Journal {
    pub(super) fn new(daemon: &str, incarnation: Incarnation, max_queued: usize) -> Self {
        Self {
            prefix: journal_prefix(daemon, incarnation),
            complete_key: complete_key(daemon, incarnation),
            max_queued,
            queue: VecDeque::new(),
            writing: None,
            batches: 0,
            has_gap: false,
        }
    }

    pub(super) fn push(&mut self, entry: JournalEntry) {
        if self.queue.len() >= self.max_queued {
            self.queue.pop_front();
            self.has_gap = true;
        }
        self.queue.push_back(entry);
    }

    fn next_write(&mut self) -> Option<JournalWrite> {
        if self.writing.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(MAX_BATCH_ENTRIES);
            let entries = self.queue.drain(..count).collect();
            self.writing = Some(JournalWrite {
                key: format_compact!("{}{:08}", self.prefix, self.batches),
                value: encode(&JournalBatch { entries }),
            });
        }
        self.writing.clone()
    }

    fn written(&mut self, key: &str) {
        if self.writing.take_if(|write| write.key == key).is_some() {
            self.batches += 1;
        }
    }

    pub(super) fn complete(&self) -> Option<JournalWrite> {
        if self.has_gap || self.writing.is_some() || !self.queue.is_empty() {
            return None;
        }
        let batches = self.batches;
        Some(JournalWrite {
            key: self.complete_key.clone(),
            value: encode(&CompleteRow { batches }),
        })
    }
}

impl ClaimRegistry {
    /// Returns the next journal row to insert; returns the same row until it is reported as
    /// [written](Self::journal_written).
    pub fn next_journal_write(&mut self) -> Option<JournalWrite> {
        self.journal.next_write()
    }

    /// Records that the journal row with this key is in the table.
    pub fn journal_written(&mut self, key: &str) {
        self.journal.written(key);
    }
}

/// State of a key according to an incarnation's journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalState {
    /// The request with this fingerprint was dispatched and ended with this outcome.
    Ended(Fingerprint, Outcome),
    /// The incarnation never dispatched a request with the key and never will.
    NeverRan,
    /// The journal is incomplete and has no entry for the key.
    Unknown,
}

/// Journal of an incarnation as read from the table.
#[derive(Clone, Debug, Default)]
pub struct JournalView {
    complete: bool,
    entries: HashMap<ClaimId, JournalEntry>,
}

impl JournalView {
    /// Parses the journal's rows.
    ///
    /// `complete` must have been read from the table before `rows`.
    pub fn new(complete: Option<&Row>, rows: &[Row]) -> Self {
        let complete: Option<CompleteRow> = complete.and_then(|row| decode(&row.value));
        let batches: Vec<JournalBatch> = rows.iter().filter_map(|r| decode(&r.value)).collect();
        let all_batches_read = complete.is_some_and(|row| row.batches == batches.len() as u64);
        let entries = batches.into_iter().flat_map(|batch| batch.entries);
        Self {
            complete: all_batches_read,
            entries: entries.map(|e| (e.id.clone(), e)).collect(),
        }
    }

    /// Whether the journal is complete and will not change anymore.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Number of claims in the journal.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the journal has no claims.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the state of a key.
    pub fn state_of(&self, id: &ClaimId) -> JournalState {
        match self.entries.get(id) {
            Some(entry) => JournalState::Ended(entry.fingerprint.clone(), entry.outcome.clone()),
            None if self.complete => JournalState::NeverRan,
            None => JournalState::Unknown,
        }
    }
}
