//! Billing: stores each bill on peers or in the table before the end of its answer is released.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    coordination::bills::{
        Bill, BillNumber, BillStorageError, HeldBills, HoldBatch, Invoice, Limits, Owner,
        PendingBills, ROWS_PREFIX, build_invoice,
    },
    daemon::core::{Core, MemberList},
    protocol::peer::{
        PeerRequest, PeerResponse,
        bills::{Hold, Request, Response},
    },
    supervise::Supervisor,
    transport::table::{TableClient, TableError},
};

mod flush;

/// Maximum number of bills held for other daemons.
const MAX_HELD_BILLS: usize = 60_000;
/// Maximum time a caller's answer waits for its bill to become durable.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a request to a peer to hold bills.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the holders are selected again if the member list has not changed.
const HOLDER_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the checks for bills of dead owners.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bills of a running daemon.
pub struct Billing {
    core: Arc<Core>,
    pending: Mutex<PendingBills>,
    held: Mutex<HeldBills>,
    closed: AtomicBool,
    changes: watch::Sender<u64>,
    hold_pending: Notify,
    flush_pending: Notify,
    last_selection: Mutex<Option<HolderSelection>>,
}

/// Members and time of the last selection of holders.
struct HolderSelection {
    members: MemberList,
    selected_at: Instant,
}

impl Billing {
    /// Starts the tasks that replicate bills to peers and write them to the table.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let pending = PendingBills::new(core.name().clone(), core.incarnation, Limits::default());
        let billing = Arc::new(Self {
            pending: Mutex::new(pending),
            held: Mutex::new(HeldBills::new(MAX_HELD_BILLS)),
            closed: AtomicBool::new(false),
            changes: watch::Sender::default(),
            hold_pending: Notify::new(),
            flush_pending: Notify::new(),
            last_selection: Mutex::new(None),
            core,
        });
        billing.refresh_holders();
        let tasks = Supervisor::new(&billing.core.clock);
        let weak = || Arc::downgrade(&billing);
        tasks.spawn("replicate_bills", weak(), Self::replicate_bills);
        tasks.spawn("write_bills", weak(), Self::write_rows);
        tasks.spawn("adopt_orphaned_bills", weak(), Self::adopt_orphans);
        tasks.spawn("probe_table", weak(), Self::probe_table);
        billing
    }

    /// Returns an error while bills of new requests could not be stored.
    pub fn may_take_work(&self) -> Result<(), BillStorageError> {
        self.pending().may_take_work()
    }

    /// Records a bill; returns once it is durable.
    ///
    /// After a timeout the daemon keeps trying to store the bill.
    pub async fn record(&self, bill: Bill) -> Result<(), BillStorageError> {
        let mut changes = self.changes.subscribe();
        let now = self.core.clock.now();
        let number = self.pending().record(now, bill);
        self.hold_pending.notify_one();
        self.flush_pending.notify_one();
        self.wait_until_durable(&mut changes, number, now + RECORD_TIMEOUT)
            .await
    }

    async fn wait_until_durable(
        &self,
        changes: &mut watch::Receiver<u64>,
        number: BillNumber,
        deadline: Instant,
    ) -> Result<(), BillStorageError> {
        while !self.pending().is_durable(number) {
            let remaining = deadline.saturating_duration_since(self.core.clock.now());
            if timeout(remaining, changes.changed()).await.is_err() {
                return Err(BillStorageError::TimedOut);
            }
        }
        Ok(())
    }

    /// Handles a request from a peer.
    pub async fn answer(&self, req: Request) -> Response {
        let Request::Hold(hold) = req;
        if self.closed.load(Ordering::SeqCst) {
            return Response::Full;
        }
        let now = self.core.clock.now();
        let mut held = self.held();
        match held.hold(now, &hold.owner, hold.from, hold.bills, hold.flushed) {
            Ok(()) => Response::Held,
            Err(_) => Response::Full,
        }
    }

    async fn replicate_bills(billing: Weak<Self>) {
        while let Some(this) = billing.upgrade() {
            this.refresh_holders();
            let batches = this.pending().next_hold_batches();
            for batch in batches {
                tokio::spawn(this.clone().send_to_holder(batch));
            }
            let _ = timeout(HOLDER_REFRESH_INTERVAL, this.hold_pending.notified()).await;
        }
    }

    async fn send_to_holder(self: Arc<Self>, batch: HoldBatch) {
        let req = PeerRequest::Bills(Request::Hold(Hold {
            owner: Owner {
                daemon: self.core.name().clone(),
                incarnation: self.core.incarnation,
            },
            from: batch.from,
            bills: batch.bills.clone(),
            flushed: batch.flushed,
        }));
        let response = self.core.peers.call(&batch.holder, req, HOLD_TIMEOUT).await;
        match response {
            Ok(PeerResponse::Bills(Response::Held)) => self.pending().held(&batch),
            _ => self.hold_failed(&batch),
        }
        self.notify_change();
        self.hold_pending.notify_one();
    }

    fn hold_failed(&self, batch: &HoldBatch) {
        let peer = &batch.holder.name;
        log::warn!("step=hold peer={peer} bills={} not held", batch.bills.len());
        self.pending().hold_failed(self.core.clock.now(), batch);
        *self.last_selection() = None;
    }

    /// Selects the holders, unless the last selection is recent and the members are unchanged.
    fn refresh_holders(&self) {
        let members = self.core.members();
        let now = self.core.clock.now();
        if let Some(last) = &*self.last_selection()
            && Arc::ptr_eq(&last.members, &members)
            && now < last.selected_at + HOLDER_REFRESH_INTERVAL
        {
            return;
        }
        let Some(own_member) = members.iter().find(|m| m.name == *self.core.name()) else {
            return;
        };
        self.pending().update_holders(now, own_member, &members);
        *self.last_selection() = Some(HolderSelection {
            members,
            selected_at: now,
        });
    }

    async fn adopt_orphans(billing: Weak<Self>) {
        while let Some(this) = billing.upgrade() {
            let members = this.core.members();
            while this.pending().has_room() {
                let now = this.core.clock.now();
                let orphans = this.held().take_orphans(now, &members);
                if orphans.is_empty() {
                    break;
                }
                this.adopt(orphans);
            }
            drop(this);
            sleep(ORPHAN_CHECK_INTERVAL).await;
        }
    }

    /// Adds bills of other daemons to the pending bills of this one.
    fn adopt(&self, bills: Vec<Bill>) {
        log::info!("step=adopt bills={}", bills.len());
        let now = self.core.clock.now();
        let mut pending = self.pending();
        for bill in bills {
            pending.record(now, bill);
        }
        drop(pending);
        self.hold_pending.notify_one();
        self.flush_pending.notify_one();
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn last_selection(&self) -> MutexGuard<'_, Option<HolderSelection>> {
        self.last_selection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, PendingBills> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held(&self) -> MutexGuard<'_, HeldBills> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds the invoice from all bill rows in the table.
pub async fn invoice(table: &TableClient) -> Result<Invoice, TableError> {
    let rows = table.scan(ROWS_PREFIX).await?;
    Ok(build_invoice(rows.iter().map(|row| row.value.as_str())))
}
