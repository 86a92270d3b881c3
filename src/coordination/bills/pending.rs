//! Bills of one daemon that are not yet in the table.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use platform_api::table::Key;

use super::{Bill, BillRow, choose_holders, holders::HOLDERS_PER_BILL, row_key};
use crate::coordination::membership::{DaemonName, Incarnation, Member};

/// Sequence number of a bill within one incarnation of its daemon.
pub type BillNumber = u64;

/// Maximum number of bills in one message to a holder.
const MAX_HOLD_BATCH: usize = 512;

/// Time for which a peer that failed to hold bills is not selected again.
const HOLDER_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Limits on the bills kept in memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of bills not yet in the table at which new requests are refused.
    pub max_unflushed: usize,
    /// Maximum number of bills in one row.
    pub max_bills_per_row: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_unflushed: 30_000,
            max_bills_per_row: 2_000,
        }
    }
}

/// Error that prevents bills from being stored durably.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BillStorageError {
    /// No peer holds bills, and the table does not respond.
    #[error("no peer holds bills and the table does not respond")]
    Unavailable,
    /// Too many bills are waiting to be written to the table.
    #[error("too many bills are waiting to be written to the table")]
    Full,
    /// The bill was not durable in time; the daemon keeps trying to store it.
    #[error("the bill was not stored durably in time")]
    TimedOut,
}

/// Batch of bills for a peer to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldBatch {
    /// The peer that is to hold the bills.
    pub holder: Member,
    /// Number of the first bill.
    pub from: BillNumber,
    /// The bills, numbered consecutively from `from`.
    pub bills: Vec<Bill>,
    /// The table has all bills with lower numbers.
    pub flushed: BillNumber,
}

/// Row to insert; the insert may be retried, as the content never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchWrite {
    /// Key of the row.
    pub key: Key,
    /// Value of the row.
    pub value: String,
    end: BillNumber,
}

#[derive(Debug)]
struct PendingBill {
    recorded_at: Instant,
    bill: Bill,
}

/// Replication state of one holder.
#[derive(Debug)]
struct HolderLink {
    member: Member,
    acked: BillNumber,
    acked_flushed: BillNumber,
    call_in_flight: bool,
}

#[derive(Debug)]
struct ExcludedHolder {
    name: CompactString,
    until: Instant,
}

/// Bills of one daemon incarnation that are not yet in the table.
#[derive(Debug)]
pub struct PendingBills {
    daemon: DaemonName,
    incarnation: Incarnation,
    limits: Limits,
    bills: VecDeque<PendingBill>,
    flushed: BillNumber,
    rows_written: u64,
    writing: Option<BatchWrite>,
    links: Vec<HolderLink>,
    excluded_holders: Vec<ExcludedHolder>,
    table_failing: bool,
}

impl PendingBills {
    /// Creates an empty queue for a daemon incarnation.
    pub fn new(daemon: DaemonName, incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            daemon,
            incarnation,
            limits,
            bills: VecDeque::new(),
            flushed: 0,
            rows_written: 0,
            writing: None,
            links: Vec::new(),
            excluded_holders: Vec::new(),
            table_failing: false,
        }
    }

    /// Adds a bill; it is durable once [`Self::is_durable`] returns `true`.
    pub fn record(&mut self, now: Instant, bill: Bill) -> BillNumber {
        self.bills.push_back(PendingBill {
            recorded_at: now,
            bill,
        });
        self.end() - 1
    }

    /// Checks whether new requests may be accepted.
    pub fn may_take_work(&self) -> Result<(), BillStorageError> {
        if !self.has_room() {
            return Err(BillStorageError::Full);
        }
        if self.table_failing && self.links.is_empty() {
            return Err(BillStorageError::Unavailable);
        }
        Ok(())
    }

    /// Whether the number of bills not yet in the table is below the limit.
    pub fn has_room(&self) -> bool {
        self.bills.len() < self.limits.max_unflushed
    }

    /// Number of bills that are not yet in the table.
    pub fn unflushed(&self) -> usize {
        self.bills.len()
    }

    /// Number of peers that currently hold bills.
    pub fn holder_count(&self) -> usize {
        self.links.len()
    }

    /// Whether enough peers hold the bill, or the table has it.
    pub fn is_durable(&self, number: BillNumber) -> bool {
        number < self.durable_end()
    }

    /// Whether every bill is in the table or held by all current holders, of which there is at
    /// least one.
    pub fn all_replicated(&self) -> bool {
        let held = |link: &HolderLink| link.acked >= self.end();
        self.bills.is_empty() || !self.links.is_empty() && self.links.iter().all(held)
    }

    fn durable_end(&self) -> BillNumber {
        let mut acked: Vec<BillNumber> = self.links.iter().map(|link| link.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let needed = if self.table_failing {
            acked.len().clamp(1, HOLDERS_PER_BILL)
        } else {
            HOLDERS_PER_BILL
        };
        let held = acked.get(needed - 1).copied().unwrap_or(0);
        held.max(self.flushed)
    }

    /// Whether a bill has not become durable within `max_wait`.
    pub fn is_overdue(&self, now: Instant, max_wait: Duration) -> bool {
        let first = usize::try_from(self.durable_end() - self.flushed).unwrap_or(usize::MAX);
        self.bills
            .get(first)
            .is_some_and(|pending| now >= pending.recorded_at + max_wait)
    }

    /// Selects the holders again from the members of the fleet.
    pub fn update_holders(&mut self, now: Instant, own: &Member, members: &[Member]) {
        self.excluded_holders.retain(|p| now < p.until);
        let is_excluded = |m: &Member| self.excluded_holders.iter().any(|p| p.name == m.name);
        let candidates: Vec<Member> = members
            .iter()
            .filter(|m| !is_excluded(m))
            .cloned()
            .collect();
        let chosen = choose_holders(own, &candidates);
        let mut links = Vec::with_capacity(chosen.len());
        for member in chosen {
            links.push(self.link_to(member));
        }
        self.links = links;
    }

    fn link_to(&mut self, member: Member) -> HolderLink {
        let same = |link: &HolderLink| is_link_of(link, &member);
        match self.links.iter().position(same) {
            Some(index) => HolderLink {
                member,
                ..self.links.swap_remove(index)
            },
            None => HolderLink {
                member,
                acked: self.flushed,
                acked_flushed: self.flushed,
                call_in_flight: false,
            },
        }
    }

    /// Returns the batches to send now, with at most one message in flight per holder.
    pub fn next_hold_batches(&mut self) -> Vec<HoldBatch> {
        let end = self.end();
        let flushed = self.flushed;
        let mut batches = Vec::new();
        for link in &mut self.links {
            link.acked = link.acked.max(flushed);
            let has_updates = link.acked < end || link.acked_flushed < flushed;
            if link.call_in_flight || !has_updates {
                continue;
            }
            link.call_in_flight = true;
            let skip = usize::try_from(link.acked - flushed).unwrap_or(usize::MAX);
            let bills = self.bills.iter().skip(skip).take(MAX_HOLD_BATCH);
            batches.push(HoldBatch {
                holder: link.member.clone(),
                from: link.acked,
                bills: bills.map(|pending| pending.bill.clone()).collect(),
                flushed,
            });
        }
        batches
    }

    /// Records that a peer holds a batch.
    pub fn held(&mut self, batch: &HoldBatch) {
        if let Some(link) = self.link_of(&batch.holder) {
            link.call_in_flight = false;
            link.acked = link.acked.max(batch.from + batch.bills.len() as u64);
            link.acked_flushed = link.acked_flushed.max(batch.flushed);
        }
    }

    /// Records that a peer failed to hold a batch and temporarily excludes the peer from selection.
    pub fn hold_failed(&mut self, now: Instant, batch: &HoldBatch) {
        let Some(index) = self.links.iter().position(|l| is_link_of(l, &batch.holder)) else {
            return;
        };
        let link = self.links.swap_remove(index);
        self.excluded_holders.push(ExcludedHolder {
            name: link.member.name,
            until: now + HOLDER_RETRY_DELAY,
        });
    }

    /// Returns the next row to insert; returns the same row until it is reported as
    /// [written](Self::written).
    pub fn next_write(&mut self) -> Option<BatchWrite> {
        if self.writing.is_none() && !self.bills.is_empty() {
            let count = self.bills.len().min(self.limits.max_bills_per_row);
            let bills = self.bills.iter().take(count).map(|w| w.bill.clone());
            let row = BillRow {
                bills: bills.collect(),
            };
            self.writing = Some(BatchWrite {
                key: row_key(&self.daemon, self.incarnation, self.rows_written),
                value: serde_json::to_string(&row).unwrap_or_default(),
                end: self.flushed + count as u64,
            });
        }
        self.writing.clone()
    }

    /// Records that a row is in the table.
    pub fn written(&mut self, write: &BatchWrite) {
        self.table_failing = false;
        if self.writing.take_if(|w| w.key == write.key).is_none() {
            return;
        }
        self.rows_written += 1;
        let count = usize::try_from(write.end - self.flushed).unwrap_or(0);
        self.bills.drain(..count);
        self.flushed = write.end;
    }

    /// Records whether the table responds.
    pub fn set_table_reachable(&mut self, reachable: bool) {
        self.table_failing = !reachable;
    }

    /// Whether the last row could not be written or the last probe of the table failed.
    pub fn is_table_failing(&self) -> bool {
        self.table_failing
    }

    fn link_of(&mut self, member: &Member) -> Option<&mut HolderLink> {
        self.links.iter_mut().find(|link| is_link_of(link, member))
    }

    fn end(&self) -> BillNumber {
        self.flushed + self.bills.len() as u64
    }
}

fn is_link_of(link: &HolderLink, member: &Member) -> bool {
    link.member.name == member.name && link.member.incarnation == member.incarnation
}
