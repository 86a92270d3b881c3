//! Follows the operators' and the upstreams' tables by long polling or by querying peers.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use platform::{
    RowVersion,
    orders::{self, Order},
    table::{Row, Rows, TableClient, TableError, TableErrorCause},
    upstream,
};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::dispatch::{Applied, Dispatcher, polling::PollingRole, registry::Change},
    gateway::{metrics, shared::Shared, table_link},
    state::rows::{RowCache, RowChanges},
};

/// How long the table holds a poll open when there are no changes.
///
/// A poll that the table never answers is detected only after this time. Together with the time
/// to apply a change it must stay below the delay that operators allow.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Wait of polls after a failed call, until one succeeds.
const POLL_WAIT_AFTER_FAILURE: Duration = Duration::from_millis(300);
/// Time added to the wait of a poll before it times out.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Timeout for each page of a full read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Base of the backoff after failed calls, doubled with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff of a polling daemon after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Delay before each poll of a daemon that has lost the table and is not selected to poll.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// How often a listening daemon checks whether its polling role has changed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of consecutive failed queries to peers after which a daemon polls the table itself.
const MAX_FAILED_QUERIES: u32 = 2;

/// A table that the daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowedTable {
    /// The operators' orders.
    Orders,
    /// The registered upstreams.
    Upstreams,
}

/// Follows a table until the process exits.
pub async fn follow(shared: Arc<Shared>, followed: FollowedTable) {
    let mut follower = Follower {
        client: TableClient::open(shared.settings.table),
        followed,
        failures: 0,
        failed_queries: 0,
        needs_full_read: true,
        shared,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    shared: Arc<Shared>,
    client: TableClient,
    followed: FollowedTable,
    /// Consecutive failed calls to the table.
    failures: u32,
    /// Consecutive failed queries to peers.
    failed_queries: u32,
    /// Whether the next call must read the whole table.
    needs_full_read: bool,
}

impl Follower {
    async fn step(&mut self) {
        let role = self.shared.dispatcher().polling_role(self.shared.now());
        let initialized = self.followed.cache(&self.shared.dispatcher()).version() > 0;
        match role {
            PollingRole::Listen if initialized && self.failed_queries < MAX_FAILED_QUERIES => {
                self.listen().await;
            }
            PollingRole::Listen | PollingRole::Poll => self.poll().await,
            PollingRole::Retry => {
                self.fetch_from_newer_peer().await;
                tokio::time::sleep(RETRY_POLL_INTERVAL).await;
                self.poll().await;
            }
        }
    }

    /// Queries a peer that has newer changes, or waits until a peer reports some.
    async fn listen(&mut self) {
        self.failures = 0;
        let mut peer_version = self.shared.newest_peer_version.subscribe();
        if !self.fetch_from_newer_peer().await {
            // The next step checks for new changes whether the wait timed out or was notified.
            let _ = tokio::time::timeout(ROLE_CHECK_INTERVAL, peer_version.changed()).await;
        }
    }

    /// Fetches changes from a peer that has newer ones; returns whether any newer change arrived.
    async fn fetch_from_newer_peer(&mut self) -> bool {
        let Some((peer, after)) = self.newer_peer() else {
            return false;
        };
        match table_link::fetch_changes(peer, self.followed, after).await {
            Ok(reply) => {
                self.failed_queries = 0;
                log::info!(
                    "event=changes_told table={} peer={peer} after={after} version={} rows={} whole={}",
                    self.followed.table(),
                    reply.changes.version,
                    reply.changes.rows.len(),
                    reply.changes.full
                );
                let now = self.shared.now();
                if let Some(remaining) = reply.grace_remaining {
                    self.shared
                        .dispatcher()
                        .registry
                        .set_grace_until(now + remaining);
                }
                self.followed.apply_changes(&self.shared, &reply.changes);
                // If nothing newer arrived, an immediate repeat is not worthwhile.
                self.followed
                    .cache(&self.shared.dispatcher())
                    .newest_change()
                    > after
            }
            Err(e) => {
                self.failed_queries += 1;
                log::warn!("event=changes_untold table={} {e}", self.followed.table());
                false
            }
        }
    }

    fn newer_peer(&self) -> Option<(SocketAddr, RowVersion)> {
        let dispatcher = self.shared.dispatcher();
        let known = self.followed.cache(&dispatcher).newest_change();
        let newest = |newest: &(RowVersion, SocketAddr)| newest.0;
        dispatcher
            .peers
            .live(self.shared.now())
            .map(|peer| match self.followed {
                FollowedTable::Orders => (peer.last_heartbeat.newest_order_version, peer.address),
                FollowedTable::Upstreams => {
                    (peer.last_heartbeat.newest_upstream_version, peer.address)
                }
            })
            .max_by_key(newest)
            .filter(|(newest, _)| *newest > known)
            .map(|(_, address)| (address, known))
    }

    async fn poll(&mut self) {
        let result = self.call().await;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics::table_call(self.followed.table(), outcome);
        match result {
            Ok(rows) => self.handle_rows(rows),
            Err(e) => self.handle_failure(&e).await,
        }
    }

    async fn call(&mut self) -> Result<Rows, TableError> {
        if self.needs_full_read {
            return self.client.read(self.followed.table(), READ_TIMEOUT).await;
        }
        let after = self.followed.cache(&self.shared.dispatcher()).version();
        let wait = match self.failures {
            0 => POLL_WAIT,
            _ => POLL_WAIT_AFTER_FAILURE,
        };
        let table = self.followed.table();
        self.client
            .changes(table, after, wait, POLL_TIMEOUT_MARGIN)
            .await
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
        let changes = RowChanges {
            full: self.needs_full_read,
            rows: rows.rows,
            version: rows.version,
        };
        self.followed.apply_changes(&self.shared, &changes);
        self.failures = 0;
        self.failed_queries = 0;
        self.needs_full_read = false;
    }

    async fn handle_failure(&mut self, e: &TableError) {
        if matches!(e.cause, TableErrorCause::HistoryGone) {
            log::info!("event=history_gone table={}", self.followed.table());
            self.needs_full_read = true;
            return;
        }
        if self.failures == 0 {
            log::warn!("event=table_lost table={} {e}", self.followed.table());
            self.shared.urgent_heartbeat.notify_one();
        }
        self.failures += 1;
        self.shared.dispatcher().table_lost(self.shared.now());
        self.fetch_from_newer_peer().await;
        let backoff = INITIAL_BACKOFF * (1 << self.failures.min(3));
        tokio::time::sleep(backoff.min(MAX_BACKOFF)).await;
    }
}

impl FollowedTable {
    fn table(self) -> &'static str {
        match self {
            Self::Orders => orders::TABLE,
            Self::Upstreams => upstream::TABLE,
        }
    }

    /// Returns the cached rows of the table.
    pub fn cache(self, dispatcher: &Dispatcher) -> &RowCache {
        match self {
            Self::Orders => &dispatcher.orders,
            Self::Upstreams => &dispatcher.upstreams,
        }
    }

    fn apply_changes(self, shared: &Shared, changes: &RowChanges) {
        if changes.full || !changes.rows.is_empty() {
            match self {
                Self::Orders => apply_orders(shared, changes),
                Self::Upstreams => apply_upstreams(shared, changes),
            }
            shared.urgent_heartbeat.notify_one();
        }
        let mut dispatcher = shared.dispatcher();
        match self {
            Self::Orders => dispatcher.orders.merge(changes),
            Self::Upstreams => dispatcher.upstreams.merge(changes),
        }
    }
}

fn apply_orders(shared: &Shared, changes: &RowChanges) {
    let now = shared.now();
    let mut evacuated = BTreeSet::new();
    for row in &changes.rows {
        let order = match Order::decode(row) {
            Ok(order) => order,
            Err(e) => {
                log::error!(
                    "event=order_unreadable key={} version={} error=\"{e}\"",
                    row.key,
                    row.version
                );
                continue;
            }
        };
        if let Order::Evacuate(domain) = &order {
            evacuated.insert(domain.clone());
        }
        let applied = shared.dispatcher().apply(order, row.version, now);
        if applied != Applied::Nothing {
            log::info!("event=order_applied version={} {applied}", row.version);
        }
    }
    if changes.full {
        shared.dispatcher().replace_evacuations(&evacuated, now);
    }
}

fn apply_upstreams(shared: &Shared, changes: &RowChanges) {
    let now = shared.now();
    let mut dispatcher = shared.dispatcher();
    let registry_changes = match changes.full {
        true => dispatcher.registry.replace(&changes.rows, now),
        false => dispatcher.registry.apply(&changes.rows, now),
    };
    let version = changes.version;
    for change in registry_changes {
        match &change {
            Change::Joined(id) => {
                dispatcher.upstream_stopped(id, now);
                log_row(&changes.rows, id);
            }
            Change::Left(id) => {
                dispatcher.upstream_stopped(id, now);
                log::info!("event=upstream_left upstream={id} version={version}");
            }
            Change::Draining(id) => {
                log::info!("event=upstream_draining upstream={id} version={version}");
            }
            Change::Missing(id) => {
                log::info!("event=upstream_lapsed upstream={id} version={version}");
            }
            Change::Unreadable(id, cause) => {
                log::warn!("event=upstream_unreadable upstream={id} error=\"{cause}\"");
            }
            Change::Updated(_) | Change::None => {}
        }
    }
}

fn log_row(rows: &[Row], id: &str) {
    let row = rows.iter().find(|row| row.key == id);
    let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
    log::info!(
        "event=upstream_joined upstream={id} row={}",
        String::from_utf8_lossy(value)
    );
}
