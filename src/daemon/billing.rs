//! Billing: has each bill held by peers or the table before its answer's end is released.

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
    transport::table::{TableClient, TableError},
};

mod flush;

/// The greatest number of bills held for other daemons.
const MAX_HELD_BILLS: usize = 60_000;
/// How long a caller's answer waits for its bill to be safe.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a peer may take to hold bills.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the holders are chosen again though no member has changed.
const HOLDER_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// How often bills of dead owners are looked for.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The bills of a running daemon.
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

/// Among whom and when the holders were chosen last.
struct HolderSelection {
    members: MemberList,
    selected_at: Instant,
}

impl Billing {
    /// Starts the tasks that hand bills to peers and write them to the table.
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
        tokio::spawn(Self::replicate_bills(Arc::downgrade(&billing)));
        tokio::spawn(Self::write_rows(Arc::downgrade(&billing)));
        tokio::spawn(Self::adopt_orphans(Arc::downgrade(&billing)));
        tokio::spawn(Self::probe_table(Arc::downgrade(&billing)));
        billing
    }

    /// Whether new work may be taken.
    pub fn may_take_work(&self) -> Result<(), BillStorageError> {
        self.pending().may_take_work()
    }

    /// Keeps a bill; returns once it is safe.
    ///
    /// After an error the bill is still being tried.
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

    /// Answers a call from a peer.
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
        log::warn!("step=hold peer={peer} bills={} failed", batch.bills.len());
        self.pending().hold_failed(self.core.clock.now(), batch);
        *self.last_selection() = None;
    }

    /// Chooses the holders, unless that was done a moment ago among the same members.
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

    /// Takes over bills of other daemons among the own.
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

/// Reads all batches from the table and folds them.
pub async fn invoice(table: &TableClient) -> Result<Invoice, TableError> {
    let rows = table.scan(ROWS_PREFIX).await?;
    Ok(build_invoice(rows.iter().map(|row| row.value.as_str())))
}
