//! The daemon that routes callers' requests to upstreams on the users' platform.
//!
//! One process runs on each instance. It accepts requests, selects an upstream for each with
//! [`crate::coordination::dispatch`] and forwards the response to the caller as it arrives.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{
    FutureExt,
    future::{BoxFuture, OptionFuture},
};
use thiserror::Error;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    clock::SharedClock,
    coordination::dispatch::heartbeat::PeerId,
    gateway::{
        follow::follow, followed_table::FollowedTable, forward::Origin, progress::FollowChange,
        settings::Settings, shared::Shared,
    },
    supervise::Supervisor,
};

mod answer;
pub mod attempt;
pub mod call;
pub mod datagram;
pub mod delegate;
pub mod drain;
pub mod events;
pub mod explain;
pub mod fetch;
pub mod follow;
pub mod followed_table;
pub mod forward;
pub mod hedge;
pub mod listener;
pub mod logging;
pub mod metrics;
mod outcome;
pub mod packing;
pub mod peer_changes;
pub mod peer_link;
pub mod probe;
pub mod progress;
mod read_limit;
mod recording;
pub mod records;
pub mod relay;
pub mod reply;
mod resume;
pub mod retry_permit;
pub mod send_budget;
pub mod send_buffer;
pub mod settings;
pub mod shared;
pub mod table_clock;
pub mod table_link;
pub mod table_service;
pub mod target;
pub mod waiting;

/// Maximum number of connections that wait to be accepted by a listener that is not for callers.
const INTERNAL_BACKLOG: u32 = 256;
/// Interval between removals of expired state.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// How long new requests are accepted after a shutdown request, until cached directory responses
/// have expired. A stream that starts later might not finish within the grace period.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2_800);
/// Interval between checks whether a daemon that drains may stop accepting requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the grace period reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Error when the gateway cannot bind one of its addresses.
#[derive(Debug, Error)]
#[error("step=listen address={address} error=\"{source}\"")]
pub struct StartError {
    address: SocketAddr,
    source: io::Error,
}

/// A running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    /// Serves the requests of callers and of other daemons.
    request_servers: JoinHandle<()>,
}

impl Gateway {
    /// Binds all addresses and starts all tasks.
    pub async fn spawn(settings: Settings, clock: SharedClock) -> Result<Self, StartError> {
        let me = PeerId {
            name: settings.name.clone(),
            incarnation: incarnation(&clock),
        };
        let seed = rand::random();
        log::info!(
            "event=start name={} incarnation={}",
            me.name,
            me.incarnation
        );
        let address = settings.peer_address();
        let socket = peer_link::bind(address)
            .await
            .map_err(|source| StartError { address, source })?;
        let shared = Arc::new(Shared::new(settings, me, clock, seed, socket));
        let settings = &shared.settings;
        let backlog = settings.budgets().backlog;
        let bind = |address, backlog| {
            listener::bind(address, backlog).map_err(|source| StartError { address, source })
        };
        let listen = |address| bind(address, backlog.min(INTERNAL_BACKLOG));
        let front = bind(settings.front, backlog)?;
        let tasks = Supervisor::new(&shared.clock);
        let control = [Some(settings.ready), settings.directory, settings.metrics];
        for address in control.into_iter().flatten() {
            let listener = Arc::new(listen(address)?);
            let state = (shared.clone(), listener);
            tasks.spawn("serve_control", state, |(shared, listener)| {
                listener::serve_control(shared, listener)
            });
        }
        let state = (shared.clone(), Arc::new(listen(address)?));
        tasks.spawn("serve_peers", state, |(shared, listener)| {
            table_service::serve(shared, listener)
        });
        for table in [FollowedTable::Orders, FollowedTable::Upstreams] {
            let name = table.follower_name();
            tasks.spawn(name, shared.clone(), move |shared| follow(shared, table));
        }
        let spawn = |name, task: fn(Arc<Shared>) -> BoxFuture<'static, ()>| {
            tasks.spawn(name, shared.clone(), task);
        };
        spawn("receive_datagrams", |s| peer_link::receive(s).boxed());
        spawn("send_heartbeats", |s| peer_link::send_heartbeats(s).boxed());
        spawn("send_loads", |s| peer_link::send_loads(s).boxed());
        spawn("write_records", |s| records::run(s).boxed());
        spawn("probe_upstreams", |s| probe::run(s).boxed());
        spawn("tick", |s| tick(s).boxed());
        let stop = watch::Sender::new(false);
        let delegation = shared
            .settings
            .delegation_address()
            .map(listen)
            .transpose()?;
        let serve = |origin, listener| {
            let stop = stop.subscribe();
            listener::serve_requests(shared.clone(), origin, listener, stop)
        };
        let callers = serve(Origin::Caller, front);
        let peers = OptionFuture::from(delegation.map(|listener| serve(Origin::Peer, listener)));
        let request_servers = async move {
            futures::join!(callers, peers);
        };
        Ok(Self {
            request_servers: tokio::spawn(request_servers),
            shared,
            stop,
        })
    }

    /// Applies the limits of new settings; changed addresses take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        let limits = settings.limits();
        self.shared.dispatcher().set_limits(limits);
        log::info!(
            "event=reload repeat_ratio={} repeat_slack={} session_ms={}",
            limits.retries.ratio,
            limits.retries.slack,
            limits.session_timeout.as_millis()
        );
    }

    /// Leaves the directory, keeps accepting requests until callers have had time to notice, and then
    /// completes the requests in flight within the grace period.
    pub async fn shutdown(self) {
        let grace = self.shared.settings.grace_period();
        let deadline = self.shared.now() + grace.saturating_sub(EXIT_RESERVE);
        log::info!("event=stop grace_ms={}", grace.as_millis());
        self.shared.drain.announce(deadline);
        self.shared.set_leaving();
        tokio::time::sleep(SHUTDOWN_DELAY.min(grace / 2)).await;
        self.drain_without_successor(deadline).await;
        self.shared.stop_accepting();
        self.stop.send_replace(true);
        let time_left = deadline.saturating_duration_since(self.shared.now());
        match tokio::time::timeout(time_left, self.request_servers).await {
            Ok(_) => log::info!("event=stopped"),
            Err(_) => log::warn!("event=stopped requests_cut=true"),
        }
    }

    /// Accepts requests that end before the deadline while no other daemon is ready and earlier
    /// requests keep this one running.
    async fn drain_without_successor(&self, deadline: Instant) {
        let earlier = self.shared.drain.begin();
        let is_needed = || {
            let now = self.shared.now();
            now < deadline && !self.shared.has_ready_peer(now) && !earlier.has_ended()
        };
        while is_needed() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut last_tick = shared.now();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = shared.now();
        report_progress(&shared);
        report_crashes(&shared);
        probe::report_changes(&shared);
        for presumed in shared.dispatcher().take_presumed_cold() {
            log::info!("event=upstream_presumed_cold {presumed}");
        }
        for id in shared.dispatcher().tick(now) {
            log::info!("event=upstream_left upstream={id} why=lapsed");
        }
        if let Some(pause) = shared.dispatcher().take_pause() {
            log::warn!("event=paused ms={}", pause.as_millis());
        }
        close_late_heads(&shared, last_tick);
        last_tick = now;
        if shared.dispatcher().needs_probes(now) {
            shared.connection_lost.notify_one();
        }
    }
}

/// Closes connections whose request heads do not end in time.
fn close_late_heads(shared: &Shared, last_tick: Instant) {
    let was_paused = shared.now().saturating_duration_since(last_tick) > TICK_INTERVAL * 2;
    let routes = shared.dispatcher().routes();
    let timeout = routes.map(|routes| routes.configuration().limits.head_timeout);
    for origin in [Origin::Caller, Origin::Peer] {
        let connections = shared.connections(origin);
        if was_paused {
            connections.resume();
        }
        if let Some(timeout) = timeout {
            connections.close_late_heads(timeout);
        }
    }
}

/// Logs whether the tables are followed, and tells the other daemons not to rely on this one while they are not.
fn report_progress(shared: &Shared) {
    let now = shared.now();
    match shared.follow_progress.check(now) {
        Some(change @ FollowChange::Stalled(..)) => log::error!("{change}"),
        Some(change @ FollowChange::Resumed) => log::info!("{change}"),
        None => {}
    }
    if shared.follow_progress.is_stalled() {
        shared.dispatcher().table_lost(now);
    }
}

/// Logs the crashes of upstreams that were counted, and tells the other daemons at once.
fn report_crashes(shared: &Shared) {
    let (findings, refused) = {
        let poison = &mut shared.dispatcher().poison;
        (poison.take_findings(), poison.take_newly_refused())
    };
    for finding in &findings {
        log::warn!("event=upstream_crashed {finding}");
    }
    for suspect in refused {
        log::warn!("event=poison_found {suspect}");
    }
    if !findings.is_empty() {
        shared.urgent_heartbeat.notify_one();
    }
}

/// Returns a number that increases with each start, unless the system clock was set back.
fn incarnation(clock: &SharedClock) -> u64 {
    let since_epoch = clock.wall().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}
