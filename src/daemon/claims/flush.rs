//! Writes the outcomes of claims and the claim journal to the table.

use std::{
    sync::Weak,
    time::{Duration, Instant},
};

use platform_api::table::{ABSENT, CommitOutcome, CommitRequest, Condition, RowVersion, Write};
use tokio::time::{sleep, timeout};

use super::Claims;
use crate::coordination::claims::{JournalWrite, WriteReply, encode};

/// Minimum time between two flushes of the journal.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of journal flushes per second by the whole fleet.
const MAX_FLEET_FLUSHES_PER_SECOND: u32 = 30;
/// Maximum number of journal rows written per flush.
const MAX_ROWS_PER_FLUSH: usize = 4;
/// Maximum time a graceful shutdown waits for open claims to end.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(300);
/// Time a graceful shutdown waits for a claim beyond the claim's deadline.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time a graceful shutdown spends writing outstanding rows to the table.
const COMPLETE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

impl Claims {
    /// Ends all claims and records their completion in the table; returns whether that succeeded.
    pub async fn complete(&self) -> bool {
        self.registry().close();
        let limit = self.core.clock.now() + MAX_CLOSE_WAIT;
        let mut changes = self.changes.subscribe();
        while let Some(open_until) = self.open_until() {
            let wait_until = limit.min(open_until + CLOSE_MARGIN);
            if !self.wait_for_change(&mut changes, wait_until).await {
                break;
            }
        }
        self.registry().abandon(self.core.clock.now());
        let completion = timeout(COMPLETE_TIMEOUT, self.write_completion()).await;
        let is_complete = completion.unwrap_or(false);
        let name = self.core.name();
        log::info!("step=shutdown phase=claims daemon={name} complete={is_complete}");
        is_complete
    }

    fn open_until(&self) -> Option<Instant> {
        self.registry().open_until()
    }

    async fn write_completion(&self) -> bool {
        while !(self.flush_records().await && self.flush_journal(usize::MAX).await) {
            sleep(RETRY_DELAY).await;
        }
        let Some(write) = self.registry().complete() else {
            return false;
        };
        while !self.insert(&write).await {
            sleep(RETRY_DELAY).await;
        }
        true
    }

    pub(super) async fn record_outcomes(claims: Weak<Self>) {
        while let Some(this) = claims.upgrade() {
            let all_written = this.flush_records().await;
            let delay = if all_written {
                MIN_FLUSH_INTERVAL
            } else {
                RETRY_DELAY
            };
            let _ = timeout(delay, this.outcome_pending.notified()).await;
            if !all_written {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    pub(super) async fn write_journal(claims: Weak<Self>) {
        while let Some(this) = claims.upgrade() {
            this.registry().expire(this.core.clock.now());
            this.flush_journal(MAX_ROWS_PER_FLUSH).await;
            let member_count = this.core.members().len();
            drop(this);
            sleep(flush_interval(member_count)).await;
        }
    }

    /// Writes all pending outcomes; returns `false` if a write failed.
    async fn flush_records(&self) -> bool {
        loop {
            let Some(write) = self.registry().next_record() else {
                return true;
            };
            let value = encode(&write.row);
            let reply = self.write(&write.key, write.version, value).await;
            let failed = matches!(reply, WriteReply::NotApplied | WriteReply::Unknown);
            self.registry().recorded(&write, &reply);
            if failed {
                return false;
            }
        }
    }

    /// Writes at most `max_rows` journal rows; returns `false` if a write failed.
    async fn flush_journal(&self, max_rows: usize) -> bool {
        for _ in 0..max_rows {
            let Some(write) = self.registry().next_journal_write() else {
                return true;
            };
            if !self.insert(&write).await {
                return false;
            }
            self.registry().journal_written(&write.key);
        }
        true
    }

    /// Inserts an immutable row, so a retry after a lost reply is safe.
    async fn insert(&self, write: &JournalWrite) -> bool {
        match self.write(&write.key, ABSENT, write.value.clone()).await {
            WriteReply::Committed(_) => true,
            WriteReply::Conflict(Some(row)) => row.value == write.value,
            _ => false,
        }
    }

    pub(super) async fn write(&self, key: &str, version: RowVersion, value: String) -> WriteReply {
        let req = CommitRequest {
            conditions: vec![Condition {
                key: key.into(),
                version,
            }],
            writes: vec![Write {
                key: key.into(),
                value: Some(value),
            }],
        };
        match self.core.table.commit(&req).await {
            Ok(CommitOutcome::Committed { version }) => WriteReply::Committed(version),
            Ok(CommitOutcome::Conflict { mut current }) => WriteReply::Conflict(current.pop()),
            Err(e) if e.not_applied() => WriteReply::NotApplied,
            Err(_) => WriteReply::Unknown,
        }
    }
}

fn flush_interval(member_count: usize) -> Duration {
    let fleet_interval = Duration::from_secs(member_count as u64) / MAX_FLEET_FLUSHES_PER_SECOND;
    fleet_interval.max(MIN_FLUSH_INTERVAL)
}
