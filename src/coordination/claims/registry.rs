//! The claims of one daemon: who may run a key, and what repeats of it are told.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use compact_str::format_compact;
use platform_api::table::RowVersion;

use super::{
    journal::{Journal, JournalWrite},
    record::{AttemptId, ClaimId, Fingerprint, JournalEntry, MAX_ROW_ANSWER_BYTES, Outcome},
    table_claim::{Claiming, RecordWrite},
    types::{Ask, AttemptState, Ended, Limits, Permit, Place, Reason, Refused, Step},
};
use crate::coordination::membership::{DaemonName, Incarnation};

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) attempt: AttemptId,
    pub(super) fingerprint: Fingerprint,
    pub(super) deadline: Instant,
    pub(super) place: Place,
    pub(super) phase: Phase,
}

#[derive(Debug)]
pub(super) enum Phase {
    Claiming(Claiming),
    Held(RowVersion),
    Dispatched(RowVersion),
    Ended { outcome: Outcome, recorded: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Open,
    Closing,
    Complete,
}

/// A permit of which something is due at an instant.
#[derive(Debug)]
struct Due {
    at: Instant,
    permit: Permit,
}

/// The claims of one daemon incarnation.
#[derive(Debug)]
pub struct ClaimRegistry {
    pub(super) daemon: DaemonName,
    pub(super) incarnation: Incarnation,
    limits: Limits,
    attempts: u64,
    mode: Mode,
    pub(super) entries: HashMap<ClaimId, Entry>,
    forget_home: VecDeque<Due>,
    forget_table: VecDeque<Due>,
    answers: VecDeque<Permit>,
    answer_bytes: usize,
    pub(super) records: VecDeque<RecordWrite>,
    pub(super) journal: Journal,
}

impl ClaimRegistry {
    /// The empty registry of one daemon incarnation.
    pub fn new(daemon: DaemonName, incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            journal: Journal::new(&daemon, incarnation, limits.journal),
            daemon,
            incarnation,
            limits,
            attempts: 0,
            mode: Mode::Open,
            entries: HashMap::new(),
            forget_home: VecDeque::new(),
            forget_table: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            records: VecDeque::new(),
        }
    }

    /// Decides what to do with a request.
    pub fn begin(&mut self, now: Instant, ask: Ask) -> Step {
        if let Some(entry) = self.entries.get(&ask.id) {
            return entry.repeat(&ask.fingerprint);
        }
        if let Some(refused) = self.refuse_new(now, &ask) {
            return Step::Refuse(refused);
        }
        self.attempts += 1;
        let permit = Permit {
            attempt: format_compact!("{:x}-{:x}", self.incarnation, self.attempts),
            id: ask.id,
        };
        let phase = match ask.place {
            Place::Home { .. } => Phase::Held(0),
            Place::Table => Phase::Claiming(Claiming::default()),
        };
        let entry = Entry {
            attempt: permit.attempt.clone(),
            fingerprint: ask.fingerprint,
            deadline: ask.deadline,
            place: ask.place,
            phase,
        };
        self.entries.insert(permit.id.clone(), entry);
        match ask.place {
            Place::Home { .. } => Step::Run(permit),
            Place::Table => self.insert(permit),
        }
    }

    fn refuse_new(&mut self, now: Instant, ask: &Ask) -> Option<Refused> {
        let fresh = match ask.place {
            Place::Home { expires } => now < expires && self.mode != Mode::Complete,
            Place::Table => false,
        };
        let refuse = |reason| {
            let not_run = fresh;
            Some(Refused { reason, not_run })
        };
        if self.mode != Mode::Open {
            return refuse(Reason::Closing);
        }
        if matches!(ask.place, Place::Home { expires } if expires <= now) {
            return refuse(Reason::Expired);
        }
        if ask.deadline <= now {
            return refuse(Reason::DeadlinePassed);
        }
        if self.entries.len() >= self.limits.entries {
            return refuse(Reason::Full);
        }
        None
    }

    /// Whether the attempt may be sent to an upstream now; asked immediately before, after any pause.
    pub fn dispatch(&mut self, now: Instant, permit: &Permit) -> bool {
        if self.mode == Mode::Complete {
            return false;
        }
        let Some(entry) = self.entry_mut(permit) else {
            return false;
        };
        match entry.phase {
            Phase::Held(version) if now < entry.deadline => {
                entry.phase = Phase::Dispatched(version);
                true
            }
            _ => false,
        }
    }

    /// Notes that no byte of a dispatch was sent, so that it may be tried again.
    pub fn not_sent(&mut self, permit: &Permit) {
        if let Some(entry) = self.entry_mut(permit)
            && let Phase::Dispatched(version) = entry.phase
        {
            entry.phase = Phase::Held(version);
        }
    }

    /// Notes how a held attempt ended; returns whether the claim was still held.
    ///
    /// Only then is it certain that a key that has not run here has not run elsewhere.
    pub fn ended(&mut self, now: Instant, permit: &Permit, ended: Ended) -> bool {
        let Some(entry) = self.entry_mut(permit) else {
            return false;
        };
        let (Phase::Held(version) | Phase::Dispatched(version)) = entry.phase else {
            return false;
        };
        match ended {
            Ended::Answered(answer) => {
                self.end(now, permit, version, Outcome::Answered(Some(answer)));
            }
            Ended::Unknown => self.end(now, permit, version, Outcome::Unknown),
            Ended::NotRun => self.release(permit, version),
        }
        true
    }

    fn end(&mut self, now: Instant, permit: &Permit, version: RowVersion, outcome: Outcome) {
        let Some(entry) = self.entry_mut(permit) else {
            return;
        };
        let place = entry.place;
        let fingerprint = entry.fingerprint.clone();
        entry.phase = Phase::Ended {
            outcome: outcome.clone(),
            recorded: matches!(place, Place::Home { .. }),
        };
        let kept = outcome.within(MAX_ROW_ANSWER_BYTES);
        match place {
            Place::Table => self.record(permit, version, fingerprint, kept),
            Place::Home { .. } => self.journal.push(JournalEntry {
                id: permit.id.clone(),
                fingerprint,
                outcome: kept,
            }),
        }
        self.keep_answer(permit, &outcome);
        self.forget_later(now, permit.clone(), place);
    }

    fn forget_later(&mut self, now: Instant, permit: Permit, place: Place) {
        let (queue, retention) = match place {
            Place::Home { .. } => (&mut self.forget_home, self.limits.retention),
            Place::Table => (&mut self.forget_table, self.limits.recorded_retention),
        };
        queue.push_back(Due {
            at: now + retention,
            permit,
        });
    }

    fn keep_answer(&mut self, permit: &Permit, outcome: &Outcome) {
        let bytes = answer_bytes(outcome);
        if bytes == 0 {
            return;
        }
        self.answer_bytes += bytes;
        self.answers.push_back(permit.clone());
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, permit: &Permit) {
        let Some(entry) = self.entry_mut(permit) else {
            return;
        };
        if let Phase::Ended { outcome, .. } = &mut entry.phase {
            let freed = answer_bytes(outcome);
            *outcome = outcome.within(0);
            self.answer_bytes -= freed;
        }
    }

    /// Forgets claims that ended long enough ago.
    pub fn expire(&mut self, now: Instant) {
        while let Some(due) = take_due(&mut self.forget_home, now) {
            self.expire_one(now, due.permit);
        }
        while let Some(due) = take_due(&mut self.forget_table, now) {
            self.expire_one(now, due.permit);
        }
        let entries = &self.entries;
        self.answers.retain(|permit| {
            let entry = entries.get(&permit.id);
            entry.is_some_and(|entry| entry.attempt == permit.attempt)
        });
    }

    fn expire_one(&mut self, now: Instant, permit: Permit) {
        let Some(entry) = self.entry_mut(&permit) else {
            return;
        };
        let place = entry.place;
        let recorded = matches!(entry.phase, Phase::Ended { recorded: true, .. });
        let may_look_new = matches!(place, Place::Home { expires } if now < expires);
        if !recorded || may_look_new {
            return self.forget_later(now, permit, place);
        }
        self.drop_answer(&permit);
        self.entries.remove(&permit.id);
    }

    /// What this daemon knows of one of its own attempts.
    pub fn state_of(&self, permit: &Permit) -> AttemptState {
        match self.entries.get(&permit.id) {
            Some(entry) if entry.attempt == permit.attempt => match &entry.phase {
                Phase::Ended { outcome, .. } => AttemptState::Ended(outcome.clone()),
                _ => AttemptState::Running,
            },
            _ => AttemptState::NotRun,
        }
    }

    /// Takes no new claims from now on.
    pub fn close(&mut self) {
        if self.mode == Mode::Open {
            self.mode = Mode::Closing;
        }
    }

    /// The number of claims that have not ended.
    pub fn open_claims(&self) -> usize {
        let ended = |entry: &&Entry| !matches!(entry.phase, Phase::Ended { .. });
        self.entries.values().filter(ended).count()
    }

    /// The latest deadline of a claim that has not ended.
    pub fn open_until(&self) -> Option<Instant> {
        let open = |entry: &&Entry| !matches!(entry.phase, Phase::Ended { .. });
        let open = self.entries.values().filter(open);
        open.map(|entry| entry.deadline).max()
    }

    /// Ends all open claims, the dispatched ones with an unknown outcome, the others as not run.
    pub fn abandon(&mut self, now: Instant) {
        let mut open: Vec<Permit> = Vec::new();
        for (id, entry) in &self.entries {
            if !matches!(entry.phase, Phase::Ended { .. }) {
                open.push(Permit {
                    id: id.clone(),
                    attempt: entry.attempt.clone(),
                });
            }
        }
        open.sort_by(|a, b| a.attempt.cmp(&b.attempt));
        for permit in open {
            let ended = match self.entries[&permit.id].phase {
                Phase::Dispatched(_) => Ended::Unknown,
                _ => Ended::NotRun,
            };
            if !self.ended(now, &permit, ended) {
                self.forget(&permit);
            }
        }
    }

    /// The write that says that all claims are in the table, once that is so; nothing is dispatched after.
    pub fn complete(&mut self) -> Option<JournalWrite> {
        let settled = self.mode != Mode::Open && self.open_claims() == 0 && self.records.is_empty();
        if !settled {
            return None;
        }
        let write = self.journal.complete()?;
        self.mode = Mode::Complete;
        Some(write)
    }

    pub(super) fn forget(&mut self, permit: &Permit) {
        if self.remembers(permit) {
            self.entries.remove(&permit.id);
        }
    }

    pub(super) fn entry_mut(&mut self, permit: &Permit) -> Option<&mut Entry> {
        self.entries
            .get_mut(&permit.id)
            .filter(|entry| entry.attempt == permit.attempt)
    }

    fn remembers(&self, permit: &Permit) -> bool {
        self.entries
            .get(&permit.id)
            .is_some_and(|entry| entry.attempt == permit.attempt)
    }
}

impl Entry {
    fn repeat(&self, fingerprint: &Fingerprint) -> Step {
        // Until the claim is held, another request may have run under the key elsewhere.
        if matches!(self.phase, Phase::Claiming(_)) {
            return Step::Wait;
        }
        if self.fingerprint != *fingerprint {
            return Step::Refuse(Refused::not_run(Reason::KeyReused));
        }
        match &self.phase {
            Phase::Ended { outcome, .. } => repeat(outcome),
            _ => Step::Wait,
        }
    }
}

/// What a repeat of an ended claim is told.
pub(super) fn repeat(outcome: &Outcome) -> Step {
    match outcome {
        Outcome::Answered(Some(answer)) => Step::Repeat(answer.clone()),
        Outcome::Answered(None) => Step::Refuse(Refused::unknown(Reason::AnswerGone)),
        Outcome::Unknown => Step::Refuse(Refused::unknown(Reason::OutcomeUnknown)),
    }
}

fn answer_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered(Some(answer)) => answer.body.len(),
        _ => 0,
    }
}

fn take_due(queue: &mut VecDeque<Due>, now: Instant) -> Option<Due> {
    queue
        .front()
        .is_some_and(|due| due.at <= now)
        .then(|| queue.pop_front())?
}
