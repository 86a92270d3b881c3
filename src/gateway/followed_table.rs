//! The tables that daemons follow, and how their changes take effect.

use std::{borrow::Cow, collections::BTreeSet};

use platform::{
    DomainName,
    decode::DecodeError,
    orders::{self, Order},
    table::Row,
    upstream,
};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::dispatch::{Applied, Dispatcher, registry::Change},
    gateway::{shared::Shared, waiting},
    isolate::isolate,
    state::rows::{RowCache, RowChanges},
};

/// A table that the daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowedTable {
    /// The operators' orders.
    Orders,
    /// The registered upstreams.
    Upstreams,
}

impl FollowedTable {
    /// Returns the table's name on the platform.
    pub fn table(self) -> &'static str {
        match self {
            Self::Orders => orders::TABLE,
            Self::Upstreams => upstream::TABLE,
        }
    }

    /// Returns the name of the task that follows the table.
    pub fn follower_name(self) -> &'static str {
        match self {
            Self::Orders => "follow_orders",
            Self::Upstreams => "follow_upstreams",
        }
    }

    /// Returns the cached rows of the table.
    pub fn cache(self, dispatcher: &Dispatcher) -> &RowCache {
        match self {
            Self::Orders => &dispatcher.orders,
            Self::Upstreams => &dispatcher.upstreams,
        }
    }

    /// Applies changes and stores them for peers; returns how many rows were carried over from an
    /// earlier era.
    pub fn apply_changes(self, shared: &Shared, changes: &RowChanges) -> usize {
        let (known, carried) = {
            let dispatcher = shared.dispatcher();
            let cache = self.cache(&dispatcher);
            let carried = match self {
                Self::Orders => cache.carried_over(changes, is_newer_configuration),
                // The registry has a grace period for missing entries.
                Self::Upstreams => Vec::new(),
            };
            (cache.version(), carried)
        };
        if changes.version.era < known.era {
            return 0;
        }
        let count = carried.len();
        if count > 0 {
            log::warn!(
                "event=rows_carried_over table={} rows={count}",
                self.table()
            );
        }
        let changes = match carried.is_empty() {
            true => Cow::Borrowed(changes),
            false => Cow::Owned(changes.with_rows(carried)),
        };
        if changes.full || !changes.rows.is_empty() {
            match self {
                Self::Orders => apply_orders(shared, &changes),
                Self::Upstreams => apply_upstreams(shared, &changes),
            }
            shared.urgent_heartbeat.notify_one();
        }
        {
            let mut dispatcher = shared.dispatcher();
            match self {
                Self::Orders => dispatcher.orders.merge(&changes),
                Self::Upstreams => dispatcher.upstreams.merge(&changes),
            }
        }
        shared.update_has_tables();
        count
    }
}

/// Returns whether both rows hold configurations and the known one has a later generation.
fn is_newer_configuration(known: &Row, read: &Row) -> bool {
    match (Order::decode(known), Order::decode(read)) {
        (Ok(Order::Configure(known)), Ok(Order::Configure(read))) => {
            known.generation > read.generation
        }
        _ => false,
    }
}

fn apply_orders(shared: &Shared, changes: &RowChanges) {
    let now = shared.now();
    let mut evacuated = BTreeSet::new();
    for row in &changes.rows {
        let (key, version) = (&row.key, row.version);
        match isolate(|| apply_order(shared, row, &mut evacuated)) {
            Ok(Ok(Applied::Nothing)) => {}
            Ok(Ok(applied)) => log::info!("event=order_applied version={version} {applied}"),
            Ok(Err(e)) => {
                log::error!("event=order_unreadable key={key} version={version} error=\"{e}\"");
            }
            Err(e) => {
                log::error!("event=order_not_applied key={key} version={version} error=\"{e}\"");
            }
        }
    }
    // A peer's rows may be older than those that this daemon has read itself.
    if changes.full && changes.version >= shared.dispatcher().orders.version() {
        shared.dispatcher().replace_evacuations(&evacuated, now);
    }
}

/// Applies an order, and records the failure domain that it evacuates.
fn apply_order(
    shared: &Shared,
    row: &Row,
    evacuated: &mut BTreeSet<DomainName>,
) -> Result<Applied, DecodeError> {
    let order = Order::decode(row)?;
    if let Order::Evacuate(domain) = &order {
        evacuated.insert(domain.clone());
    }
    let now = shared.now();
    Ok(shared.dispatcher().apply(order, row.version, now))
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
    drop(dispatcher);
    waiting::wake_all(shared);
}

fn log_row(rows: &[Row], id: &str) {
    let row = rows.iter().find(|row| row.key == id);
    let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
    log::info!(
        "event=upstream_joined upstream={id} row={}",
        String::from_utf8_lossy(value)
    );
}
