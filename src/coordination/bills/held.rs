//! Bills held for other daemons.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Bill, BillNumber, NoHolder};
use crate::coordination::membership::{DaemonName, Incarnation, Member, MemberState};

/// How long an owner must have been silent before its bills are taken over.
const SILENCE: Duration = Duration::from_secs(2);

/// The daemon incarnation whose bills are held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: DaemonName,
    /// Which start of it.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct Copies {
    heard: Instant,
    bills: BTreeMap<BillNumber, Bill>,
}

/// The bills that one daemon holds for others, bounded in number.
#[derive(Debug)]
pub struct HeldBills {
    limit: usize,
    total: usize,
    owners: BTreeMap<Owner, Copies>,
}

impl HeldBills {
    /// Holds nothing yet, and never more than `limit` bills.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            owners: BTreeMap::new(),
        }
    }

    /// The number of bills held.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Whether no bill is held.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Takes bills numbered on from `from`, and drops those that the table has.
    pub fn hold(
        &mut self,
        now: Instant,
        owner: &Owner,
        from: BillNumber,
        bills: Vec<Bill>,
        flushed: BillNumber,
    ) -> Result<(), NoHolder> {
        self.drop_flushed(owner, flushed);
        if self.total + bills.len() > self.limit {
            return Err(NoHolder::Full);
        }
        let copies = self.owners.entry(owner.clone()).or_insert_with(|| Copies {
            heard: now,
            bills: BTreeMap::new(),
        });
        copies.heard = now;
        let before = copies.bills.len();
        copies.bills.extend((from..).zip(bills));
        self.total += copies.bills.len() - before;
        if copies.bills.is_empty() {
            self.owners.remove(owner);
        }
        Ok(())
    }

    fn drop_flushed(&mut self, owner: &Owner, flushed: BillNumber) {
        if let Some(copies) = self.owners.get_mut(owner) {
            let before = copies.bills.len();
            copies.bills = copies.bills.split_off(&flushed);
            self.total -= before - copies.bills.len();
        }
    }

    /// Takes out the bills of one owner that is gone, to be written among the daemon's own.
    pub fn take_orphans(&mut self, now: Instant, members: &[Member]) -> Vec<Bill> {
        let orphaned = |(owner, copies): &(&Owner, &Copies)| {
            now >= copies.heard + SILENCE && is_gone(owner, members)
        };
        let owner = self.owners.iter().find(orphaned).map(|(o, _)| o.clone());
        owner.map_or_else(Vec::new, |owner| self.take(&owner))
    }

    /// Takes out the bills of all owners.
    pub fn take_all(&mut self) -> Vec<Bill> {
        self.total = 0;
        let owners = std::mem::take(&mut self.owners);
        owners
            .into_values()
            .flat_map(|copies| copies.bills.into_values())
            .collect()
    }

    fn take(&mut self, owner: &Owner) -> Vec<Bill> {
        let Some(copies) = self.owners.remove(owner) else {
            return Vec::new();
        };
        self.total -= copies.bills.len();
        copies.bills.into_values().collect()
    }
}

fn is_gone(owner: &Owner, members: &[Member]) -> bool {
    !members.iter().any(|m| {
        m.name == owner.daemon && m.incarnation == owner.incarnation && m.state != MemberState::Dead
    })
}
