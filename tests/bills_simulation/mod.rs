//! Simulation of several daemons' bills and a table, without sockets.

#![allow(dead_code, reason = "each test binary uses a different subset")]

#[path = "../claims_simulation/table.rs"]
pub(crate) mod table;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hibiscusyoke::coordination::{
    bills::{
        Bill, BillNumber, BilledItem, HeldBills, Invoice, Limits, Owner, PendingBills, ROWS_PREFIX,
        build_invoice,
    },
    membership::{Member, MemberState},
};

use table::Table;

/// Maximum number of bills that a daemon holds for others.
const MAX_HELD_BILLS: usize = 1_000;

/// One daemon incarnation.
pub(crate) struct Daemon {
    pub(crate) own: PendingBills,
    pub(crate) held: HeldBills,
    pub(crate) member: Member,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
}

/// A recorded bill's daemon and its number there.
pub(crate) struct RecordedBill {
    pub(crate) at: CompactString,
    pub(crate) number: BillNumber,
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) table: Table,
    pub(crate) daemons: BTreeMap<CompactString, Daemon>,
    pub(crate) bills: BTreeMap<CompactString, RecordedBill>,
    pub(crate) limits: Limits,
    incarnations: u64,
}

impl Default for Simulation {
    fn default() -> Self {
        Self {
            now: Instant::now(),
            table: Table::default(),
            daemons: BTreeMap::new(),
            bills: BTreeMap::new(),
            limits: Limits::default(),
            incarnations: 0,
        }
    }
}

/// Creates the bill of one service call; bills of the same request differ only in their time.
pub(crate) fn bill(request: &str, at_ms: u64) -> Bill {
    Bill {
        at_ms,
        customer: "gate".into(),
        request_id: request.into(),
        item: BilledItem::Service("registry".into()),
        units: 1,
        cost: 10,
    }
}

impl Simulation {
    pub(crate) fn add_daemon(&mut self, name: &str, domain: &str) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let daemon = Daemon {
            own: PendingBills::new(name.into(), incarnation, self.limits),
            held: HeldBills::new(MAX_HELD_BILLS),
            member: Member {
                name: name.into(),
                incarnation,
                failure_domain: domain.into(),
                callers: address,
                peers: address,
                state: MemberState::Alive,
                generation: 0,
            },
            alive: true,
            frozen: false,
        };
        self.daemons.insert(name.into(), daemon);
    }

    fn members(&self) -> Vec<Member> {
        self.daemons.values().map(|d| d.member.clone()).collect()
    }

    pub(crate) fn is_running(&self, name: &str) -> bool {
        let daemon = &self.daemons[name];
        daemon.alive && !daemon.frozen
    }

    pub(crate) fn record(&mut self, name: &str, at: &str, bill: Bill) {
        let now = self.now;
        let daemon = self.daemons.get_mut(at).expect("known daemon");
        let number = daemon.own.record(now, bill);
        let at = at.into();
        self.bills.insert(name.into(), RecordedBill { at, number });
    }

    /// Whether the bill is durable, so that the answer it belongs to may be released.
    pub(crate) fn is_durable(&self, name: &str) -> bool {
        let recorded = &self.bills[name];
        let daemon = &self.daemons[&recorded.at];
        daemon.own.is_durable(recorded.number)
    }

    /// Sends a daemon's bills to its holders; returns each holder and whether it accepted them.
    pub(crate) fn send_to_holders(&mut self, name: &str) -> String {
        let members = self.members();
        let now = self.now;
        let daemon = self.daemons.get_mut(name).expect("known daemon");
        let member = daemon.member.clone();
        daemon.own.update_holders(now, &member, &members);
        let batches = daemon.own.next_hold_batches();
        let mut replies = Vec::new();
        for batch in batches {
            let peer = batch.holder.name.clone();
            let owner = Owner {
                daemon: name.into(),
                incarnation: member.incarnation,
            };
            let accepted = self.is_running(&peer) && {
                let holder = self.daemons.get_mut(&peer).expect("known daemon");
                let bills = batch.bills.clone();
                holder
                    .held
                    .hold(now, &owner, batch.from, bills, batch.flushed)
                    .is_ok()
            };
            let own = &mut self.daemons.get_mut(name).expect("known daemon").own;
            if accepted {
                own.held(&batch);
            } else {
                own.hold_failed(now, &batch);
            }
            replies.push(format!("{peer}={accepted}"));
        }
        replies.sort();
        if replies.is_empty() {
            replies.push("no holders".into());
        }
        replies.join(" ")
    }

    /// Writes one row; returns `false` if the table did not confirm it.
    pub(crate) fn flush(&mut self, name: &str) -> bool {
        let Self { daemons, table, .. } = self;
        let own = &mut daemons.get_mut(name).expect("known daemon").own;
        let Some(write) = own.next_write() else {
            return true;
        };
        let written = table.insert(&write.key, &write.value);
        if written {
            own.written(&write);
        } else {
            own.set_table_reachable(false);
        }
        written
    }

    /// Takes over the bills of owners that have died; returns how many.
    pub(crate) fn adopt(&mut self, name: &str) -> usize {
        let members = self.members();
        let now = self.now;
        let daemon = self.daemons.get_mut(name).expect("known daemon");
        let mut adopted = 0;
        loop {
            let orphans = daemon.held.take_orphans(now, &members);
            if orphans.is_empty() {
                return adopted;
            }
            adopted += orphans.len();
            for bill in orphans {
                daemon.own.record(now, bill);
            }
        }
    }

    /// First step of a shutdown: takes over all held bills.
    pub(crate) fn adopt_all(&mut self, name: &str) {
        let now = self.now;
        let daemon = self.daemons.get_mut(name).expect("known daemon");
        for bill in daemon.held.take_all() {
            daemon.own.record(now, bill);
        }
    }

    pub(crate) fn set_member_state(&mut self, name: &str, state: MemberState) {
        self.daemons
            .get_mut(name)
            .expect("known daemon")
            .member
            .state = state;
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        self.now += by;
    }

    pub(crate) fn invoice(&self) -> Invoice {
        let rows = self.table.scan(ROWS_PREFIX).expect("reachable table");
        build_invoice(rows.iter().map(|row| row.value.as_str()))
    }
}
