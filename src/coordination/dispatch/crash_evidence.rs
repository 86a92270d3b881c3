//! Crashes of upstreams by what may have caused them, merged over all daemons.
//!
//! Load pattern: each crash interrupts sound requests, too, and each daemon sees only its own. Only what
//! causes the crashes takes part in all of them and never survives; all sound requests together leave
//! it over.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::as_millis;

/// Number of crashes after which a suspect is refused.
const CRASHES_TO_REFUSE: usize = 3;
/// How long a suspect is kept after its last crash.
const RETENTION: Duration = Duration::from_secs(300);
/// How long changed evidence is reported; several periods of heartbeats in a large fleet.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of suspects in one report.
const MAX_REPORTED: usize = 32;
/// Maximum number of crashes reported for one suspect.
const MAX_REPORTED_CRASHES: usize = 8;
/// Maximum number of suspects kept.
const MAX_SUSPECTS: usize = 4_096;

/// Identifies a request independently of its id.
pub type Fingerprint = u64;
/// Identifies a crash: a hash of the incarnation that crashed.
pub type CrashId = u64;

/// What may have crashed an upstream.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Suspect {
    /// A request that comes again and again.
    #[display("request:{_0:016x}")]
    Request(Fingerprint),
    /// A prompt segment that requests share.
    #[display("segment:{_0:x}")]
    Segment(u64),
}

/// What a daemon knows of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    pub suspect: Suspect,
    /// Position in the prompts in which it was found, from 0.
    pub depth: u8,
    /// The crashes in which it took part.
    pub crashes: Vec<CrashId>,
    /// Time in milliseconds since the last of them was recorded.
    pub age_ms: u32,
    /// Whether an upstream has survived it.
    pub survived: bool,
}

/// A suspect at one position of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectAt {
    /// The suspect.
    pub suspect: Suspect,
    /// Position in the prompt, from 0; 0 for the request as a whole.
    pub depth: u8,
}

#[derive(Debug)]
struct Record {
    depth: u8,
    crashes: BTreeSet<CrashId>,
    /// When the last crash was recorded by any daemon.
    last: Instant,
    survived: bool,
    /// When this daemon last learned something new.
    changed: Instant,
}

impl Record {
    fn new(depth: u8, last: Instant, now: Instant) -> Self {
        Self {
            depth,
            crashes: BTreeSet::new(),
            last,
            survived: false,
            changed: now,
        }
    }

    /// Whether it may be the cause.
    fn is_candidate(&self) -> bool {
        !self.survived && self.crashes.len() >= CRASHES_TO_REFUSE
    }

    fn unexplained(&self, explained: &HashSet<CrashId>) -> usize {
        let is_unexplained = |crash: &&CrashId| !explained.contains(crash);
        self.crashes.iter().filter(is_unexplained).count()
    }
}

/// The crashes that this daemon and its peers have seen.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    records: HashMap<Suspect, Record>,
    refused: BTreeSet<Suspect>,
}

impl CrashEvidence {
    /// Records that a request with a suspect was running when an upstream crashed.
    pub fn record_crash(&mut self, at: SuspectAt, crash: CrashId, now: Instant) {
        if let Some(record) = self.record(at.suspect, at.depth, now, now)
            && record.crashes.insert(crash)
        {
            record.last = now;
            record.changed = now;
        }
    }

    /// Records that an upstream has survived a suspect.
    pub fn record_survival(&mut self, suspect: Suspect, now: Instant) {
        if let Some(record) = self.records.get_mut(&suspect)
            && !record.survived
        {
            record.survived = true;
            record.changed = now;
        }
    }

    /// Merges the report of another daemon.
    pub fn merge(&mut self, report: &SuspectReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        if age >= RETENTION {
            return;
        }
        let last = now.checked_sub(age).unwrap_or(now);
        let Some(record) = self.record(report.suspect, report.depth, last, now) else {
            return;
        };
        let known = record.crashes.len();
        record.crashes.extend(&report.crashes);
        if record.crashes.len() > known || (report.survived && !record.survived) {
            record.changed = now;
        }
        record.survived |= report.survived;
        record.depth = record.depth.max(report.depth);
        record.last = record.last.max(last);
    }

    /// Returns what to tell other daemons: what has changed recently and what is refused, the likeliest
    /// causes first.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let is_recent =
            |record: &Record| now.saturating_duration_since(record.changed) < REPORT_TIME;
        let mut reported: Vec<(&Suspect, &Record)> = self
            .records
            .iter()
            .filter(|(suspect, record)| is_recent(record) || self.refused.contains(suspect))
            .collect();
        reported.sort_unstable_by_key(|(suspect, record)| {
            let is_request = matches!(suspect, Suspect::Request(_));
            (Reverse(record.crashes.len()), is_request, **suspect)
        });
        reported
            .into_iter()
            .take(MAX_REPORTED)
            .map(|(suspect, record)| SuspectReport {
                suspect: *suspect,
                depth: record.depth,
                crashes: record
                    .crashes
                    .iter()
                    .copied()
                    .take(MAX_REPORTED_CRASHES)
                    .collect(),
                age_ms: as_millis(now.saturating_duration_since(record.last)),
                survived: record.survived,
            })
            .collect()
    }

    /// Whether requests with a suspect are refused.
    pub fn is_refused(&self, suspect: Suspect) -> bool {
        self.refused.contains(&suspect)
    }

    /// Returns the number of crashes recorded for a suspect.
    pub fn crashes(&self, suspect: Suspect) -> usize {
        self.records
            .get(&suspect)
            .map_or(0, |record| record.crashes.len())
    }

    /// Decides again what is refused; returns what was not refused before.
    ///
    /// The suspect that explains most crashes is refused. The others need enough crashes that it took
    /// no part in.
    pub fn decide(&mut self, now: Instant) -> Vec<Suspect> {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.last) < RETENTION);
        let mut explained = HashSet::new();
        let mut refused = BTreeSet::new();
        while let Some((suspect, record)) = self.likeliest_cause(&explained) {
            refused.insert(suspect);
            explained.extend(record.crashes.iter().copied());
        }
        let added = refused.difference(&self.refused).copied().collect();
        self.refused = refused;
        added
    }

    /// Returns the suspect with most unexplained crashes, if these are enough. Of several, it is the one
    /// that concerns the fewest requests: a whole request, or else the segment furthest back.
    fn likeliest_cause(&self, explained: &HashSet<CrashId>) -> Option<(Suspect, &Record)> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_candidate())
            .map(|(suspect, record)| (*suspect, record, record.unexplained(explained)))
            .filter(|(_, _, unexplained)| *unexplained >= CRASHES_TO_REFUSE)
            .max_by_key(|(suspect, record, unexplained)| {
                let is_request = matches!(suspect, Suspect::Request(_));
                (*unexplained, is_request, record.depth, *suspect)
            })
            .map(|(suspect, record, _)| (suspect, record))
    }

    /// Returns the record of a suspect, a new one if there is room.
    fn record(
        &mut self,
        suspect: Suspect,
        depth: u8,
        last: Instant,
        now: Instant,
    ) -> Option<&mut Record> {
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(&suspect) {
            return None;
        }
        let new = || Record::new(depth, last, now);
        Some(self.records.entry(suspect).or_insert_with(new))
    }
}
