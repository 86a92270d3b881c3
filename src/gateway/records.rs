//! What daemons keep in the table: where each is, and how far roll-outs are.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use platform::{
    RowVersion, ServiceName, VersionName,
    orders::{self, RolloutState},
    table::{Decided, Row, Rows, TableClient, TableError, Transaction},
};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::dispatch::{RolloutStatus, rollout::Rollout},
    gateway::{metrics, shared::Shared},
};

/// The daemons' own table.
const TABLE: &str = "hibiscusyoke";
const DAEMON_PREFIX: &str = "daemon/";
const ROLLOUT_PREFIX: &str = "rollout/";
/// The time in which the table must answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often decisions about roll-outs are looked at.
const PERIOD: Duration = Duration::from_millis(200);
/// How long each daemon has to write a decision before the next one does.
const TURN_TIME: Duration = Duration::from_millis(400);
/// The turn at which all daemons that are left write it.
const LAST_TURN: u32 = 4;
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

/// Where a daemon hears heartbeats.
#[derive(Debug, Serialize, Deserialize)]
struct DaemonRecord {
    address: SocketAddr,
}

/// How far a roll-out is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RolloutRecord {
    order: RowVersion,
    state: RolloutState,
    /// The table's clock at which it was ordered, in milliseconds.
    ordered_ms: u64,
}

#[derive(Clone, Debug)]
struct Recorded {
    record: RolloutRecord,
    version: RowVersion,
}

/// Keeps this daemon's records in the table, for as long as the process lives.
pub async fn keep(shared: Arc<Shared>) {
    let mut keeper = Keeper {
        client: TableClient::open(shared.settings.table),
        recorded: HashMap::new(),
        due: HashMap::new(),
        clock: None,
        shared,
    };
    keeper.join().await;
    loop {
        tokio::time::sleep(PERIOD).await;
        keeper.write_due().await;
    }
}

/// A state of a roll-out that the table ought to have.
struct Wanted {
    service: ServiceName,
    order: RowVersion,
    target: VersionName,
    state: RolloutState,
    started: Instant,
}

impl Wanted {
    fn of(service: &ServiceName, rollout: &Rollout) -> Self {
        Self {
            service: service.clone(),
            order: rollout.order,
            target: rollout.target.clone(),
            state: rollout.state,
            started: rollout.started,
        }
    }
}

struct Keeper {
    shared: Arc<Shared>,
    client: TableClient,
    recorded: HashMap<ServiceName, Recorded>,
    /// Since when a decision awaits being written.
    due: HashMap<ServiceName, Instant>,
    /// The table's clock, and when it was read.
    clock: Option<(Duration, Instant)>,
}

impl Keeper {
    /// Names this daemon in the table and learns of the others and of roll-outs.
    async fn join(&mut self) {
        let mut named = false;
        loop {
            if !named {
                named = self.name_daemon().await;
            }
            if named && self.read_records().await {
                self.shared.set_joined();
                self.shared.news.notify_one();
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn name_daemon(&mut self) -> bool {
        let record = DaemonRecord {
            address: self.shared.settings.peer_address(),
        };
        let row = row(DAEMON_PREFIX, &self.shared.me.name, &record);
        let write = Transaction::default().put(TABLE, &row);
        let result = self.client.transact(&write, CALL_TIMEOUT).await;
        note("name_daemon", &result);
        result.is_ok()
    }

    async fn read_records(&mut self) -> bool {
        let result = self.client.read(TABLE, CALL_TIMEOUT).await;
        note("read_records", &result);
        let Ok(rows) = result else { return false };
        self.take(&rows);
        true
    }

    fn take(&mut self, rows: &Rows) {
        let now = self.shared.now();
        self.clock = Some((rows.now, now));
        for row in &rows.rows {
            if let Some(name) = row.key.strip_prefix(DAEMON_PREFIX) {
                if let Some(record) = decode::<DaemonRecord>(row)
                    && name != self.shared.me.name
                {
                    self.shared
                        .core()
                        .peers
                        .expect_peer(name.into(), record.address, now);
                }
            } else if let Some(service) = row.key.strip_prefix(ROLLOUT_PREFIX)
                && let Some(record) = decode::<RolloutRecord>(row)
            {
                self.learn(service.into(), record, row.version, rows.now);
            }
        }
    }

    fn learn(
        &mut self,
        service: ServiceName,
        record: RolloutRecord,
        version: RowVersion,
        clock: Duration,
    ) {
        let known = RolloutStatus {
            service: service.clone(),
            order: record.order,
            state: record.state,
            elapsed: clock.saturating_sub(Duration::from_millis(record.ordered_ms)),
        };
        self.shared
            .core()
            .merge_rollout_status(known, self.shared.now());
        self.recorded.insert(service, Recorded { record, version });
    }

    /// Writes decisions that the table does not have yet.
    async fn write_due(&mut self) {
        let now = self.shared.now();
        let decided = self.shared.core().decide_rollouts(now);
        for (service, state) in &decided {
            let evidence = self.shared.core().rollout_evidence(service);
            log::info!("event=rollout_decided service={service} state={state} {evidence}");
            self.shared.news.notify_one();
        }
        let wanted: Vec<Wanted> = {
            let core = self.shared.core();
            let unrecorded = |r: &Rollout| r.recorded != Some(r.state);
            let rollouts = core.rollouts().filter(|(_, r)| unrecorded(r));
            rollouts.map(|(name, r)| Wanted::of(name, r)).collect()
        };
        let is_wanted = |service: &ServiceName| wanted.iter().any(|w| w.service == *service);
        self.due.retain(|service, _| is_wanted(service));
        for wanted in &wanted {
            if self.has(wanted) {
                self.note_recorded(wanted);
                continue;
            }
            let since = *self.due.entry(wanted.service.clone()).or_insert(now);
            let turn = self.shared.core().writer_rank(now).min(LAST_TURN);
            if now.saturating_duration_since(since) >= TURN_TIME * turn {
                self.write(wanted).await;
            }
        }
    }

    /// Lets the other daemons know that they need not write it.
    fn note_recorded(&self, wanted: &Wanted) {
        let Wanted {
            service,
            order,
            state,
            ..
        } = wanted;
        self.shared
            .core()
            .set_recorded_state(service, *order, *state);
        self.shared.news.notify_one();
    }

    fn has(&self, wanted: &Wanted) -> bool {
        self.recorded.get(&wanted.service).is_some_and(|recorded| {
            let record = &recorded.record;
            let decided = record.state != RolloutState::Running;
            record.order > wanted.order
                || (record.order == wanted.order && (decided || record.state == wanted.state))
        })
    }

    async fn write(&mut self, wanted: &Wanted) {
        let Wanted {
            service,
            order,
            target,
            state,
            started,
        } = wanted;
        let (order, state) = (*order, *state);
        let age = self.shared.now().saturating_duration_since(*started);
        let record = RolloutRecord {
            order,
            state,
            ordered_ms: self
                .table_clock()
                .saturating_sub(age)
                .as_millis()
                .try_into()
                .unwrap_or(u64::MAX),
        };
        let own = row(ROLLOUT_PREFIX, service, &record);
        let known = self
            .recorded
            .get(service)
            .map_or(0, |recorded| recorded.version);
        let write = Transaction::default()
            .expect(TABLE, &own.key, known)
            .put(TABLE, &own)
            .put(
                orders::STATUS_TABLE,
                &orders::rollout_status(service, target, state),
            );
        let result = self.client.transact(&write, CALL_TIMEOUT).await;
        note("write_rollout", &result);
        match result {
            Ok(Decided::Written(version)) => {
                log::info!(
                    "event=rollout_recorded service={service} target={target} state={state} version={version}"
                );
                self.recorded
                    .insert(service.clone(), Recorded { record, version });
                self.note_recorded(wanted);
            }
            // Another daemon wrote first, or the answer was lost: the table knows.
            Ok(Decided::Refused) => {
                self.read_records().await;
            }
            Err(_) => {
                tokio::time::sleep(PAUSE).await;
                self.read_records().await;
            }
        }
    }

    /// The table's clock now, as far as it is known.
    fn table_clock(&self) -> Duration {
        self.clock.map_or(Duration::ZERO, |(clock, read)| {
            clock + self.shared.now().saturating_duration_since(read)
        })
    }
}

fn row(prefix: &str, name: &str, record: &impl Serialize) -> Row {
    let value = serde_json::to_vec(record).expect("a plain struct always encodes");
    Row::new(format!("{prefix}{name}"), value)
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    let value = row.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!("event=record_unreadable key={} error=\"{e}\"", row.key);
            None
        }
    }
}

fn note<T>(call: &str, result: &Result<T, TableError>) {
    match result {
        Ok(_) => metrics::table_call(call, "ok"),
        Err(e) => {
            metrics::table_call(call, "failed");
            log::warn!("event=table_call_failed call={call} {e}");
        }
    }
}
