//! Writes outcomes and the journal of claims to the table.

use std::{
    sync::Weak,
    time::{Duration, Instant},
};

use platform_api::table::{ABSENT, CommitOutcome, CommitRequest, Condition, RowVersion, Write};
use tokio::time::{sleep, timeout};

use super::Claims;
use crate::coordination::claims::{JournalWrite, WriteReply, encode};

/// The shortest time between two journal rows.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// The greatest number of journal rows that the fleet writes in a second.
const FLEET_JOURNAL_WRITES: u32 = 30;
/// The greatest number of journal rows written at one flush.
const MAX_FLUSH_ROWS: usize = 4;
/// The longest a planned stop waits for open claims to end.
const CLOSE_LIMIT: Duration = Duration::from_secs(300);
/// How long it waits for a claim's end beyond its deadline.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// How long a planned stop tries to write what the table lacks.
const COMPLETE_LIMIT: Duration = Duration::from_secs(8);
/// The pause after a write that the table did not take.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

impl Claims {
    /// Ends all claims and writes that they are complete; returns whether the table has that.
    pub async fn complete(&self) -> bool {
        self.registry().close();
        let limit = self.core.clock.now() + CLOSE_LIMIT;
        let mut changes = self.changes.subscribe();
        while let Some(open_until) = self.open_until() {
            let until = limit.min(open_until + CLOSE_MARGIN);
            if !self.changed_before(&mut changes, until).await {
                break;
            }
        }
        self.registry().abandon(self.core.clock.now());
        let written = timeout(COMPLETE_LIMIT, self.write_complete()).await;
        let complete = written.unwrap_or(false);
        let name = self.core.name();
        log::info!("step=shutdown phase=claims daemon={name} complete={complete}");
        complete
    }

    fn open_until(&self) -> Option<Instant> {
        self.registry().open_until()
    }

    async fn write_complete(&self) -> bool {
        while !(self.flush_records().await && self.flush_journal(usize::MAX).await) {
            sleep(RETRY_PAUSE).await;
        }
        let Some(write) = self.registry().complete() else {
            return false;
        };
        while !self.insert(&write).await {
            sleep(RETRY_PAUSE).await;
        }
        true
    }

    pub(super) async fn record_outcomes(claims: Weak<Self>) {
        while let Some(this) = claims.upgrade() {
            let flushed = this.flush_records().await;
            let pause = if flushed {
                MIN_FLUSH_INTERVAL
            } else {
                RETRY_PAUSE
            };
            let _ = timeout(pause, this.unrecorded.notified()).await;
            if !flushed {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    pub(super) async fn write_journal(claims: Weak<Self>) {
        while let Some(this) = claims.upgrade() {
            this.registry().expire(this.core.clock.now());
            this.flush_journal(MAX_FLUSH_ROWS).await;
            let members = this.core.members().len();
            drop(this);
            sleep(flush_interval(members)).await;
        }
    }

    /// Writes outcomes until none is left; `false` if the table did not take one.
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

    /// Writes at most `rows` journal rows; `false` if the table did not take one.
    async fn flush_journal(&self, rows: usize) -> bool {
        for _ in 0..rows {
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

    /// Inserts a row whose content never changes; trying again is harmless.
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

fn flush_interval(members: usize) -> Duration {
    let shared = Duration::from_secs(members as u64) / FLEET_JOURNAL_WRITES;
    shared.max(MIN_FLUSH_INTERVAL)
}
