//! The state machine of one publication, from the operator's request to its outcome.
//!
//! A commit requires that the head is unchanged and that the publish id has not taken effect. If
//! the response to a commit is lost, the publication reads the rows again, looks for the publish id
//! and commits again only under the same conditions, so it takes effect at most once.

use std::time::{Duration, Instant};

use platform_api::table::{ABSENT, CommitRequest, Key, Row};

use crate::{
    coordination::configuration::{
        outcome::{Conflict, Outcome, PublishRequest, Refusal},
        rows::{self, HEAD_KEY, HeadRow, RowError},
    },
    state::{
        check::{Fault, check},
        diff::{Change, Difference, differences, overlapping_objects},
        objects::Objects,
        record::Record,
        snapshot::Generation,
    },
};

/// Maximum number of lost races before a publication fails.
const MAX_RACES: u32 = 32;
/// How long to look for the outcome of a commit whose response was lost.
const UNCERTAIN_COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before the next request to the table.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The next step to perform.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read rows by key, in one consistent read.
    Read(Vec<Key>),
    /// Read the records after a generation.
    ReadRecords {
        /// The generation.
        after: Generation,
    },
    /// Read the complete set of objects.
    ReadWhole,
    /// Apply a conditional commit.
    Commit(CommitRequest),
    /// Wait, then report [`StepResult::Waited`].
    Wait(Duration),
    /// The publication has ended.
    Done(Box<PublishResult>),
}

/// The result of a step.
#[derive(Clone, Debug)]
pub enum StepResult {
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The records that were read, in order.
    Records(Vec<Record>),
    /// The complete set of objects.
    Whole(Generation, Box<Objects>),
    /// The commit took effect.
    Committed,
    /// A condition of the commit was not met.
    Conflict,
    /// The step definitely had no effect.
    NotApplied(String),
    /// The response was lost, so the commit may have taken effect.
    ResponseLost(String),
    /// The wait has ended.
    Waited,
}

/// The result of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The changes, for display.
    pub differences: Vec<Difference>,
    /// The record, if this call committed it.
    pub record: Option<Record>,
}

/// The state of a publication.
#[derive(Debug)]
pub struct Publication {
    request: PublishRequest,
    at_ms: u64,
    generation: Generation,
    objects: Objects,
    records: Vec<Record>,
    head: HeadRow,
    record: Option<Record>,
    differences: Vec<Difference>,
    races: u32,
    uncertain: Option<UncertainCommit>,
}

/// A commit whose response was lost.
#[derive(Clone, Debug)]
struct UncertainCommit {
    deadline: Instant,
    head: HeadRow,
    reason: String,
}

impl Publication {
    /// Creates a publication on a daemon that has `objects` in force at `generation`; `at_ms` is
    /// the wall-clock time for the record.
    pub fn new(
        request: PublishRequest,
        at_ms: u64,
        generation: Generation,
        objects: Objects,
    ) -> Self {
        Self {
            request,
            at_ms,
            generation,
            objects,
            records: Vec::new(),
            head: HeadRow {
                generation: 0,
                version: ABSENT,
            },
            record: None,
            differences: Vec::new(),
            races: 0,
            uncertain: None,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        Step::Read(vec![HEAD_KEY.into(), rows::publish_key(&self.request.id)])
    }

    /// Handles the result of the last step and returns the next one.
    pub fn handle(&mut self, now: Instant, result: StepResult) -> Step {
        match result {
            StepResult::Rows(rows) => self
                .handle_rows(&rows)
                .unwrap_or_else(|e| self.refuse_unreadable(&e)),
            StepResult::Records(records) => self.handle_records(records),
            StepResult::Whole(generation, objects) => {
                self.generation = generation;
                self.objects = *objects;
                self.records.clear();
                self.start()
            }
            StepResult::Committed => self.handle_commit(),
            StepResult::Conflict => self.handle_conflict(),
            StepResult::NotApplied(reason) => self.handle_failure(now, reason),
            StepResult::ResponseLost(reason) => self.handle_lost_response(now, reason),
            StepResult::Waited => self.start(),
        }
    }

    fn handle_rows(&mut self, rows: &[Row]) -> Result<Step, RowError> {
        if let Some(generation) = rows::find_published_generation(rows, &self.request.id)? {
            return Ok(self.finish_repeated(generation));
        }
        let head = rows::parse_head(rows)?;
        if self
            .uncertain
            .as_ref()
            .is_some_and(|uncertain| uncertain.head != head)
        {
            // The condition of the uncertain commit can no longer be met, so it never takes effect.
            self.uncertain = None;
        }
        let newest = head.generation;
        self.head = head;
        if newest < self.generation {
            let reason = format!("its head is older than generation {}", self.generation);
            return Ok(self.refuse(Refusal::TableUnreadable { reason }));
        }
        let after = self.base().min(self.generation);
        if after == newest || self.has_records_after(after) {
            return Ok(self.prepare_commit());
        }
        Ok(Step::ReadRecords { after })
    }

    /// Finishes after the uncertain commit, or an earlier call with the same id, took effect.
    fn finish_repeated(&mut self, generation: Generation) -> Step {
        let record = self.record.take().filter(|r| r.generation == generation);
        let outcome = match (&record, &self.uncertain) {
            (Some(_), Some(_)) => Outcome::Accepted { generation },
            _ => Outcome::Repeated { generation },
        };
        self.finish(outcome, record)
    }

    /// Handles the records after the older of the generation in force and the generation shown.
    fn handle_records(&mut self, records: Vec<Record>) -> Step {
        let newest = self.head.generation;
        self.records = records;
        self.records.retain(|r| r.generation <= newest);
        if !self.has_records_after(self.generation) {
            return Step::ReadWhole;
        }
        let own = self.generation;
        for record in self.records.iter().filter(|r| r.generation > own) {
            if let Err(e) = self.objects.apply(&record.changes) {
                return self.refuse_unreadable(&e.into());
            }
        }
        self.generation = newest;
        self.prepare_commit()
    }

    /// Whether all records after `after`, up to the head, have been read.
    fn has_records_after(&self, after: Generation) -> bool {
        let mut next = after + 1;
        for record in self.records.iter().filter(|r| r.generation > after) {
            if record.generation != next {
                return false;
            }
            next += 1;
        }
        next == self.head.generation + 1
    }

    /// The generation against which the operator was shown the difference, or else the head.
    fn base(&self) -> Generation {
        let newest = self.head.generation;
        self.request.base.map_or(newest, |base| base.min(newest))
    }

    fn prepare_commit(&mut self) -> Step {
        let edited = match self.request.edit.resolve(&self.objects) {
            Ok(edited) => edited,
            Err(faults) => return self.refuse(Refusal::Faults { faults }),
        };
        let changes = self.objects.diff(&edited);
        self.differences = differences(&self.objects, &changes);
        let generation = self.generation;
        if changes.is_empty() {
            return self.finish(Outcome::Unchanged { generation }, None);
        }
        if let Some(refusal) = self.find_refusal(&edited, &changes) {
            return self.refuse(refusal);
        }
        if self.request.dry_run {
            return self.finish(Outcome::Previewed { generation }, None);
        }
        let record = Record {
            generation: generation + 1,
            publish_id: self.request.id.clone(),
            operator: self.request.operator.clone(),
            at_ms: self.at_ms,
            changes,
        };
        let commit = rows::publish_commit(&record, self.head.version);
        self.record = Some(record);
        Step::Commit(commit)
    }

    fn find_refusal(&self, edited: &Objects, changes: &[Change]) -> Option<Refusal> {
        if self.races > MAX_RACES {
            return Some(Refusal::Raced { races: self.races });
        }
        let base = self.base();
        if !self.has_records_after(base) && base < self.generation {
            return Some(Refusal::BaseTooOld { base });
        }
        let conflicts = self.conflicts(base, changes);
        if !conflicts.is_empty() {
            return Some(Refusal::Conflicts { conflicts });
        }
        let faults = self.blocking_faults(edited);
        (!faults.is_empty()).then_some(Refusal::Faults { faults })
    }

    /// Returns the faults that block the publication: all faults if objects are written, but only
    /// new ones if a single state changes, so that an existing fault never prevents an operator
    /// from taking something out of service.
    fn blocking_faults(&self, edited: &Objects) -> Vec<Fault> {
        let mut faults = check(edited);
        if !faults.is_empty() && !self.request.edit.writes_objects() {
            let old = check(&self.objects);
            faults.retain(|fault| !old.contains(fault));
        }
        faults
    }

    fn conflicts(&self, base: Generation, changes: &[Change]) -> Vec<Conflict> {
        let newer = self.records.iter().filter(|r| r.generation > base);
        newer
            .flat_map(|record| {
                overlapping_objects(changes, &record.changes)
                    .into_iter()
                    .map(|id| Conflict {
                        id,
                        generation: record.generation,
                        operator: record.operator.clone(),
                    })
            })
            .collect()
    }

    fn handle_commit(&mut self) -> Step {
        let record = self.record.take();
        let generation = record.as_ref().map_or(0, |r| r.generation);
        self.finish(Outcome::Accepted { generation }, record)
    }

    /// Reads the rows again: another publication committed first, or this one took effect in the
    /// attempt whose response was lost.
    fn handle_conflict(&mut self) -> Step {
        self.races += 1;
        self.start()
    }

    fn handle_failure(&mut self, now: Instant, reason: String) -> Step {
        let Some(uncertain) = &self.uncertain else {
            return self.refuse(Refusal::TableDown { reason });
        };
        if now < uncertain.deadline {
            return Step::Wait(RETRY_INTERVAL);
        }
        let reason = uncertain.reason.clone();
        self.finish(Outcome::Unknown { reason }, None)
    }

    fn handle_lost_response(&mut self, now: Instant, reason: String) -> Step {
        let deadline = self
            .uncertain
            .as_ref()
            .map_or(now + UNCERTAIN_COMMIT_TIMEOUT, |uncertain| {
                uncertain.deadline
            });
        self.uncertain = Some(UncertainCommit {
            deadline,
            head: self.head.clone(),
            reason,
        });
        if now < deadline {
            return self.start();
        }
        self.handle_failure(now, String::new())
    }

    fn refuse_unreadable(&mut self, e: &RowError) -> Step {
        let reason = e.to_string();
        self.refuse(Refusal::TableUnreadable { reason })
    }

    fn refuse(&mut self, refusal: Refusal) -> Step {
        if let Some(uncertain) = self.uncertain.take() {
            let reason = uncertain.reason;
            return self.finish(Outcome::Unknown { reason }, None);
        }
        self.finish(Outcome::Refused(refusal), None)
    }

    fn finish(&mut self, outcome: Outcome, record: Option<Record>) -> Step {
        Step::Done(Box::new(PublishResult {
            outcome,
            differences: std::mem::take(&mut self.differences),
            record,
        }))
    }
}
