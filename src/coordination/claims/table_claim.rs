//! Claims made by a conditional write of the key's row.

use platform_api::table::{ABSENT, Key, Row, RowVersion};

use super::{
    record::{ClaimRow, Fingerprint, Holder, Outcome, RowState, decode, row_key},
    registry::{ClaimRegistry, Phase, repeat},
    types::{AttemptState, Permit, Reason, Refused, Step},
};

/// The greatest number of writes and reads made for one claim.
const MAX_TRIES: u32 = 6;

/// Writes the row of a claim if its version is still the given one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InsertWrite {
    /// The attempt.
    pub permit: Permit,
    /// The row's key.
    pub key: Key,
    /// The version that the row must have.
    pub version: RowVersion,
    /// The row.
    pub row: ClaimRow,
}

/// Reads the row of a claim, because the answer to its write was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRead {
    /// The attempt.
    pub permit: Permit,
    /// The row's key.
    pub key: Key,
}

/// Writes what became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The attempt.
    pub permit: Permit,
    /// The row's key.
    pub key: Key,
    /// The version that the row must have.
    pub version: RowVersion,
    /// The row.
    pub row: ClaimRow,
}

/// The reply to a conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// It took effect at this version.
    Committed(RowVersion),
    /// The row has another version; `None` if there is no row.
    Conflict(Option<Row>),
    /// It certainly had no effect.
    NotDone,
    /// It may take effect, even later.
    Unknown,
}

/// How far the claim of a row has got.
#[derive(Clone, Debug, Default)]
pub(super) struct Claiming {
    tries: u32,
    version: RowVersion,
    holder: Option<Holder>,
}

impl ClaimRegistry {
    pub(super) fn insert(&mut self, permit: Permit) -> Step {
        self.insert_over(permit, ABSENT)
    }

    fn insert_over(&mut self, permit: Permit, version: RowVersion) -> Step {
        let holder = self.holder(&permit);
        let Some(claiming) = self.claiming(&permit) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.tries += 1;
        claiming.version = version;
        claiming.holder = None;
        if claiming.tries > MAX_TRIES {
            return self.give_up(&permit, Reason::Undecided);
        }
        let row = ClaimRow {
            fingerprint: self.entries[&permit.id].fingerprint.clone(),
            holder,
            state: RowState::Claimed,
        };
        Step::Insert(InsertWrite {
            key: row_key(&permit.id),
            permit,
            version,
            row,
        })
    }

    /// Goes on after the reply to an [`InsertWrite`].
    pub fn inserted(&mut self, permit: Permit, reply: WriteReply) -> Step {
        match reply {
            WriteReply::Committed(version) => self.hold(permit, version),
            WriteReply::Conflict(current) => self.found(permit, current),
            WriteReply::NotDone => self.give_up(&permit, Reason::Undecided),
            WriteReply::Unknown => self.read(permit),
        }
    }

    fn read(&mut self, permit: Permit) -> Step {
        let Some(claiming) = self.claiming(&permit) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.tries += 1;
        if claiming.tries > MAX_TRIES {
            return self.give_up(&permit, Reason::Undecided);
        }
        Step::Read(RowRead {
            key: row_key(&permit.id),
            permit,
        })
    }

    /// Goes on after a [`RowRead`]; `Err` if the table did not answer.
    pub fn row_read(&mut self, permit: Permit, read: Result<Option<Row>, ()>) -> Step {
        match read {
            Ok(current) => self.found(permit, current),
            Err(()) => self.read(permit),
        }
    }

    /// Goes on after the holder was asked; `said` is about the attempt that was asked for.
    pub fn holder_said(&mut self, permit: Permit, said: AttemptState) -> Step {
        match said {
            AttemptState::Running => self.give_up(&permit, Reason::InProgress),
            AttemptState::Silent => self.give_up(&permit, Reason::HolderSilent),
            AttemptState::Ended(outcome) => {
                self.forget(&permit);
                repeat(&outcome)
            }
            AttemptState::NotRun | AttemptState::HolderComplete => {
                let version = self.claiming(&permit).map_or(ABSENT, |c| c.version);
                self.insert_over(permit, version)
            }
        }
    }

    fn found(&mut self, permit: Permit, current: Option<Row>) -> Step {
        let Some(entry) = self.entry_mut(&permit) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        let fingerprint = entry.fingerprint.clone();
        let Some(row) = current else {
            return self.insert_over(permit, ABSENT);
        };
        let Some(claim) = decode::<ClaimRow>(&row.value) else {
            return self.give_up(&permit, Reason::Undecided);
        };
        if claim.holder.attempt == permit.attempt {
            return self.hold(permit, row.version);
        }
        if claim.state == RowState::Released {
            return self.insert_over(permit, row.version);
        }
        if fingerprint != claim.fingerprint {
            self.forget(&permit);
            return Step::Refuse(Refused::not_run(Reason::KeyReused));
        }
        match claim.state {
            RowState::Ended(outcome) => {
                self.forget(&permit);
                repeat(&outcome)
            }
            _ if claim.holder.incarnation == self.incarnation => {
                self.insert_over(permit, row.version)
            }
            _ => self.ask_holder(permit, claim.holder, row.version),
        }
    }

    fn ask_holder(&mut self, permit: Permit, holder: Holder, version: RowVersion) -> Step {
        let Some(claiming) = self.claiming(&permit) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        claiming.version = version;
        claiming.holder = Some(holder.clone());
        Step::AskHolder(permit, holder)
    }

    fn hold(&mut self, permit: Permit, version: RowVersion) -> Step {
        let Some(entry) = self.entry_mut(&permit) else {
            return Step::Refuse(Refused::unknown(Reason::Undecided));
        };
        entry.phase = Phase::Held(version);
        Step::Run(permit)
    }

    fn give_up(&mut self, permit: &Permit, reason: Reason) -> Step {
        self.forget(permit);
        Step::Refuse(Refused::unknown(reason))
    }

    /// Gives up an attempt whose claim is not held yet; it is never dispatched.
    pub fn withdraw(&mut self, permit: &Permit) {
        if self.claiming(permit).is_some() {
            self.forget(permit);
        }
    }

    fn claiming(&mut self, permit: &Permit) -> Option<&mut Claiming> {
        match &mut self.entry_mut(permit)?.phase {
            Phase::Claiming(claiming) => Some(claiming),
            _ => None,
        }
    }

    fn holder(&self, permit: &Permit) -> Holder {
        Holder {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            attempt: permit.attempt.clone(),
        }
    }

    pub(super) fn release(&mut self, permit: &Permit, version: RowVersion) {
        let Some(entry) = self.entries.remove(&permit.id) else {
            return;
        };
        if version != ABSENT {
            self.push_record(permit, version, entry.fingerprint, RowState::Released);
        }
    }

    pub(super) fn record(
        &mut self,
        permit: &Permit,
        version: RowVersion,
        fingerprint: Fingerprint,
        outcome: Outcome,
    ) {
        self.push_record(permit, version, fingerprint, RowState::Ended(outcome));
    }

    fn push_record(
        &mut self,
        permit: &Permit,
        version: RowVersion,
        fingerprint: Fingerprint,
        state: RowState,
    ) {
        let row = ClaimRow {
            fingerprint,
            holder: self.holder(permit),
            state,
        };
        self.records.push_back(RecordWrite {
            permit: permit.clone(),
            key: row_key(&permit.id),
            version,
            row,
        });
    }

    /// The oldest outcome that the table does not have yet.
    pub fn next_record(&self) -> Option<RecordWrite> {
        self.records.front().cloned()
    }

    /// Takes the reply to a [`RecordWrite`]; returns whether the write is done with.
    pub fn recorded(&mut self, write: &RecordWrite, reply: &WriteReply) -> bool {
        match reply {
            WriteReply::Committed(_) => {}
            WriteReply::NotDone | WriteReply::Unknown => return false,
            WriteReply::Conflict(current) => {
                if let Some(version) = still_claimed(write, current.as_ref()) {
                    self.retarget(write, version);
                    return false;
                }
            }
        }
        self.records.retain(|record| record.permit != write.permit);
        if let Some(entry) = self.entry_mut(&write.permit)
            && let Phase::Ended { recorded, .. } = &mut entry.phase
        {
            *recorded = true;
        }
        true
    }

    fn retarget(&mut self, write: &RecordWrite, version: RowVersion) {
        for record in &mut self.records {
            if record.permit == write.permit {
                record.version = version;
            }
        }
    }
}

/// The row's version if it still says that the attempt is claimed.
fn still_claimed(write: &RecordWrite, current: Option<&Row>) -> Option<RowVersion> {
    let row = current?;
    let claim = decode::<ClaimRow>(&row.value)?;
    let same = claim.holder == write.row.holder && claim.state == RowState::Claimed;
    same.then_some(row.version)
}
