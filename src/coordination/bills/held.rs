//! Bills that a daemon holds for other daemons.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Bill, BillNumber, BillStorageError};
use crate::coordination::membership::{DaemonName, Incarnation, Member, MemberState};

/// Minimum time since the last message from an owner before its bills are taken over.
const OWNER_SILENCE: Duration = Duration::from_secs(2);

/// Daemon incarnation that created the held bills.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct OwnerBills {
    last_received: Instant,
    bills: BTreeMap<BillNumber, Bill>,
}

/// Bounded store of the bills that a daemon holds for other daemons.
#[derive(Debug)]
pub struct HeldBills {
    limit: usize,
    total: usize,
    owners: BTreeMap<Owner, OwnerBills>,
}

impl HeldBills {
    /// Creates an empty store for at most `limit` bills.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            owners: BTreeMap::new(),
        }
    }

    /// Number of held bills.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Whether no bill is held.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Stores bills numbered from `from`, and drops those below `flushed`, which the table has.
    pub fn hold(
        &mut self,
        now: Instant,
        owner: &Owner,
        from: BillNumber,
        bills: Vec<Bill>,
        flushed: BillNumber,
    ) -> Result<(), BillStorageError> {
        self.drop_flushed(owner, flushed);
        if self.total + bills.len() > self.limit {
            return Err(BillStorageError::Full);
        }
        let owner_bills = self
            .owners
            .entry(owner.clone())
            .or_insert_with(|| OwnerBills {
                last_received: now,
                bills: BTreeMap::new(),
            });
        owner_bills.last_received = now;
        let before = owner_bills.bills.len();
        owner_bills.bills.extend((from..).zip(bills));
        self.total += owner_bills.bills.len() - before;
        if owner_bills.bills.is_empty() {
            self.owners.remove(owner);
        }
        Ok(())
    }

    fn drop_flushed(&mut self, owner: &Owner, flushed: BillNumber) {
        if let Some(owner_bills) = self.owners.get_mut(owner) {
            let before = owner_bills.bills.len();
            owner_bills.bills = owner_bills.bills.split_off(&flushed);
            self.total -= before - owner_bills.bills.len();
        }
    }

    /// Removes and returns the bills of one owner that has died, for the caller to add to its own.
    pub fn take_orphans(&mut self, now: Instant, members: &[Member]) -> Vec<Bill> {
        let orphaned = |(owner, owner_bills): &(&Owner, &OwnerBills)| {
            now >= owner_bills.last_received + OWNER_SILENCE && is_owner_dead(owner, members)
        };
        let owner = self.owners.iter().find(orphaned).map(|(o, _)| o.clone());
        owner.map_or_else(Vec::new, |owner| self.take_owner(&owner))
    }

    /// Removes and returns the bills of all owners.
    pub fn take_all(&mut self) -> Vec<Bill> {
        self.total = 0;
        let owners = std::mem::take(&mut self.owners);
        owners
            .into_values()
            .flat_map(|owner_bills| owner_bills.bills.into_values())
            .collect()
    }

    fn take_owner(&mut self, owner: &Owner) -> Vec<Bill> {
        let Some(owner_bills) = self.owners.remove(owner) else {
            return Vec::new();
        };
        self.total -= owner_bills.bills.len();
        owner_bills.bills.into_values().collect()
    }
}

fn is_owner_dead(owner: &Owner, members: &[Member]) -> bool {
    !members.iter().any(|m| {
        m.name == owner.daemon && m.incarnation == owner.incarnation && m.state != MemberState::Dead
    })
}
