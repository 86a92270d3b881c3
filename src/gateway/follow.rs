//! Following the operators' and the upstreams' tables by long polls.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use platform::{
    orders::{self, Order},
    table::{Row, Rows, TableClient, TableError, Why},
    upstream,
};

use crate::{
    coordination::dispatch::{Applied, Dispatcher, registry::Change},
    gateway::{metrics, shared::Shared},
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
/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// What operators ask for.
    Orders,
    /// The upstreams that live.
    Upstreams,
}

/// Follows a table for as long as the process lives.
pub async fn follow(shared: Arc<Shared>, followed: Followed) {
    let mut client = TableClient::open(shared.settings.table);
    let mut failures = 0_u32;
    let mut read_all = true;
    loop {
        let wait = match failures {
            0 => POLL_WAIT,
            _ => FIRST_POLL_WAIT,
        };
        let result = poll(&shared, followed, &mut client, read_all, wait).await;
        metrics::table_call(followed.table(), outcome(&result));
        match result {
            Ok(rows) => {
                if failures > 0 {
                    log::info!(
                        "event=table_regained table={} failures={failures}",
                        followed.table()
                    );
                    shared.core().table_back(shared.now());
                    failures = 0;
                }
                followed.take(&shared, rows, read_all);
                read_all = false;
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!("event=table_lost table={} {e}", followed.table());
                }
                read_all |= matches!(e.why, Why::HistoryGone);
                failures += 1;
                if !matches!(e.why, Why::HistoryGone) {
                    shared.core().table_lost(shared.now());
                }
                if !matches!(e.why, Why::HistoryGone) {
                    let pause = FIRST_PAUSE * (1 << failures.min(3));
                    tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
                }
            }
        }
    }
}

async fn poll(
    shared: &Shared,
    followed: Followed,
    client: &mut TableClient,
    read_all: bool,
    wait: Duration,
) -> Result<Rows, TableError> {
    if read_all {
        return client.read(followed.table(), READ_TIMEOUT).await;
    }
    let after = followed.version(&shared.core());
    client
        .changes(followed.table(), after, wait, POLL_SLACK)
        .await
}

fn outcome<T>(result: &Result<T, TableError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(_) => "failed",
    }
}

impl Followed {
    fn table(self) -> &'static str {
        match self {
            Self::Orders => orders::TABLE,
            Self::Upstreams => upstream::TABLE,
        }
    }

    fn version(self, core: &Dispatcher) -> u64 {
        match self {
            Self::Orders => core.orders_version(),
            Self::Upstreams => core.registry.version(),
        }
    }

    fn take(self, shared: &Shared, rows: Rows, read_all: bool) {
        match self {
            Self::Orders => take_orders(shared, &rows, read_all),
            Self::Upstreams => take_upstreams(shared, &rows, read_all),
        }
    }
}

/// Applies rows of the operators' table.
pub fn take_orders(shared: &Shared, rows: &Rows, read_all: bool) {
    let now = shared.now();
    let mut evacuated = BTreeSet::new();
    for row in &rows.rows {
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
    let mut core = shared.core();
    if read_all {
        core.replace_evacuations(&evacuated, now);
    }
    core.saw_orders(rows.version);
}

/// Applies rows of the upstreams' table.
pub fn take_upstreams(shared: &Shared, rows: &Rows, read_all: bool) {
    let now = shared.now();
    let mut core = shared.core();
    let changes = match read_all {
        true => core.registry.replace(&rows.rows, rows.version, now),
        false => core.registry.apply(&rows.rows, rows.version, now),
    };
    for change in changes {
        match &change {
            Change::Joined(id) => {
                core.poison.died(id, now);
                log_row(&rows.rows, id, "joined");
            }
            Change::Left(id) => {
                core.poison.died(id, now);
                log::info!("event=upstream_left upstream={id} version={}", rows.version);
            }
            Change::Draining(id) => {
                log::info!(
                    "event=upstream_draining upstream={id} version={}",
                    rows.version
                );
            }
            Change::Lapsed(id) => {
                log::info!(
                    "event=upstream_lapsed upstream={id} version={}",
                    rows.version
                );
            }
            Change::Unreadable(id, why) => {
                log::warn!("event=upstream_unreadable upstream={id} error=\"{why}\"");
            }
            Change::Updated(_) | Change::None => {}
        }
    }
}

fn log_row(rows: &[Row], id: &str, what: &str) {
    let row = rows.iter().find(|row| row.key == id);
    let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
    log::info!(
        "event=upstream_{what} upstream={id} row={}",
        String::from_utf8_lossy(value)
    );
}
