//! Registry of one daemon's claims: decides which requests may be executed and how repeated
//! requests are answered.

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
    types::{
        AttemptState, ClaimLocation, ClaimRequest, ClaimToken, Ended, Limits, Reason, Refused, Step,
    },
};
use crate::coordination::membership::{DaemonName, Incarnation};

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) attempt: AttemptId,
    pub(super) fingerprint: Fingerprint,
    pub(super) deadline: Instant,
    pub(super) location: ClaimLocation,
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

/// Earliest time at which a claim may be removed.
#[derive(Debug)]
struct Expiry {
    expires_at: Instant,
    token: ClaimToken,
}

/// Claims of one daemon incarnation.
#[derive(Debug)]
pub struct ClaimRegistry {
    pub(super) daemon: DaemonName,
    pub(super) incarnation: Incarnation,
    limits: Limits,
    attempts: u64,
    mode: Mode,
    pub(super) entries: HashMap<ClaimId, Entry>,
    home_expiries: VecDeque<Expiry>,
    table_expiries: VecDeque<Expiry>,
    retained_answers: VecDeque<ClaimToken>,
    answer_bytes: usize,
    pub(super) records: VecDeque<RecordWrite>,
    pub(super) journal: Journal,
}

impl ClaimRegistry {
    /// Creates an empty registry for a daemon incarnation.
    pub fn new(daemon: DaemonName, incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            journal: Journal::new(&daemon, incarnation, limits.max_journal_entries),
            daemon,
            incarnation,
            limits,
            attempts: 0,
            mode: Mode::Open,
            entries: HashMap::new(),
            home_expiries: VecDeque::new(),
            table_expiries: VecDeque::new(),
            retained_answers: VecDeque::new(),
            answer_bytes: 0,
            records: VecDeque::new(),
        }
    }

    /// Starts a claim, or returns the result of an earlier claim on the same key.
    pub fn begin(&mut self, now: Instant, request: ClaimRequest) -> Step {
        if let Some(entry) = self.entries.get(&request.id) {
            return entry.step_for_repeat(&request.fingerprint);
        }
        if let Some(refused) = self.new_claim_refusal(now, &request) {
            return Step::Refuse(refused);
        }
        self.attempts += 1;
        let token = ClaimToken {
            attempt: format_compact!("{:x}-{:x}", self.incarnation, self.attempts),
            id: request.id,
        };
        let phase = match request.location {
            ClaimLocation::Home { .. } => Phase::Held(0),
            ClaimLocation::Table => Phase::Claiming(Claiming::default()),
        };
        let entry = Entry {
            attempt: token.attempt.clone(),
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            location: request.location,
            phase,
        };
        self.entries.insert(token.id.clone(), entry);
        match request.location {
            ClaimLocation::Home { .. } => Step::Run(token),
            ClaimLocation::Table => self.insert(token),
        }
    }

    fn new_claim_refusal(&mut self, now: Instant, request: &ClaimRequest) -> Option<Refused> {
        let known_not_run = match request.location {
            ClaimLocation::Home { expires } => now < expires && self.mode != Mode::Complete,
            ClaimLocation::Table => false,
        };
        let refuse = |reason| {
            let not_run = known_not_run;
            Some(Refused { reason, not_run })
        };
        if self.mode != Mode::Open {
            return refuse(Reason::Closing);
        }
        if matches!(request.location, ClaimLocation::Home { expires } if expires <= now) {
            return refuse(Reason::Expired);
        }
        if request.deadline <= now {
            return refuse(Reason::DeadlinePassed);
        }
        if self.entries.len() >= self.limits.max_claims {
            return refuse(Reason::Full);
        }
        None
    }

    /// Marks the attempt as dispatched; returns whether it may be sent to an upstream.
    ///
    /// Must be called immediately before sending, after any wait.
    pub fn dispatch(&mut self, now: Instant, token: &ClaimToken) -> bool {
        if self.mode == Mode::Complete {
            return false;
        }
        let Some(entry) = self.entry_mut(token) else {
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

    /// Records that no byte of a dispatched request was sent, so that it may be dispatched again.
    pub fn not_sent(&mut self, token: &ClaimToken) {
        if let Some(entry) = self.entry_mut(token)
            && let Phase::Dispatched(version) = entry.phase
        {
            entry.phase = Phase::Held(version);
        }
    }

    /// Records the result of an attempt; returns whether its claim was still held.
    ///
    /// If it was not held, another daemon may have executed a request that was not executed here.
    pub fn ended(&mut self, now: Instant, token: &ClaimToken, ended: Ended) -> bool {
        let Some(entry) = self.entry_mut(token) else {
            return false;
        };
        let (Phase::Held(version) | Phase::Dispatched(version)) = entry.phase else {
            return false;
        };
        match ended {
            Ended::Answered(answer) => {
                self.end(now, token, version, Outcome::Answered(Some(answer)));
            }
            Ended::Unknown => self.end(now, token, version, Outcome::Unknown),
            Ended::NotRun => self.release(token, version),
        }
        true
    }

    fn end(&mut self, now: Instant, token: &ClaimToken, version: RowVersion, outcome: Outcome) {
        let Some(entry) = self.entry_mut(token) else {
            return;
        };
        let location = entry.location;
        let fingerprint = entry.fingerprint.clone();
        entry.phase = Phase::Ended {
            outcome: outcome.clone(),
            recorded: matches!(location, ClaimLocation::Home { .. }),
        };
        let stored = outcome.with_answer_limit(MAX_ROW_ANSWER_BYTES);
        match location {
            ClaimLocation::Table => self.record(token, version, fingerprint, stored),
            ClaimLocation::Home { .. } => self.journal.push(JournalEntry {
                id: token.id.clone(),
                fingerprint,
                outcome: stored,
            }),
        }
        self.retain_answer(token, &outcome);
        self.schedule_expiry(now, token.clone(), location);
    }

    fn schedule_expiry(&mut self, now: Instant, token: ClaimToken, location: ClaimLocation) {
        let (queue, retention) = match location {
            ClaimLocation::Home { .. } => (&mut self.home_expiries, self.limits.retention),
            ClaimLocation::Table => (&mut self.table_expiries, self.limits.recorded_retention),
        };
        queue.push_back(Expiry {
            expires_at: now + retention,
            token,
        });
    }

    fn retain_answer(&mut self, token: &ClaimToken, outcome: &Outcome) {
        let bytes = answer_bytes(outcome);
        if bytes == 0 {
            return;
        }
        self.answer_bytes += bytes;
        self.retained_answers.push_back(token.clone());
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(oldest) = self.retained_answers.pop_front() else {
                return;
            };
            self.evict_answer(&oldest);
        }
    }

    fn evict_answer(&mut self, token: &ClaimToken) {
        let Some(entry) = self.entry_mut(token) else {
            return;
        };
        if let Phase::Ended { outcome, .. } = &mut entry.phase {
            let freed = answer_bytes(outcome);
            *outcome = outcome.with_answer_limit(0);
            self.answer_bytes -= freed;
        }
    }

    /// Removes ended claims whose retention has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some(expiry) = pop_expired(&mut self.home_expiries, now) {
            self.expire_one(now, expiry.token);
        }
        while let Some(expiry) = pop_expired(&mut self.table_expiries, now) {
            self.expire_one(now, expiry.token);
        }
        let entries = &self.entries;
        self.retained_answers.retain(|token| {
            let entry = entries.get(&token.id);
            entry.is_some_and(|entry| entry.attempt == token.attempt)
        });
    }

    fn expire_one(&mut self, now: Instant, token: ClaimToken) {
        let Some(entry) = self.entry_mut(&token) else {
            return;
        };
        let location = entry.location;
        let recorded = matches!(entry.phase, Phase::Ended { recorded: true, .. });
        let prefix_still_valid =
            matches!(location, ClaimLocation::Home { expires } if now < expires);
        if !recorded || prefix_still_valid {
            return self.schedule_expiry(now, token, location);
        }
        self.evict_answer(&token);
        self.entries.remove(&token.id);
    }

    /// Returns the state of one of this daemon's attempts.
    pub fn state_of(&self, token: &ClaimToken) -> AttemptState {
        match self.entries.get(&token.id) {
            Some(entry) if entry.attempt == token.attempt => match &entry.phase {
                Phase::Ended { outcome, .. } => AttemptState::Ended(outcome.clone()),
                _ => AttemptState::Running,
            },
            _ => AttemptState::NotRun,
        }
    }

    /// Rejects new claims from now on.
    pub fn close(&mut self) {
        if self.mode == Mode::Open {
            self.mode = Mode::Closing;
        }
    }

    /// Number of claims that have not ended.
    pub fn open_claims(&self) -> usize {
        let ended = |entry: &&Entry| !matches!(entry.phase, Phase::Ended { .. });
        self.entries.values().filter(ended).count()
    }

    /// Latest deadline among the claims that have not ended.
    pub fn open_until(&self) -> Option<Instant> {
        let open = |entry: &&Entry| !matches!(entry.phase, Phase::Ended { .. });
        let open = self.entries.values().filter(open);
        open.map(|entry| entry.deadline).max()
    }

    /// Ends all open claims: dispatched ones with an unknown outcome, the others as not executed.
    pub fn abandon(&mut self, now: Instant) {
        let mut open: Vec<ClaimToken> = Vec::new();
        for (id, entry) in &self.entries {
            if !matches!(entry.phase, Phase::Ended { .. }) {
                open.push(ClaimToken {
                    id: id.clone(),
                    attempt: entry.attempt.clone(),
                });
            }
        }
        open.sort_by(|a, b| a.attempt.cmp(&b.attempt));
        for token in open {
            let ended = match self.entries[&token.id].phase {
                Phase::Dispatched(_) => Ended::Unknown,
                _ => Ended::NotRun,
            };
            if !self.ended(now, &token, ended) {
                self.remove_entry(&token);
            }
        }
    }

    /// Returns the row stating that all claims are in the table, or `None` while some are not.
    ///
    /// No request is dispatched once the row has been returned.
    pub fn complete(&mut self) -> Option<JournalWrite> {
        let settled = self.mode != Mode::Open && self.open_claims() == 0 && self.records.is_empty();
        if !settled {
            return None;
        }
        let write = self.journal.complete()?;
        self.mode = Mode::Complete;
        Some(write)
    }

    pub(super) fn remove_entry(&mut self, token: &ClaimToken) {
        if self.is_current(token) {
            self.entries.remove(&token.id);
        }
    }

    pub(super) fn entry_mut(&mut self, token: &ClaimToken) -> Option<&mut Entry> {
        self.entries
            .get_mut(&token.id)
            .filter(|entry| entry.attempt == token.attempt)
    }

    fn is_current(&self, token: &ClaimToken) -> bool {
        self.entries
            .get(&token.id)
            .is_some_and(|entry| entry.attempt == token.attempt)
    }
}

impl Entry {
    fn step_for_repeat(&self, fingerprint: &Fingerprint) -> Step {
        // Until the claim is held, another daemon may have executed a different request with the
        // key.
        if matches!(self.phase, Phase::Claiming(_)) {
            return Step::Wait;
        }
        if self.fingerprint != *fingerprint {
            return Step::Refuse(Refused::not_run(Reason::KeyReused));
        }
        match &self.phase {
            Phase::Ended { outcome, .. } => step_for_repeat(outcome),
            _ => Step::Wait,
        }
    }
}

/// Returns the step for a repeated request whose claim has ended.
pub(super) fn step_for_repeat(outcome: &Outcome) -> Step {
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

fn pop_expired(queue: &mut VecDeque<Expiry>, now: Instant) -> Option<Expiry> {
    queue
        .front()
        .is_some_and(|expiry| expiry.expires_at <= now)
        .then(|| queue.pop_front())?
}
