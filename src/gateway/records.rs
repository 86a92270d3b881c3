//! The daemons' own records in the table: their addresses and the states of rollouts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use platform::{
    RowVersion, ServiceName, TableEra, VersionName,
    orders::{self, RolloutState},
    table::{Row, Rows, TableClient, TableError, Transaction, TransactionOutcome},
};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::dispatch::{RolloutStatus, rollout::Rollout},
    gateway::{fetch, metrics, shared::Shared, table_clock::TableClock},
};

/// Name of the daemons' own table.
const TABLE: &str = "hibiscusyoke";
const DAEMON_PREFIX: &str = "daemon/";
const ROLLOUT_PREFIX: &str = "rollout/";
/// Timeout of a call to the table.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often rollouts are checked for new decisions and pending writes.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for each daemon to write a decision before the daemon with the next rank does.
const WRITER_RANK_DELAY: Duration = Duration::from_millis(400);
/// Maximum writer rank; all daemons with this or a higher rank write at the same time.
const MAX_WRITER_RANK: u32 = 4;
/// Maximum age of the copy from which the table is restored.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);
/// Time over which the daemons spread their registrations after a restore.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(2);
/// Maximum time that a starting daemon waits for the first heartbeat of a peer.
const MAX_PEER_WAIT: Duration = Duration::from_millis(200);
/// Interval between checks for it.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The address at which a daemon receives heartbeats.
#[derive(Debug, Serialize, Deserialize)]
struct DaemonRecord {
    address: SocketAddr,
}

/// The recorded state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RolloutRecord {
    order: RowVersion,
    state: RolloutState,
    /// When the rollout was ordered, in milliseconds of the table's clock.
    ordered_ms: u64,
}

#[derive(Clone, Debug)]
struct StoredRollout {
    record: RolloutRecord,
    version: RowVersion,
}

/// Registers this daemon and writes rollout decisions to the table until the process exits.
pub async fn run(shared: Arc<Shared>) {
    let mut writer = RecordWriter {
        shared: shared.clone(),
        client: TableClient::open(shared.settings.table, shared.table_era.clone()),
        era: 0,
        registered_in: None,
        registered_at: shared.now(),
        registration_due: None,
        recorded: HashMap::new(),
        pending_since: HashMap::new(),
        clock: None,
    };
    writer.join().await;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        shared.enter_table_era();
        writer.follow_era();
        writer.register_if_due().await;
        writer.write_pending().await;
    }
}

/// A rollout state that should be written to the table.
struct DesiredRecord {
    service: ServiceName,
    order: RowVersion,
    target: VersionName,
    state: RolloutState,
    started: Instant,
}

impl DesiredRecord {
    fn for_rollout(service: &ServiceName, rollout: &Rollout) -> Self {
        Self {
            service: service.clone(),
            order: rollout.order(),
            target: rollout.target.clone(),
            state: rollout.state,
            started: rollout.started,
        }
    }
}

struct RecordWriter {
    shared: Arc<Shared>,
    client: TableClient,
    /// The table's era of the known records.
    era: TableEra,
    /// The table's era in which this daemon was last known to be registered.
    registered_in: Option<TableEra>,
    registered_at: Instant,
    /// When this daemon must register again.
    registration_due: Option<Instant>,
    recorded: HashMap<ServiceName, StoredRollout>,
    /// When each unwritten decision was first seen.
    pending_since: HashMap<ServiceName, Instant>,
    clock: Option<TableClock>,
}

impl RecordWriter {
    /// Registers this daemon in the table and reads the records of the other daemons and of rollouts.
    ///
    /// A daemon registers before the read that it relies on, so that of two daemons that start at the
    /// same time at least one learns of the other. A restarted daemon finds its record.
    async fn join(&mut self) {
        let mut may_be_registered = !self.shared.settings.bootstrap;
        loop {
            if self.registered_in.is_none() && !may_be_registered {
                self.register_daemon().await;
            }
            let is_registered = self.registered_in.is_some();
            if (is_registered || may_be_registered) && self.read_records().await {
                if self.registered_in.is_some() {
                    break;
                }
                may_be_registered = false;
                continue;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.registered_at = self.shared.now();
        self.compare_with_peers().await;
        self.shared.set_joined();
        self.shared.urgent_heartbeat.notify_one();
    }

    /// Waits for a first heartbeat, and takes over a newer configuration that a peer has.
    async fn compare_with_peers(&self) {
        self.shared.urgent_heartbeat.notify_one();
        let wait_until = self.shared.now() + MAX_PEER_WAIT;
        while !self.has_heard_peer() && self.shared.now() < wait_until {
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
        fetch::fetch_newer_generation(&self.shared, 0).await;
    }

    /// Returns whether a peer has sent a heartbeat, or whether there are none.
    fn has_heard_peer(&self) -> bool {
        let now = self.shared.now();
        let dispatcher = self.shared.dispatcher();
        let is_alone = dispatcher.peers.is_empty();
        is_alone || (dispatcher.generation() > 0 && dispatcher.peers.live(now).next().is_some())
    }

    /// Follows the table to its newest era, and schedules another registration if the copy from which the
    /// table was restored may be older than the last one.
    fn follow_era(&mut self) {
        let era = self.shared.table_era.current();
        self.enter_era(era);
        if self.registered_in == Some(era) || self.registration_due.is_some() {
            return;
        }
        let now = self.shared.now();
        if now.saturating_duration_since(self.registered_at) > MAX_COPY_AGE {
            self.registered_in = Some(era);
            return;
        }
        let delay = MAX_REGISTRATION_DELAY.mul_f64(rand::random());
        self.registration_due = Some(now + delay);
    }

    /// Forgets the records of the eras before this one.
    fn enter_era(&mut self, era: TableEra) {
        if self.era < era {
            self.era = era;
            self.recorded.clear();
            self.pending_since.clear();
        }
    }

    /// Registers this daemon again if that is due.
    async fn register_if_due(&mut self) {
        let now = self.shared.now();
        if self.registration_due.take_if(|due| *due <= now).is_none() {
            return;
        }
        let registered = self.register_daemon().await;
        log::info!(
            "event=registered_again era={} registered={registered}",
            self.era
        );
        if !registered {
            self.registration_due = Some(self.shared.now() + RETRY_DELAY);
        }
    }

    async fn register_daemon(&mut self) -> bool {
        let record = DaemonRecord {
            address: self.shared.settings.peer_address(),
        };
        let row = row(DAEMON_PREFIX, &self.shared.me.name, &record);
        let write = Transaction::default().put(TABLE, &row);
        let result = self.client.transact(&write, CALL_TIMEOUT).await;
        record_call("name_daemon", &result);
        match result {
            Ok(TransactionOutcome::Written(version)) => {
                self.registered_in = Some(version.era);
                self.registered_at = self.shared.now();
                true
            }
            Ok(TransactionOutcome::ConditionFailed) | Err(_) => false,
        }
    }

    async fn read_records(&mut self) -> bool {
        let result = self.client.read(TABLE, CALL_TIMEOUT).await;
        record_call("read_records", &result);
        let Ok(rows) = result else { return false };
        self.apply_rows(&rows);
        self.shared.set_knows_peers();
        self.shared.urgent_heartbeat.notify_one();
        true
    }

    fn apply_rows(&mut self, rows: &Rows) {
        let now = self.shared.now();
        self.clock = Some(TableClock::new(rows.now, now));
        self.enter_era(rows.version.era);
        for row in &rows.rows {
            if let Some(name) = row.key.strip_prefix(DAEMON_PREFIX) {
                let record = decode::<DaemonRecord>(row);
                if name == self.shared.me.name {
                    let own = self.shared.settings.peer_address();
                    if record.is_some_and(|record| record.address == own) {
                        self.registered_in = Some(rows.version.era);
                    }
                } else if let Some(record) = record {
                    self.shared
                        .dispatcher()
                        .peers
                        .expect_peer(name.into(), record.address, now);
                }
            } else if let Some(service) = row.key.strip_prefix(ROLLOUT_PREFIX)
                && let Some(record) = decode::<RolloutRecord>(row)
            {
                self.merge_rollout(service.into(), record, row.version, rows.now);
            }
        }
    }

    fn merge_rollout(
        &mut self,
        service: ServiceName,
        record: RolloutRecord,
        version: RowVersion,
        clock: Duration,
    ) {
        let known = RolloutStatus {
            service: service.clone(),
            order: record.order,
            target: None,
            state: record.state,
            elapsed: clock.saturating_sub(Duration::from_millis(record.ordered_ms)),
        };
        self.shared
            .dispatcher()
            .merge_rollout_status(known, self.shared.now());
        self.recorded
            .insert(service, StoredRollout { record, version });
    }

    /// Writes decisions that are not in the table yet.
    async fn write_pending(&mut self) {
        let now = self.shared.now();
        let decided = self.shared.dispatcher().decide_rollouts(now);
        for (service, state) in &decided {
            let evidence = self.shared.dispatcher().rollout_evidence(service);
            log::info!("event=rollout_decided service={service} state={state} {evidence}");
            self.shared.urgent_heartbeat.notify_one();
        }
        let desired: Vec<DesiredRecord> = {
            let dispatcher = self.shared.dispatcher();
            let unrecorded = |r: &Rollout| r.recorded != Some(r.state);
            let rollouts = dispatcher.rollouts().filter(|(_, r)| unrecorded(r));
            rollouts
                .map(|(name, r)| DesiredRecord::for_rollout(name, r))
                .collect()
        };
        let is_desired = |service: &ServiceName| desired.iter().any(|w| w.service == *service);
        self.pending_since.retain(|service, _| is_desired(service));
        for desired in &desired {
            if let Some(state) = self.recorded_state(desired) {
                self.mark_recorded(desired, state);
                continue;
            }
            let since = *self
                .pending_since
                .entry(desired.service.clone())
                .or_insert(now);
            let rank = self
                .shared
                .dispatcher()
                .writer_rank(now)
                .min(MAX_WRITER_RANK);
            if now.saturating_duration_since(since) >= WRITER_RANK_DELAY * rank {
                self.write(desired).await;
            }
        }
    }

    /// Marks a state as recorded, which makes a decision final, and notifies the other daemons that
    /// they need not write it.
    fn mark_recorded(&self, desired: &DesiredRecord, state: RolloutState) {
        let service = &desired.service;
        if state != desired.state {
            log::warn!(
                "event=rollout_overruled service={service} decided={} recorded={state}",
                desired.state
            );
        }
        self.shared
            .dispatcher()
            .set_recorded_state(service, desired.order, state);
        self.shared.urgent_heartbeat.notify_one();
    }

    /// Returns the state in the table if nothing is to be written over it.
    fn recorded_state(&self, desired: &DesiredRecord) -> Option<RolloutState> {
        let record = &self.recorded.get(&desired.service)?.record;
        // A later order has replaced this one.
        if record.order > desired.order {
            return Some(desired.state);
        }
        let is_final = record.state.is_decided() || record.state == desired.state;
        (record.order == desired.order && is_final).then_some(record.state)
    }

    async fn write(&mut self, desired: &DesiredRecord) {
        let DesiredRecord {
            service,
            order,
            target,
            state,
            started,
        } = desired;
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
        let rollout_row = row(ROLLOUT_PREFIX, service, &record);
        let known = self
            .recorded
            .get(service)
            .map_or(RowVersion::default(), |recorded| recorded.version);
        let write = Transaction::default()
            .expect(TABLE, &rollout_row.key, known)
            .put(TABLE, &rollout_row)
            .put(
                orders::STATUS_TABLE,
                &orders::rollout_status_row(service, target, state),
            );
        let result = self.client.transact(&write, CALL_TIMEOUT).await;
        record_call("write_rollout", &result);
        match result {
            Ok(TransactionOutcome::Written(version)) => {
                log::info!(
                    "event=rollout_recorded service={service} target={target} state={state} version={version}"
                );
                self.recorded
                    .insert(service.clone(), StoredRollout { record, version });
                self.mark_recorded(desired, state);
            }
            // Another daemon wrote first, or the response to an earlier write was lost: re-read the
            // table.
            Ok(TransactionOutcome::ConditionFailed) => {
                self.read_records().await;
            }
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                self.read_records().await;
            }
        }
    }

    /// Estimates the table's current clock; zero before the first reading.
    fn table_clock(&self) -> Duration {
        let now = self.shared.now();
        self.clock.map_or(Duration::ZERO, |clock| clock.at(now))
    }
}

fn row(prefix: &str, name: &str, record: &impl Serialize) -> Row {
    let value = serde_json::to_vec(record).expect("serializing a plain struct cannot fail");
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

fn record_call<T>(call: &str, result: &Result<T, TableError>) {
    match result {
        Ok(_) => metrics::table_call(call, "ok"),
        Err(e) => {
            metrics::table_call(call, "failed");
            log::warn!("event=table_call_failed call={call} {e}");
        }
    }
}
