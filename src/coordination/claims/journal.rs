//! The journal of ended home claims: its writer, and what others read from it.

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

/// The greatest number of claims in one row.
const MAX_BATCH_ENTRIES: usize = 256;

/// A row to insert; it may be tried again and again, because its content never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalWrite {
    /// The row's key.
    pub key: Key,
    /// The row's value.
    pub value: String,
}

/// Queues ended claims and writes them in numbered batches.
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
    /// The next journal row to insert, the same one until it is [written](Self::journal_written).
    pub fn next_journal_write(&mut self) -> Option<JournalWrite> {
        self.journal.next_write()
    }

    /// Notes that the journal row with this key is in the table.
    pub fn journal_written(&mut self, key: &str) {
        self.journal.written(key);
    }
}

/// What an incarnation's journal says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalState {
    /// It was dispatched and ended so, for this request.
    Ended(Fingerprint, Outcome),
    /// The incarnation never dispatched it and never will.
    NeverRan,
    /// The journal does not tell.
    Unknown,
}

/// An incarnation's journal as read from the table.
#[derive(Clone, Debug, Default)]
pub struct JournalView {
    complete: bool,
    entries: HashMap<ClaimId, JournalEntry>,
}

impl JournalView {
    /// Reads the journal's rows; `complete` must have been read before them.
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

    /// Whether it will never change.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The number of claims in it.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it has no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What it says of a key.
    pub fn state_of(&self, id: &ClaimId) -> JournalState {
        match self.entries.get(id) {
            Some(entry) => JournalState::Ended(entry.fingerprint.clone(), entry.outcome.clone()),
            None if self.complete => JournalState::NeverRan,
            None => JournalState::Unknown,
        }
    }
}
