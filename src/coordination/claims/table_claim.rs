//! Claims made by a conditional write of the key's row in the table.

use platform_api::table::{ABSENT, Key, Row, RowVersion};

use super::{
    record::{ClaimRow, Fingerprint, Holder, Outcome, RowState, decode, row_key},
    registry::{ClaimRegistry, Phase, step_for_repeat},
    types::{AttemptState, ClaimToken, Reason, Refused, Step},
};

/// Maximum number of table writes and reads for one claim.
const MAX_TABLE_CALLS: u32 = 6;

/// Conditional write that claims a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InsertWrite {
    /// The attempt that claims the key.
    pub token: ClaimToken,
    /// Key of the row.
    pub key: Key,
    /// Version that the row must have for the write to apply.
    pub version: RowVersion,
    /// New content of the row.
    pub row: ClaimRow,
}

/// Read of a claim's row after the reply to its write was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRead {
    /// The attempt that claims the key.
    pub token: ClaimToken,
    /// Key of the row.
    pub key: Key,
}

/// Conditional write that records the end of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The attempt whose claim ended.
    pub token: ClaimToken,
    /// Key of the row.
    pub key: Key,
    /// Version that the row must have for the write to apply.
    pub version: RowVersion,
    /// New content of the row.
    pub row: ClaimRow,
}

/// Reply to a conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The write was applied; the row now has this version.
    Committed(RowVersion),
    /// The row has a different version; `None` if there is no row.
    Conflict(Option<Row>),
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied or may still be applied later.
    Unknown,
}

/// Progress of claiming a row.
#[derive(Clone, Debug, Default)]
pub(super) struct Claiming {
    table_calls: u32,
    version: RowVersion,
    holder: Option<Holder>,
}

impl ClaimRegistry {
    pub(super) fn insert(&mut self, token: ClaimToken) -> Step {
        self.insert_at_version(token, ABSENT)
    }

    fn insert_at_version(&mut self, token: ClaimToken, version: RowVersion) -> Step {
        let holder = self.holder(&token);
        let Some(claiming) = self.claiming(&token) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.table_calls += 1;
        claiming.version = version;
        claiming.holder = None;
        if claiming.table_calls > MAX_TABLE_CALLS {
            return self.give_up(&token, Reason::Undecided);
        }
        let row = ClaimRow {
            fingerprint: self.entries[&token.id].fingerprint.clone(),
            holder,
            state: RowState::Claimed,
        };
        Step::Insert(InsertWrite {
            key: row_key(&token.id),
            token,
            version,
            row,
        })
    }

    /// Handles the reply to an [`InsertWrite`].
    pub fn on_insert_reply(&mut self, token: ClaimToken, reply: WriteReply) -> Step {
        match reply {
            WriteReply::Committed(version) => self.mark_held(token, version),
            WriteReply::Conflict(current) => self.on_current_row(token, current),
            WriteReply::NotApplied => self.give_up(&token, Reason::Undecided),
            WriteReply::Unknown => self.read(token),
        }
    }

    fn read(&mut self, token: ClaimToken) -> Step {
        let Some(claiming) = self.claiming(&token) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.table_calls += 1;
        if claiming.table_calls > MAX_TABLE_CALLS {
            return self.give_up(&token, Reason::Undecided);
        }
        Step::Read(RowRead {
            key: row_key(&token.id),
            token,
        })
    }

    /// Handles the result of a [`RowRead`]; `Err` if the table did not respond.
    pub fn on_row_read(&mut self, token: ClaimToken, read: Result<Option<Row>, ()>) -> Step {
        match read {
            Ok(current) => self.on_current_row(token, current),
            Err(()) => self.read(token),
        }
    }

    /// Handles the state that the holder reported for its attempt.
    pub fn on_holder_reply(&mut self, token: ClaimToken, attempt_state: AttemptState) -> Step {
        match attempt_state {
            AttemptState::Running => self.give_up(&token, Reason::InProgress),
            AttemptState::HolderUnreachable => self.give_up(&token, Reason::HolderSilent),
            AttemptState::Ended(outcome) => {
                self.remove_entry(&token);
                step_for_repeat(&outcome)
            }
            AttemptState::NotRun | AttemptState::HolderComplete => {
                let version = self.claiming(&token).map_or(ABSENT, |c| c.version);
                self.insert_at_version(token, version)
            }
        }
    }

    fn on_current_row(&mut self, token: ClaimToken, current: Option<Row>) -> Step {
        let Some(entry) = self.entry_mut(&token) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        let fingerprint = entry.fingerprint.clone();
        let Some(row) = current else {
            return self.insert_at_version(token, ABSENT);
        };
        let Some(claim) = decode::<ClaimRow>(&row.value) else {
            return self.give_up(&token, Reason::Undecided);
        };
        if claim.holder.attempt == token.attempt {
            return self.mark_held(token, row.version);
        }
        if claim.state == RowState::Released {
            return self.insert_at_version(token, row.version);
        }
        if fingerprint != claim.fingerprint {
            self.remove_entry(&token);
            return Step::Refuse(Refused::not_run(Reason::KeyReused));
        }
        match claim.state {
            RowState::Ended(outcome) => {
                self.remove_entry(&token);
                step_for_repeat(&outcome)
            }
            _ if claim.holder.incarnation == self.incarnation => {
                self.insert_at_version(token, row.version)
            }
            _ => self.ask_holder(token, claim.holder, row.version),
        }
    }

    fn ask_holder(&mut self, token: ClaimToken, holder: Holder, version: RowVersion) -> Step {
        let Some(claiming) = self.claiming(&token) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.version = version;
        claiming.holder = Some(holder.clone());
        Step::AskHolder(token, holder)
    }

    fn mark_held(&mut self, token: ClaimToken, version: RowVersion) -> Step {
        let Some(entry) = self.entry_mut(&token) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        entry.phase = Phase::Held(version);
        Step::Run(token)
    }

    fn give_up(&mut self, token: &ClaimToken, reason: Reason) -> Step {
        self.remove_entry(token);
        Step::Refuse(Refused::unknown(reason))
    }

    /// Cancels an attempt whose claim is not held yet; it is never dispatched.
    pub fn withdraw(&mut self, token: &ClaimToken) {
        if self.claiming(token).is_some() {
            self.remove_entry(token);
        }
    }

    fn claiming(&mut self, token: &ClaimToken) -> Option<&mut Claiming> {
        match &mut self.entry_mut(token)?.phase {
            Phase::Claiming(claiming) => Some(claiming),
            _ => None,
        }
    }

    fn holder(&self, token: &ClaimToken) -> Holder {
        Holder {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            attempt: token.attempt.clone(),
        }
    }

    pub(super) fn release(&mut self, token: &ClaimToken, version: RowVersion) {
        let Some(entry) = self.entries.remove(&token.id) else {
            return;
        };
        if version != ABSENT {
            self.push_record(token, version, entry.fingerprint, RowState::Released);
        }
    }

    pub(super) fn record(
        &mut self,
        token: &ClaimToken,
        version: RowVersion,
        fingerprint: Fingerprint,
        outcome: Outcome,
    ) {
        self.push_record(token, version, fingerprint, RowState::Ended(outcome));
    }

    fn push_record(
        &mut self,
        token: &ClaimToken,
        version: RowVersion,
        fingerprint: Fingerprint,
        state: RowState,
    ) {
        let row = ClaimRow {
            fingerprint,
            holder: self.holder(token),
            state,
        };
        self.records.push_back(RecordWrite {
            token: token.clone(),
            key: row_key(&token.id),
            version,
            row,
        });
    }

    /// Returns the oldest record that is not in the table yet.
    pub fn next_record(&self) -> Option<RecordWrite> {
        self.records.front().cloned()
    }

    /// Handles the reply to a [`RecordWrite`]; returns whether the record needs no further write.
    pub fn recorded(&mut self, write: &RecordWrite, reply: &WriteReply) -> bool {
        match reply {
            WriteReply::Committed(_) => {}
            WriteReply::NotApplied | WriteReply::Unknown => return false,
            WriteReply::Conflict(current) => {
                if let Some(version) = claimed_version(write, current.as_ref()) {
                    self.update_record_version(write, version);
                    return false;
                }
            }
        }
        self.records.retain(|record| record.token != write.token);
        if let Some(entry) = self.entry_mut(&write.token)
            && let Phase::Ended { recorded, .. } = &mut entry.phase
        {
            *recorded = true;
        }
        true
    }

    fn update_record_version(&mut self, write: &RecordWrite, version: RowVersion) {
        for record in &mut self.records {
            if record.token == write.token {
                record.version = version;
            }
        }
    }
}

/// Returns the version of the row if it still has the attempt as claimed.
fn claimed_version(write: &RecordWrite, current: Option<&Row>) -> Option<RowVersion> {
    let row = current?;
    let claim = decode::<ClaimRow>(&row.value)?;
    let same = claim.holder == write.row.holder && claim.state == RowState::Claimed;
    same.then_some(row.version)
}
