//! One publication, from the operator's request to a known outcome.
//!
//! It commits on condition that the head is unchanged and that its publish id has not taken
//! effect. After a lost answer it reads again and looks for the publish id, and commits again only
//! under the same conditions, so that it takes effect once at most.

use std::time::{Duration, Instant};

use platform_api::table::{ABSENT, CommitRequest, Key, Row};

use crate::{
    coordination::configuration::{
        outcome::{Conflict, Outcome, PublishRequest, Refusal},
        rows::{self, HEAD_KEY, HeadRow, RowError},
    },
    state::{
        check::{Fault, check},
        diff::{Change, Difference, differences, overlap},
        objects::Objects,
        record::Record,
        snapshot::Generation,
    },
};

/// The greatest number of lost races before a publication gives up.
const MAX_RACES: u32 = 32;
/// How long to look for the outcome of a commit whose answer was lost.
const UNSURE_LIMIT: Duration = Duration::from_secs(5);
/// How long to wait before asking the table again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// What to do next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read rows by key, at one view.
    Read(Vec<Key>),
    /// Read the records after a generation.
    ReadRecords {
        /// The generation.
        after: Generation,
    },
    /// Read the whole set.
    ReadWhole,
    /// Commit.
    Commit(CommitRequest),
    /// Wait, then report [`Input::Waited`].
    Wait(Duration),
    /// It has ended.
    Done(Box<End>),
}

/// What came of a step.
#[derive(Clone, Debug)]
pub enum Input {
    /// Rows were read.
    Rows(Vec<Row>),
    /// Records were read, in order.
    Records(Vec<Record>),
    /// The whole set was read.
    Whole(Generation, Box<Objects>),
    /// The commit took effect.
    Committed,
    /// A condition of the commit did not hold.
    Conflict,
    /// The step certainly had no effect.
    NotDone(String),
    /// The commit may have taken effect.
    Lost(String),
    /// The wait is over.
    Waited,
}

/// The end of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// What it changes, to be shown.
    pub differences: Vec<Difference>,
    /// The record, if this publication committed it just now.
    pub record: Option<Record>,
}

/// One publication.
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
    unsure: Option<Unsure>,
}

/// A commit whose answer was lost.
#[derive(Clone, Debug)]
struct Unsure {
    until: Instant,
    head: HeadRow,
    reason: String,
}

impl Publication {
    /// Begins a publication on a daemon that has `objects` in force at `generation`; `at_ms` is the
    /// wall clock for the record.
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
            unsure: None,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        Step::Read(vec![HEAD_KEY.into(), rows::publish_key(&self.request.id)])
    }

    /// Takes in what came of the last step and says what to do next.
    pub fn handle(&mut self, now: Instant, input: Input) -> Step {
        match input {
            Input::Rows(rows) => self.found(&rows).unwrap_or_else(|e| self.unreadable(&e)),
            Input::Records(records) => self.extend(records),
            Input::Whole(generation, objects) => {
                self.generation = generation;
                self.objects = *objects;
                self.records.clear();
                self.start()
            }
            Input::Committed => self.committed(),
            Input::Conflict => self.raced(),
            Input::NotDone(reason) => self.failed(now, reason),
            Input::Lost(reason) => self.lost(now, reason),
            Input::Waited => self.start(),
        }
    }

    fn found(&mut self, rows: &[Row]) -> Result<Step, RowError> {
        if let Some(generation) = rows::published_in(rows, &self.request.id)? {
            return Ok(self.already(generation));
        }
        let head = rows::head_in(rows)?;
        if self
            .unsure
            .as_ref()
            .is_some_and(|unsure| unsure.head != head)
        {
            // The condition of the lost commit can hold no more, so it never takes effect.
            self.unsure = None;
        }
        let newest = head.generation;
        self.head = head;
        if newest < self.generation {
            let reason = format!("its head is older than generation {}", self.generation);
            return Ok(self.refuse(Refusal::TableUnreadable { reason }));
        }
        let after = self.base().min(self.generation);
        if after == newest || self.covers(after) {
            return Ok(self.propose());
        }
        Ok(Step::ReadRecords { after })
    }

    /// The commit whose answer was lost, or an earlier call under the same id, took effect.
    fn already(&mut self, generation: Generation) -> Step {
        let record = self.record.take().filter(|r| r.generation == generation);
        let outcome = match (&record, &self.unsure) {
            (Some(_), Some(_)) => Outcome::Accepted { generation },
            _ => Outcome::Repeated { generation },
        };
        self.end(outcome, record)
    }

    /// Takes in the records after the older of the generation in force and the one shown.
    fn extend(&mut self, records: Vec<Record>) -> Step {
        let newest = self.head.generation;
        self.records = records;
        self.records.retain(|r| r.generation <= newest);
        if !self.covers(self.generation) {
            return Step::ReadWhole;
        }
        let own = self.generation;
        for record in self.records.iter().filter(|r| r.generation > own) {
            if let Err(e) = self.objects.apply(&record.changes) {
                return self.unreadable(&e.into());
            }
        }
        self.generation = newest;
        self.propose()
    }

    /// Whether every record after `after` and up to the head is at hand.
    fn covers(&self, after: Generation) -> bool {
        let mut next = after + 1;
        for record in self.records.iter().filter(|r| r.generation > after) {
            if record.generation != next {
                return false;
            }
            next += 1;
        }
        next == self.head.generation + 1
    }

    /// The generation whose difference the operator was shown, or the head when none was.
    fn base(&self) -> Generation {
        let newest = self.head.generation;
        self.request.base.map_or(newest, |base| base.min(newest))
    }

    fn propose(&mut self) -> Step {
        let edited = match self.request.edit.resolve(&self.objects) {
            Ok(edited) => edited,
            Err(faults) => return self.refuse(Refusal::Faults { faults }),
        };
        let changes = self.objects.diff(&edited);
        self.differences = differences(&self.objects, &changes);
        let generation = self.generation;
        if changes.is_empty() {
            return self.end(Outcome::Unchanged { generation }, None);
        }
        if let Some(refusal) = self.objection(&edited, &changes) {
            return self.refuse(refusal);
        }
        if self.request.dry_run {
            return self.end(Outcome::Previewed { generation }, None);
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

    fn objection(&self, edited: &Objects, changes: &[Change]) -> Option<Refusal> {
        if self.races > MAX_RACES {
            return Some(Refusal::Raced { races: self.races });
        }
        let base = self.base();
        if !self.covers(base) && base < self.generation {
            return Some(Refusal::BaseTooOld { base });
        }
        let conflicts = self.conflicts(base, changes);
        if !conflicts.is_empty() {
            return Some(Refusal::Conflicts { conflicts });
        }
        let faults = self.new_faults(edited);
        (!faults.is_empty()).then_some(Refusal::Faults { faults })
    }

    /// The faults that forbid the edited set: all of them when objects are written, and only those
    /// that were not there before when one state changes, so that an old fault never keeps an
    /// operator from taking something out of service.
    fn new_faults(&self, edited: &Objects) -> Vec<Fault> {
        let mut faults = check(edited);
        if !faults.is_empty() && !self.request.edit.is_whole() {
            let old = check(&self.objects);
            faults.retain(|fault| !old.contains(fault));
        }
        faults
    }

    fn conflicts(&self, base: Generation, changes: &[Change]) -> Vec<Conflict> {
        let newer = self.records.iter().filter(|r| r.generation > base);
        newer
            .flat_map(|record| {
                overlap(changes, &record.changes)
                    .into_iter()
                    .map(|id| Conflict {
                        id,
                        generation: record.generation,
                        operator: record.operator.clone(),
                    })
            })
            .collect()
    }

    fn committed(&mut self) -> Step {
        let record = self.record.take();
        let generation = record.as_ref().map_or(0, |r| r.generation);
        self.end(Outcome::Accepted { generation }, record)
    }

    /// Another publication was first, or this one took effect at the lost attempt; reading tells.
    fn raced(&mut self) -> Step {
        self.races += 1;
        self.start()
    }

    fn failed(&mut self, now: Instant, reason: String) -> Step {
        let Some(unsure) = &self.unsure else {
            return self.refuse(Refusal::TableDown { reason });
        };
        if now < unsure.until {
            return Step::Wait(RETRY_INTERVAL);
        }
        let reason = unsure.reason.clone();
        self.end(Outcome::Unknown { reason }, None)
    }

    fn lost(&mut self, now: Instant, reason: String) -> Step {
        let until = self
            .unsure
            .as_ref()
            .map_or(now + UNSURE_LIMIT, |unsure| unsure.until);
        self.unsure = Some(Unsure {
            until,
            head: self.head.clone(),
            reason,
        });
        if now < until {
            return self.start();
        }
        self.failed(now, String::new())
    }

    fn unreadable(&mut self, e: &RowError) -> Step {
        let reason = e.to_string();
        self.refuse(Refusal::TableUnreadable { reason })
    }

    fn refuse(&mut self, refusal: Refusal) -> Step {
        if let Some(unsure) = self.unsure.take() {
            let reason = unsure.reason;
            return self.end(Outcome::Unknown { reason }, None);
        }
        self.end(Outcome::Refused(refusal), None)
    }

    fn end(&mut self, outcome: Outcome, record: Option<Record>) -> Step {
        Step::Done(Box::new(End {
            outcome,
            differences: std::mem::take(&mut self.differences),
            record,
        }))
    }
}
