//! Writes batches of bills to the table.

use std::{
    sync::{Weak, atomic::Ordering},
    time::{Duration, Instant},
};

use platform_api::table::{ABSENT, CommitOutcome, CommitRequest, Condition, Write};
use tokio::time::{sleep, timeout};

use super::Billing;
use crate::coordination::bills::{BatchWrite, ROWS_PREFIX};

/// The shortest regular time between two rows.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// The greatest number of rows that the fleet regularly writes in a second.
const FLEET_WRITES: u32 = 60;
/// The time between two rows while answers wait for them.
const URGENT_INTERVAL: Duration = Duration::from_millis(34);
/// How long a bill waits for peers before it is written at once.
const PATIENCE: Duration = Duration::from_millis(250);
/// The pause after a write that the table did not take.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How often a table is tried that nothing else tries.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// The number of peers that hold each bill in a whole fleet.
const COPIES: usize = 2;
/// How long a planned stop tries the table before it leaves the bills to peers.
const TABLE_PATIENCE: Duration = Duration::from_secs(4);
/// The longest a planned stop waits for bills that nobody else has.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);

impl Billing {
    pub(super) async fn write_rows(billing: Weak<Self>) {
        let mut last = None;
        while let Some(this) = billing.upgrade() {
            if this.own().unflushed() == 0 {
                let _ = timeout(MIN_INTERVAL, this.to_flush.notified()).await;
                continue;
            }
            this.wait_until_due(last).await;
            last = Some(this.core.clock.now());
            if !this.flush_once().await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Waits for the regular interval, or less while an answer waits for the row.
    async fn wait_until_due(&self, last: Option<Instant>) {
        let started = self.core.clock.now();
        let interval = flush_interval(self.core.members().len());
        if let Some(last) = last {
            sleep((last + URGENT_INTERVAL).saturating_duration_since(started)).await;
        }
        while !self.is_urgent() && self.core.clock.now() < started + interval {
            let _ = timeout(URGENT_INTERVAL, self.to_flush.notified()).await;
        }
    }

    fn is_urgent(&self) -> bool {
        let own = self.own();
        let patience = if own.holder_count() < COPIES {
            Duration::ZERO
        } else {
            PATIENCE
        };
        own.is_overdue(self.core.clock.now(), patience) || self.closed.load(Ordering::SeqCst)
    }

    /// Writes the next row; `false` if the table did not take it.
    async fn flush_once(&self) -> bool {
        let Some(write) = self.own().next_write() else {
            return true;
        };
        let written = self.insert(&write).await;
        if written {
            self.own().written(&write);
        } else {
            self.own().set_table_reachable(false);
        }
        self.note_change();
        self.to_hold.notify_one();
        written
    }

    /// Inserts a row whose content never changes; trying again is harmless.
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

    /// Learns whether the table answers when no peer holds bills and no row is being written.
    pub(super) async fn probe_table(billing: Weak<Self>) {
        while let Some(this) = billing.upgrade() {
            let idle = this.own().unflushed() == 0;
            let matters = this.own().holder_count() == 0 || this.own().is_table_failing();
            if idle && matters {
                let answers = this.core.table.read_one(ROWS_PREFIX).await.is_ok();
                this.own().set_table_reachable(answers);
            }
            drop(this);
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Writes all bills to the table, or leaves them to peers when it does not answer; returns
    /// how many neither has.
    pub async fn drain(&self) -> usize {
        self.closed.store(true, Ordering::SeqCst);
        let held = self.held().take_all();
        self.adopt(held);
        let started = self.core.clock.now();
        let mut changes = self.changes.subscribe();
        self.to_flush.notify_one();
        self.to_hold.notify_one();
        loop {
            let waited = self.core.clock.now() - started;
            let left = self.left_behind(waited);
            if left == 0 || waited > DRAIN_LIMIT {
                let name = self.core.name();
                log::info!("step=shutdown phase=bills daemon={name} lost={left}");
                return left;
            }
            let _ = timeout(RETRY_PAUSE, changes.changed()).await;
        }
    }

    fn left_behind(&self, waited: Duration) -> usize {
        let own = self.own();
        if waited >= TABLE_PATIENCE && own.all_replicated() {
            return 0;
        }
        own.unflushed()
    }
}

fn flush_interval(members: usize) -> Duration {
    let shared = Duration::from_secs(members as u64) / FLEET_WRITES;
    shared.max(MIN_INTERVAL)
}
