//! Following the operators' and the upstreams' tables: by long polls, or by way of other daemons.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use platform::{
    RowVersion,
    orders::{self, Order},
    table::{Row, Rows, TableClient, TableError, Why},
    upstream,
};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::dispatch::{Applied, Dispatcher, polling::PollingRole, registry::Change},
    gateway::{metrics, shared::Shared, table_link},
    state::rows::{RowCache, RowChanges},
};

/// How long the table holds a poll open without changes.
///
/// A table that swallows a poll is found out only after this time, which together with the time
/// for a change to be in force must stay under what operators allow.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// The same for the first poll after a failure.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(300);
/// The time beyond a poll's wait in which its answer must come.
const POLL_SLACK: Duration = Duration::from_millis(500);
/// The time in which a full read must be answered.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The first pause after a failed call, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after a failed call of a daemon that polls for others.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// The pause between polls of a daemon whose turn it is not.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// How often a daemon that listens looks whether it is its turn to poll.
const LISTEN_PERIOD: Duration = Duration::from_millis(100);
/// The failed questions to other daemons after which a daemon asks the table itself.
const MAX_UNTOLD: u32 = 2;

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Followed {
    /// What operators ask for.
    Orders,
    /// The upstreams that live.
    Upstreams,
}

/// Follows a table for as long as the process lives.
pub async fn follow(shared: Arc<Shared>, followed: Followed) {
    let mut follower = Follower {
        client: TableClient::open(shared.settings.table),
        followed,
        failures: 0,
        untold: 0,
        read_all: true,
        shared,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    shared: Arc<Shared>,
    client: TableClient,
    followed: Followed,
    /// Calls of the table that failed one after another.
    failures: u32,
    /// Questions to other daemons that failed one after another.
    untold: u32,
    /// Whether the table is to be read whole.
    read_all: bool,
}

impl Follower {
    async fn step(&mut self) {
        let duty = self.shared.core().polling_role(self.shared.now());
        let known = self.followed.cache(&self.shared.core()).version() > 0;
        match duty {
            PollingRole::Listen if known && self.untold < MAX_UNTOLD => self.listen().await,
            PollingRole::Listen | PollingRole::Poll => self.poll().await,
            PollingRole::Retry => {
                self.ask_newer().await;
                tokio::time::sleep(RETRY_PAUSE).await;
                self.poll().await;
            }
        }
    }

    /// Waits for news of other daemons, and asks one that knows more.
    async fn listen(&mut self) {
        self.failures = 0;
        let mut heard = self.shared.heard.subscribe();
        if !self.ask_newer().await {
            // The time is up, or there is news; either way it is looked at next.
            let _ = tokio::time::timeout(LISTEN_PERIOD, heard.changed()).await;
        }
    }

    /// Asks a daemon that knows newer changes, if there is one; tells whether it was told any.
    async fn ask_newer(&mut self) -> bool {
        let Some((peer, after)) = self.newer_peer() else {
            return false;
        };
        match table_link::ask(peer, self.followed, after).await {
            Ok(told) => {
                self.untold = 0;
                log::info!(
                    "event=changes_told table={} peer={peer} after={after} version={} rows={} whole={}",
                    self.followed.table(),
                    told.changes.version,
                    told.changes.rows.len(),
                    told.changes.full
                );
                let now = self.shared.now();
                if let Some(left) = told.lapse_left {
                    self.shared.core().registry.set_grace_until(now + left);
                }
                self.followed.take(&self.shared, &told.changes);
                // Without anything newer it is not worth asking again at once.
                self.followed.cache(&self.shared.core()).newest_change() > after
            }
            Err(e) => {
                self.untold += 1;
                log::warn!("event=changes_untold table={} {e}", self.followed.table());
                false
            }
        }
    }

    fn newer_peer(&self) -> Option<(SocketAddr, RowVersion)> {
        let core = self.shared.core();
        let known = self.followed.cache(&core).newest_change();
        let newest = |newest: &(RowVersion, SocketAddr)| newest.0;
        core.peers
            .live(self.shared.now())
            .map(|peer| match self.followed {
                Followed::Orders => (peer.last_heartbeat.newest_order_version, peer.address),
                Followed::Upstreams => (peer.last_heartbeat.newest_upstream_version, peer.address),
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
            Ok(rows) => self.answered(rows),
            Err(e) => self.failed(&e).await,
        }
    }

    async fn call(&mut self) -> Result<Rows, TableError> {
        if self.read_all {
            return self.client.read(self.followed.table(), READ_TIMEOUT).await;
        }
        let after = self.followed.cache(&self.shared.core()).version();
        let wait = match self.failures {
            0 => POLL_WAIT,
            _ => FIRST_POLL_WAIT,
        };
        let table = self.followed.table();
        self.client.changes(table, after, wait, POLL_SLACK).await
    }

    fn answered(&mut self, rows: Rows) {
        if self.failures > 0 {
            let table = self.followed.table();
            log::info!(
                "event=table_regained table={table} failures={}",
                self.failures
            );
            self.shared.core().table_restored(self.shared.now());
        }
        let changes = RowChanges {
            full: self.read_all,
            rows: rows.rows,
            version: rows.version,
        };
        self.followed.take(&self.shared, &changes);
        self.failures = 0;
        self.untold = 0;
        self.read_all = false;
    }

    async fn failed(&mut self, e: &TableError) {
        if matches!(e.why, Why::HistoryGone) {
            log::info!("event=history_gone table={}", self.followed.table());
            self.read_all = true;
            return;
        }
        if self.failures == 0 {
            log::warn!("event=table_lost table={} {e}", self.followed.table());
            self.shared.news.notify_one();
        }
        self.failures += 1;
        self.shared.core().table_lost(self.shared.now());
        self.ask_newer().await;
        let pause = FIRST_PAUSE * (1 << self.failures.min(3));
        tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
    }
}

impl Followed {
    fn table(self) -> &'static str {
        match self {
            Self::Orders => orders::TABLE,
            Self::Upstreams => upstream::TABLE,
        }
    }

    /// The rows that are known of the table.
    pub fn cache(self, core: &Dispatcher) -> &RowCache {
        match self {
            Self::Orders => &core.orders,
            Self::Upstreams => &core.upstreams,
        }
    }

    fn take(self, shared: &Shared, changes: &RowChanges) {
        if changes.full || !changes.rows.is_empty() {
            match self {
                Self::Orders => take_orders(shared, changes),
                Self::Upstreams => take_upstreams(shared, changes),
            }
            shared.news.notify_one();
        }
        let mut core = shared.core();
        match self {
            Self::Orders => core.orders.merge(changes),
            Self::Upstreams => core.upstreams.merge(changes),
        }
    }
}

fn take_orders(shared: &Shared, changes: &RowChanges) {
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
        let applied = shared.core().apply(order, row.version, now);
        if applied != Applied::Nothing {
            log::info!("event=order_applied version={} {applied}", row.version);
        }
    }
    if changes.full {
        shared.core().replace_evacuations(&evacuated, now);
    }
}

fn take_upstreams(shared: &Shared, changes: &RowChanges) {
    let now = shared.now();
    let mut core = shared.core();
    let known = match changes.full {
        true => core.registry.replace(&changes.rows, now),
        false => core.registry.apply(&changes.rows, now),
    };
    let version = changes.version;
    for change in known {
        match &change {
            Change::Joined(id) => {
                core.upstream_stopped(id, now);
                log_row(&changes.rows, id);
            }
            Change::Left(id) => {
                core.upstream_stopped(id, now);
                log::info!("event=upstream_left upstream={id} version={version}");
            }
            Change::Draining(id) => {
                log::info!("event=upstream_draining upstream={id} version={version}");
            }
            Change::Missing(id) => {
                log::info!("event=upstream_lapsed upstream={id} version={version}");
            }
            Change::Unreadable(id, why) => {
                log::warn!("event=upstream_unreadable upstream={id} error=\"{why}\"");
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
