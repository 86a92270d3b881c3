//! Writes batches of bills to the table.

use std::{
    sync::{Weak, atomic::Ordering},
    time::{Duration, Instant},
};

use platform_api::table::{ABSENT, CommitOutcome, CommitRequest, Condition, Write};
use tokio::time::{sleep, timeout};

use super::Billing;
use crate::coordination::bills::{BatchWrite, ROWS_PREFIX};

/// Minimum time between two rows while none is urgent.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of rows per second written by the whole fleet while none is urgent.
const MAX_FLEET_WRITES_PER_SECOND: u32 = 60;
/// Minimum time between two rows while answers are waiting for them.
const URGENT_FLUSH_INTERVAL: Duration = Duration::from_millis(34);
/// Time a bill may wait for peers before its row becomes urgent.
const MAX_REPLICATION_WAIT: Duration = Duration::from_millis(250);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval of the table probes that run while no rows are written.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of peers that hold each bill when enough peers are available.
const HOLDERS_PER_BILL: usize = 2;
/// Time a graceful shutdown tries the table before it leaves the bills to peers.
const TABLE_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time a graceful shutdown waits for bills that are stored nowhere else.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);

impl Billing {
    pub(super) async fn write_rows(billing: Weak<Self>) {
        let mut last_write_at = None;
        while let Some(this) = billing.upgrade() {
            if this.pending().unflushed() == 0 {
                let _ = timeout(MIN_FLUSH_INTERVAL, this.flush_pending.notified()).await;
                continue;
            }
            this.wait_until_due(last_write_at).await;
            last_write_at = Some(this.core.clock.now());
            if !this.flush_once().await {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Waits for the regular interval, or for the shorter one if an answer is waiting for the row.
    async fn wait_until_due(&self, last_write_at: Option<Instant>) {
        let started = self.core.clock.now();
        let interval = flush_interval(self.core.members().len());
        if let Some(last_write_at) = last_write_at {
            sleep((last_write_at + URGENT_FLUSH_INTERVAL).saturating_duration_since(started)).await;
        }
        while !self.is_urgent() && self.core.clock.now() < started + interval {
            let _ = timeout(URGENT_FLUSH_INTERVAL, self.flush_pending.notified()).await;
        }
    }

    fn is_urgent(&self) -> bool {
        let pending = self.pending();
        let max_wait = if pending.holder_count() < HOLDERS_PER_BILL {
            Duration::ZERO
        } else {
            MAX_REPLICATION_WAIT
        };
        pending.is_overdue(self.core.clock.now(), max_wait) || self.closed.load(Ordering::SeqCst)
    }

    /// Writes the next row; returns `false` if the write failed.
    async fn flush_once(&self) -> bool {
        let Some(write) = self.pending().next_write() else {
            return true;
        };
        let written = self.insert(&write).await;
        if written {
            self.pending().written(&write);
        } else {
            self.pending().set_table_reachable(false);
        }
        self.notify_change();
        self.hold_pending.notify_one();
        written
    }

    /// Inserts an immutable row, so a retry after a lost reply is safe.
    async fn insert(&self, write: &BatchWrite) -> bool {
        let req = CommitRequest {
            conditions: vec![Condition {
                key: write.key.clone(),
                version: ABSENT,
            }],
            writes: vec![Write {
                key: write.key.clone(),
                value: Some(write.value.clone()),
            }],
        };
        match self.core.table.commit(&req).await {
            Ok(CommitOutcome::Committed { .. }) => true,
            Ok(CommitOutcome::Conflict { current }) => {
                current.iter().any(|row| row.value == write.value)
            }
            Err(e) => {
                log::warn!("step=flush row={} failed={e}", write.key);
                false
            }
        }
    }

    /// Probes the table while no row is pending and no peer holds bills or the table has failed.
    pub(super) async fn probe_table(billing: Weak<Self>) {
        while let Some(this) = billing.upgrade() {
            let is_idle = this.pending().unflushed() == 0;
            let needs_probe =
                this.pending().holder_count() == 0 || this.pending().is_table_failing();
            if is_idle && needs_probe {
                let is_reachable = this.core.table.read_one(ROWS_PREFIX).await.is_ok();
                this.pending().set_table_reachable(is_reachable);
            }
            drop(this);
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Writes all bills to the table, or leaves them to peers if the table is unreachable.
    ///
    /// Returns the number of bills that are stored in neither.
    pub async fn drain(&self) -> usize {
        self.closed.store(true, Ordering::SeqCst);
        let held = self.held().take_all();
        self.adopt(held);
        let started = self.core.clock.now();
        let mut changes = self.changes.subscribe();
        self.flush_pending.notify_one();
        self.hold_pending.notify_one();
        loop {
            let elapsed = self.core.clock.now() - started;
            let unsaved = self.unsaved_bills(elapsed);
            if unsaved == 0 || elapsed > DRAIN_TIMEOUT {
                let name = self.core.name();
                log::info!("step=shutdown phase=bills daemon={name} lost={unsaved}");
                return unsaved;
            }
            let _ = timeout(RETRY_DELAY, changes.changed()).await;
        }
    }

    fn unsaved_bills(&self, elapsed: Duration) -> usize {
        let pending = self.pending();
        if elapsed >= TABLE_DRAIN_TIMEOUT && pending.all_replicated() {
            return 0;
        }
        pending.unflushed()
    }
}

fn flush_interval(member_count: usize) -> Duration {
    let fleet_interval = Duration::from_secs(member_count as u64) / MAX_FLEET_WRITES_PER_SECOND;
    fleet_interval.max(MIN_FLUSH_INTERVAL)
}
