//! State shared by the tasks of one gateway.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::body::Incoming;
use platform::{EraTracker, RowVersion};
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};

use crate::{
    clock::SharedClock,
    coordination::dispatch::{
        Assignment, Dispatcher,
        health::AttemptOutcome,
        heartbeat::{PeerId, Readiness},
    },
    gateway::{
        drain::Drain,
        forward::Origin,
        progress::FollowProgress,
        send_buffer::SendBuffers,
        settings::Settings,
        waiting::{self, Waiters},
    },
    transport::{
        body_memory::{BodyError, BodyMemory, HeldBody},
        caller_connections::CallerConnections,
    },
};

/// Time after its start in which a daemon lets requests wait for the tables, which it usually learns
/// from a peer at once.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// Maximum size in bytes of a response body that is read as a whole.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// State shared by the tasks of one gateway.
pub struct Shared {
    /// The settings that the process started with.
    pub settings: Settings,
    /// Name and incarnation of this daemon.
    pub me: PeerId,
    /// The source of monotonic and wall-clock time.
    pub clock: SharedClock,
    /// Notified when a heartbeat should be sent without waiting for the next period.
    pub urgent_heartbeat: Notify,
    /// Notified when a connection to an upstream was lost.
    pub connection_lost: Notify,
    /// Newest table version reported by any peer; listening followers wake when it increases.
    pub newest_peer_version: watch::Sender<RowVersion>,
    /// The table's newest known era.
    pub table_era: EraTracker,
    /// What is accepted and waited for during shutdown.
    pub drain: Drain,
    /// Memory for the bodies of requests.
    pub request_bodies: Arc<BodyMemory>,
    /// Memory for response bodies that are read as a whole.
    pub response_bodies: Arc<BodyMemory>,
    /// Connections of callers.
    callers: Arc<CallerConnections>,
    /// Connections of other daemons that delegate requests.
    delegators: Arc<CallerConnections>,
    /// Connections to the directory, the readiness check and the metrics.
    pub control_connections: Arc<CallerConnections>,
    /// Connections of peers that ask for changes.
    pub peer_connections: Arc<CallerConnections>,
    /// The events that are held for callers.
    pub send_buffers: Arc<SendBuffers>,
    /// The requests that wait for an upstream with room.
    pub waiters: Waiters,
    /// Whether the tables are followed.
    pub follow_progress: FollowProgress,
    /// The socket for datagrams between daemons.
    pub peer_socket: UdpSocket,
    dispatcher: Mutex<Dispatcher>,
    started_at: Instant,
    /// Whether this daemon has a configuration and a list of upstreams.
    has_tables: watch::Sender<bool>,
    knows_peers: AtomicBool,
    joined: AtomicBool,
    leaving: AtomicBool,
    /// Whether callers can connect to this daemon.
    accepting: AtomicBool,
}

impl Shared {
    /// Creates the state of a gateway at startup.
    pub fn new(
        settings: Settings,
        me: PeerId,
        clock: SharedClock,
        seed: u64,
        peer_socket: UdpSocket,
    ) -> Self {
        let mut dispatcher =
            Dispatcher::new(me.clone(), settings.domain.clone(), settings.limits(), seed);
        dispatcher.set_link_mbps(settings.whole_link_mbps());
        let budgets = settings.budgets();
        log::info!("event=budgets {budgets}");
        let send_buffers = SendBuffers::new(budgets.send_buffer_bytes, clock.clone());
        let bodies = |limit| Arc::new(BodyMemory::new(limit, clock.clone()));
        let connections = |limit| Arc::new(CallerConnections::new(limit, clock.clone()));
        dispatcher.set_may_delegate(settings.delegation_address().is_some());
        let follow_progress = FollowProgress::new(clock.now());
        Self {
            started_at: clock.now(),
            has_tables: watch::Sender::new(false),
            settings,
            me,
            clock: clock.clone(),
            urgent_heartbeat: Notify::new(),
            connection_lost: Notify::new(),
            newest_peer_version: watch::Sender::new(RowVersion::default()),
            table_era: EraTracker::default(),
            drain: Drain::default(),
            request_bodies: bodies(budgets.request_bytes),
            response_bodies: bodies(budgets.response_bytes),
            callers: connections(budgets.callers),
            delegators: connections(budgets.delegators),
            control_connections: connections(budgets.control),
            peer_connections: connections(budgets.peers),
            send_buffers: Arc::new(send_buffers),
            waiters: Waiters::default(),
            follow_progress,
            peer_socket,
            dispatcher: Mutex::new(dispatcher),
            knows_peers: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            accepting: AtomicBool::new(true),
        }
    }

    /// Reads the body of a response as a whole.
    pub async fn read_response(&self, body: Incoming) -> Result<HeldBody, BodyError> {
        self.response_bodies.read(body, MAX_RESPONSE_BYTES).await
    }

    /// Returns the connections of callers or of other daemons.
    pub fn connections(&self, origin: Origin) -> &Arc<CallerConnections> {
        match origin {
            Origin::Caller => &self.callers,
            Origin::Peer => &self.delegators,
        }
    }

    /// Records that this daemon has read the list of its peers.
    pub fn set_knows_peers(&self) {
        self.knows_peers.store(true, Ordering::Relaxed);
        // No daemon has taken a retry before the fleet's first start.
        let delay = match self.settings.bootstrap {
            true => Duration::ZERO,
            false => self.settings.limits().retries.window,
        };
        self.dispatcher().set_slack_from(self.started_at + delay);
    }

    /// Returns whether this daemon has read the list of its peers.
    pub fn knows_peers(&self) -> bool {
        self.knows_peers.load(Ordering::Relaxed)
    }

    /// Locks the dispatcher; the lock must not be held across an await.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Records whether the rows read so far contain a configuration and a list of upstreams.
    pub fn update_has_tables(&self) {
        let has_tables = {
            let dispatcher = self.dispatcher();
            dispatcher.routes().is_some() && dispatcher.registry.is_loaded()
        };
        if has_tables {
            self.has_tables.send_replace(true);
        }
    }

    /// Waits until the tables are known if this daemon has just started.
    ///
    /// Load pattern: all daemons restart at once, and callers connect as soon as they listen. Waiting
    /// for some 100 ms is better for them than a refusal.
    pub async fn await_tables(&self) {
        if *self.has_tables.borrow() {
            return;
        }
        let age = self.now().saturating_duration_since(self.started_at);
        let time_left = STARTUP_TIME.saturating_sub(age);
        let mut has_tables = self.has_tables.subscribe();
        // The request is refused if they are still unknown.
        let _ = tokio::time::timeout(time_left, has_tables.wait_for(|known| *known)).await;
    }

    /// Passes the table's newest known era to the dispatcher.
    pub fn enter_table_era(&self) {
        let era = self.table_era.current();
        if self.dispatcher().enter_era(era, self.now()) {
            log::warn!("event=table_restored era={era}");
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Records that this daemon is registered and has read the state of current rollouts.
    pub fn set_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Records that the process is shutting down.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.urgent_heartbeat.notify_one();
    }

    /// Records that callers can no longer connect to this daemon.
    pub fn stop_accepting(&self) {
        self.accepting.store(false, Ordering::Relaxed);
    }

    /// Whether callers can connect to this daemon.
    fn is_accepting(&self) -> bool {
        self.accepting.load(Ordering::Relaxed)
    }

    /// Whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether another daemon is ready for callers.
    pub fn has_ready_peer(&self, now: Instant) -> bool {
        self.dispatcher().peers.ready(now).next().is_some()
    }

    /// Returns whether this daemon is ready for callers.
    pub fn readiness(&self) -> Readiness {
        if self.is_leaving() || !self.is_accepting() {
            return Readiness::Leaving;
        }
        let has_tables = *self.has_tables.borrow();
        let follows = !self.follow_progress.is_stalled();
        match has_tables && follows && self.joined.load(Ordering::Relaxed) {
            true => Readiness::Ready,
            false => Readiness::Starting,
        }
    }

    /// Returns the caller addresses of all live and ready daemons, including this one.
    ///
    /// If there are none because all daemons are shutting down at the same time, or no longer follow the tables,
    /// it returns the address of this daemon as long as callers can connect to it.
    pub fn directory(&self) -> Vec<SocketAddr> {
        let own = (self.readiness() == Readiness::Ready).then_some(self.settings.front);
        let dispatcher = self.dispatcher();
        let peers: Vec<SocketAddr> = dispatcher
            .peers
            .ready(self.now())
            .map(|p| p.last_heartbeat.caller_address)
            .collect();
        let ready: Vec<SocketAddr> = own.into_iter().chain(peers).collect();
        match ready.is_empty()
            && (self.is_leaving() || self.follow_progress.is_stalled())
            && self.is_accepting()
        {
            true => vec![self.settings.front],
            false => ready,
        }
    }
}

/// A reserved slot on an upstream, released when dropped.
pub struct SlotGuard {
    shared: Arc<Shared>,
    /// The assignment that reserves the slot.
    pub assignment: Box<Assignment>,
    outcome: AttemptOutcome,
}

impl SlotGuard {
    /// Holds the slot of an assignment.
    pub fn for_assignment(shared: Arc<Shared>, assignment: Box<Assignment>) -> Self {
        Self {
            shared,
            assignment,
            outcome: AttemptOutcome::Abandoned,
        }
    }

    /// Records that the response has started.
    pub fn record_response_start(&mut self) {
        let elapsed = self.age();
        self.shared
            .dispatcher()
            .response_started(&mut self.assignment, elapsed);
    }

    /// Sets the outcome that is reported when the slot is released.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// Returns the time since the slot was reserved.
    pub fn age(&self) -> Duration {
        self.assignment.age(self.shared.now())
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .dispatcher()
            .release(&self.assignment, self.outcome, now);
        waiting::wake(&self.shared, &self.assignment.service);
        if self.outcome.is_lost_connection() {
            self.shared.connection_lost.notify_one();
        }
    }
}
