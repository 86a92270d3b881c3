//! The bounded list of records of all known daemons.

use std::{collections::BTreeMap, time::Instant};

use crate::coordination::membership::{
    DaemonName, Member, MemberState,
    record::{Record, StartedMs},
};

/// Maximum number of known daemons.
const MAX_MEMBERS: usize = 2_048;

/// The record of one daemon.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The newest record.
    pub(super) record: Record,
    /// When the record last changed on this daemon.
    pub(super) changed_at: Instant,
}

/// Membership records by daemon name.
#[derive(Debug, Default)]
pub(super) struct MemberList {
    entries: BTreeMap<DaemonName, Entry>,
    digest: u32,
}

impl MemberList {
    pub(super) fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns a digest of all daemons that are not dead; it does not depend on the order of
    /// changes.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }

    /// Stores the record if it supersedes the known one; returns whether it did.
    pub(super) fn merge(&mut self, now: Instant, record: &Record) -> bool {
        let name = &record.member.name;
        let Some(entry) = self.entries.get_mut(name) else {
            if self.entries.len() >= MAX_MEMBERS || record.member.state == MemberState::Dead {
                return false;
            }
            let entry = Entry {
                record: record.clone(),
                changed_at: now,
            };
            self.digest ^= digest_of(&entry.record);
            self.entries.insert(name.clone(), entry);
            return true;
        };
        if !record.supersedes(&entry.record) {
            return false;
        }
        self.digest ^= digest_of(&entry.record);
        let same_start = entry.record.member.incarnation == record.member.incarnation;
        let generation = entry.record.member.generation;
        entry.record = record.clone();
        if same_start {
            entry.record.member.generation = generation.max(record.member.generation);
        }
        entry.changed_at = now;
        self.digest ^= digest_of(&entry.record);
        true
    }

    /// Updates the configuration generation that a daemon reports for itself; returns whether it
    /// changed.
    pub(super) fn update_generation(&mut self, reported: &Member) -> bool {
        let Some(entry) = self.entries.get_mut(&reported.name) else {
            return false;
        };
        let known = &mut entry.record.member;
        let is_newer =
            known.incarnation == reported.incarnation && known.generation < reported.generation;
        if is_newer {
            known.generation = reported.generation;
        }
        is_newer
    }

    /// Resets the age of all records after a pause, during which nothing could be received.
    pub(super) fn reset_timestamps(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.changed_at = now;
        }
    }

    /// Removes daemons that have been dead since `before`; returns whether there were any.
    pub(super) fn prune_dead(&mut self, before: Instant) -> bool {
        let len = self.entries.len();
        self.entries
            .retain(|_, e| e.record.member.state != MemberState::Dead || e.changed_at > before);
        self.entries.len() < len
    }
}

/// Returns the FNV-1a hash of the fields that two daemons must agree on, or 0 for dead daemons,
/// because each daemon prunes them at its own time.
fn digest_of(record: &Record) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    if record.member.state == MemberState::Dead {
        return 0;
    }
    let started: StartedMs = record.started_ms;
    let state = u8::from(record.member.state == MemberState::Leaving);
    let fixed = [started, record.member.incarnation, record.revision.into()];
    let fixed = fixed.iter().flat_map(|v| v.to_le_bytes());
    let name = record.member.name.bytes();
    name.chain(fixed).chain([state]).fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
