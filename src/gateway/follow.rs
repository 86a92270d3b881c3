//! Follows the operators' and the upstreams' tables by long polling or by querying peers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use platform::{
    RowVersion,
    table::{PollResponse, Rows, TableClient, TableError, TableErrorCause},
};

use crate::{
    coordination::dispatch::polling::PollingRole,
    gateway::{
        fetch::fetch_newer_generation, followed_table::FollowedTable, metrics,
        peer_changes::PeerChanges, shared::Shared, table_clock::TableClock,
    },
    state::rows::RowChanges,
};

/// Wait of polls after a failed call or a start, until one succeeds.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(300);
/// Time after the wait of a poll in which the head of its answer must arrive.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Timeout for the head of each page of a full read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Base of the backoff after failed calls, doubled with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff of a polling daemon after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Delay before each poll of a daemon that has lost the table and is not selected to poll.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long rows that a restored table lacks are carried over.
const CARRY_OVER_TIME: Duration = Duration::from_secs(3);
/// Maximum time in which a starting daemon reads the list of its peers.
const MAX_RECORDS_WAIT: Duration = Duration::from_millis(300);
/// Time in which a starting daemon hears from its peers.
const MIN_START_WAIT: Duration = Duration::from_millis(40);
/// Time over which the daemons spread their first reads if the whole fleet starts for the first time.
const MAX_BOOTSTRAP_WAIT: Duration = Duration::from_millis(1_500);
/// The same after a restart, when callers may be waiting.
const MAX_RESTART_WAIT: Duration = Duration::from_millis(100);
/// Interval between checks for a peer that has read the table.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay between polls of the upstreams after a change; they change several times a second while a
/// service is replaced.
const UPSTREAM_POLL_DELAY: Duration = Duration::from_millis(250);

/// Follows a table until the process exits.
pub async fn follow(shared: Arc<Shared>, followed: FollowedTable) {
    let mut follower = Follower {
        client: TableClient::open(shared.settings.table, shared.table_era.clone()),
        followed,
        failures: 0,
        peer_changes: PeerChanges::new(shared.clone(), followed),
        next_read: NextRead::Full,
        start: StartPhase::Started,
        settle_at: None,
        clock: None,
        vain_generation: 0,
        shared,
    };
    let _end = EndGuard(follower.shared.clone());
    loop {
        follower.step().await;
        let shared = &follower.shared;
        shared.follow_progress.record_step(followed, shared.now());
    }
}

/// Tells the other daemons not to rely on this one if it stops following a table.
struct EndGuard(Arc<Shared>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.dispatcher().table_lost(self.0.now());
        self.0.urgent_heartbeat.notify_one();
    }
}

struct Follower {
    shared: Arc<Shared>,
    client: TableClient,
    followed: FollowedTable,
    /// Consecutive failed calls to the table.
    failures: u32,
    peer_changes: PeerChanges,
    next_read: NextRead,
    start: StartPhase,
    /// When rows that were carried over from an earlier era are dropped unless they were written again.
    settle_at: Option<Instant>,
    clock: Option<TableClock>,
    /// Generation of a peer's configuration that the peer did not have a row for.
    vain_generation: u64,
}

/// What the next call to the table reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRead {
    /// The changes after the known version.
    Changes,
    /// The whole table.
    Full,
    /// The whole table, because the history of the known version was gone.
    FullWithoutHistory,
}

/// How far this daemon has come since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartPhase {
    /// It has not done anything.
    Started,
    /// It has waited for a peer that has read the table.
    AskedPeers,
    /// The table has answered it.
    Answered,
}

impl Follower {
    async fn step(&mut self) {
        if self.followed == FollowedTable::Orders && self.peer_changes.newer_peer().is_none() {
            self.vain_generation = fetch_newer_generation(&self.shared, self.vain_generation).await;
        }
        let role = self.shared.dispatcher().polling_role(self.shared.now());
        let version = self.followed.cache(&self.shared.dispatcher()).version();
        let initialized = version != RowVersion::default();
        if !initialized && self.start == StartPhase::Started {
            self.start = StartPhase::AskedPeers;
            self.await_peer_changes().await;
            if self.peer_changes.fetch().await {
                self.next_read = NextRead::Changes;
                return;
            }
        }
        match role {
            PollingRole::Listen if initialized && self.peer_changes.are_sent() => {
                self.failures = 0;
                self.peer_changes.listen().await;
            }
            PollingRole::Listen | PollingRole::Poll => self.poll().await,
            PollingRole::Retry => {
                // Other daemons may have changes meanwhile.
                let listening = self.peer_changes.listen_forever();
                let _ = tokio::time::timeout(RETRY_POLL_INTERVAL, listening).await;
                self.poll().await;
            }
        }
    }

    /// Waits at the start of this daemon until a peer has read the table, for a random time at most.
    ///
    /// Load pattern: many daemons start at once. If each read the table, the calls would grow with the
    /// fleet; as it is, few read it before the others hear of them.
    async fn await_peer_changes(&self) {
        let max_wait = match self.shared.settings.bootstrap {
            true => MAX_BOOTSTRAP_WAIT,
            false => MAX_RESTART_WAIT,
        };
        let records_deadline = self.shared.now() + MAX_RECORDS_WAIT;
        while !self.shared.knows_peers() && self.shared.now() < records_deadline {
            tokio::time::sleep(START_CHECK_INTERVAL).await;
        }
        let deadline = self.shared.now() + MIN_START_WAIT + max_wait.mul_f64(rand::random());
        while self.peer_changes.newer_peer().is_none() && self.shared.now() < deadline {
            tokio::time::sleep(START_CHECK_INTERVAL).await;
        }
    }

    async fn poll(&mut self) {
        let result = self.call().await;
        self.shared.enter_table_era();
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics::table_call(self.followed.table(), outcome);
        match result {
            Ok(rows) => {
                let has_changes = !rows.rows.is_empty();
                self.handle_rows(rows);
                if has_changes && self.followed == FollowedTable::Upstreams {
                    tokio::time::sleep(UPSTREAM_POLL_DELAY).await;
                }
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    async fn call(&mut self) -> Result<Rows, TableError> {
        if self.next_read != NextRead::Changes {
            return self.client.read(self.followed.table(), READ_TIMEOUT).await;
        }
        let after = self.followed.cache(&self.shared.dispatcher()).version();
        let now = self.shared.now();
        let is_settled = self.settle_at.take_if(|at| *at <= now).is_some();
        if is_settled || after.era < self.shared.table_era.current() {
            self.next_read = NextRead::Full;
            return self.client.read(self.followed.table(), READ_TIMEOUT).await;
        }
        let is_connected = self.failures == 0 && self.start == StartPhase::Answered;
        let wait = match self.clock {
            Some(clock) if is_connected => {
                let turn = self.shared.dispatcher().polling_turn(now);
                turn.poll_wait(clock.at(now))
            }
            _ => SHORT_POLL_WAIT,
        };
        let response = self.await_poll(after, wait).await?;
        self.client.receive_changes(response).await
    }

    /// Polls the table; meanwhile fetches changes that peers have and the poll does not bring.
    async fn await_poll(
        &mut self,
        after: RowVersion,
        wait: Duration,
    ) -> Result<PollResponse, TableError> {
        let table = self.followed.table();
        let poll = self.client.poll(table, after, wait, POLL_TIMEOUT_MARGIN);
        tokio::select! {
            response = poll => response,
            never = self.peer_changes.fetch_overdue() => never,
        }
    }

    fn handle_rows(&mut self, rows: Rows) {
        if self.failures > 0 {
            let table = self.followed.table();
            log::info!(
                "event=table_regained table={table} failures={}",
                self.failures
            );
            self.shared.dispatcher().table_restored(self.shared.now());
        }
        self.clock = Some(TableClock::new(rows.now, self.shared.now()));
        let changes = RowChanges {
            full: self.next_read != NextRead::Changes,
            rows: rows.rows,
            version: rows.version,
        };
        let nothing_new = self
            .followed
            .cache(&self.shared.dispatcher())
            .shows_nothing_new(&changes);
        let changes = match nothing_new {
            true => RowChanges::none(changes.version),
            false => changes,
        };
        let carried = self.followed.apply_changes(&self.shared, &changes);
        if carried > 0 {
            self.settle_at = Some(self.shared.now() + CARRY_OVER_TIME);
        }
        self.start = StartPhase::Answered;
        self.next_read = NextRead::Changes;
        self.failures = 0;
        self.peer_changes.forget_failures();
    }

    async fn handle_failure(&mut self, e: &TableError) {
        if matches!(e.cause, TableErrorCause::HistoryGone) {
            log::info!("event=history_gone table={}", self.followed.table());
            // A table that keeps answering so must not be called without a pause.
            if self.next_read == NextRead::FullWithoutHistory {
                tokio::time::sleep(INITIAL_BACKOFF).await;
            }
            self.next_read = NextRead::FullWithoutHistory;
            return;
        }
        if self.failures == 0 {
            log::warn!("event=table_lost table={} {e}", self.followed.table());
            self.shared.urgent_heartbeat.notify_one();
        }
        self.failures += 1;
        self.shared.dispatcher().table_lost(self.shared.now());
        self.peer_changes.fetch().await;
        let backoff = INITIAL_BACKOFF * (1 << self.failures.min(3));
        tokio::time::sleep(backoff.min(MAX_BACKOFF)).await;
    }
}
