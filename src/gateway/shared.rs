//! What the tasks of one gateway share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    clock::SharedClock,
    coordination::dispatch::{
        Assignment, Dispatcher,
        health::AttemptOutcome,
        peers::{PeerId, Readiness},
    },
    gateway::settings::Settings,
};

/// The state that the tasks of one gateway share.
pub struct Shared {
    /// The settings that the process started with.
    pub settings: Settings,
    /// This daemon.
    pub me: PeerId,
    /// Time.
    pub clock: SharedClock,
    /// Woken when other daemons ought to hear news at once.
    pub urgent_heartbeat: Notify,
    /// Woken when another daemon may know of changes of the table.
    pub newest_peer_version: tokio::sync::watch::Sender<u64>,
    /// The socket for datagrams between daemons.
    pub peer_socket: UdpSocket,
    dispatcher: Mutex<Dispatcher>,
    joined: AtomicBool,
    leaving: AtomicBool,
}

impl Shared {
    /// The state of a gateway that knows nothing yet.
    pub fn new(
        settings: Settings,
        me: PeerId,
        clock: SharedClock,
        seed: u64,
        peer_socket: UdpSocket,
    ) -> Self {
        let dispatcher =
            Dispatcher::new(me.clone(), settings.domain.clone(), settings.limits(), seed);
        Self {
            settings,
            me,
            clock,
            urgent_heartbeat: Notify::new(),
            newest_peer_version: tokio::sync::watch::Sender::new(0),
            peer_socket,
            dispatcher: Mutex::new(dispatcher),
            joined: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// The decisions; the lock is never held across a wait.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The table has been asked about roll-outs under way.
    pub fn set_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// The process is about to stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.urgent_heartbeat.notify_one();
    }

    /// Whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether callers may be sent here.
    pub fn readiness(&self) -> Readiness {
        if self.is_leaving() {
            return Readiness::Leaving;
        }
        let dispatcher = self.dispatcher();
        let known = dispatcher.routes().is_some() && dispatcher.registry.is_loaded();
        match known && self.joined.load(Ordering::Relaxed) {
            true => Readiness::Ready,
            false => Readiness::Starting,
        }
    }

    /// The addresses for callers: this daemon and those that live and are ready.
    pub fn directory(&self) -> Vec<SocketAddr> {
        let own = (self.readiness() == Readiness::Ready).then_some(self.settings.front);
        let dispatcher = self.dispatcher();
        let peers: Vec<SocketAddr> = dispatcher
            .peers
            .ready(self.now())
            .map(|p| p.last_heartbeat.caller_address)
            .collect();
        own.into_iter().chain(peers).collect()
    }
}

/// A place on an upstream, given back when it is dropped.
pub struct SlotGuard {
    shared: Arc<Shared>,
    /// The ticket for the place.
    pub assignment: Assignment,
    outcome: AttemptOutcome,
}

impl SlotGuard {
    /// Holds the place of a ticket.
    pub fn for_assignment(shared: Arc<Shared>, assignment: Assignment) -> Self {
        Self {
            shared,
            assignment,
            outcome: AttemptOutcome::Abandoned,
        }
    }

    /// Notes that the answer has begun.
    pub fn record_response_start(&mut self) {
        let elapsed = self.age();
        self.shared
            .dispatcher()
            .response_started(&mut self.assignment, elapsed);
    }

    /// Notes how the attempt ended.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// The time since the place was taken.
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
    }
}
