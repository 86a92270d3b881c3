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
    pub news: Notify,
    /// Woken when another daemon may know of changes of the table.
    pub heard: tokio::sync::watch::Sender<u64>,
    /// The socket for datagrams between daemons.
    pub peer_socket: UdpSocket,
    core: Mutex<Dispatcher>,
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
        let core = Dispatcher::new(me.clone(), settings.domain.clone(), settings.limits(), seed);
        Self {
            settings,
            me,
            clock,
            news: Notify::new(),
            heard: tokio::sync::watch::Sender::new(0),
            peer_socket,
            core: Mutex::new(core),
            joined: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// The decisions; the lock is never held across a wait.
    pub fn core(&self) -> MutexGuard<'_, Dispatcher> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.news.notify_one();
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
        let core = self.core();
        let known = core.routes().is_some() && core.registry.is_loaded();
        match known && self.joined.load(Ordering::Relaxed) {
            true => Readiness::Ready,
            false => Readiness::Starting,
        }
    }

    /// The addresses for callers: this daemon and those that live and are ready.
    pub fn directory(&self) -> Vec<SocketAddr> {
        let own = (self.readiness() == Readiness::Ready).then_some(self.settings.front);
        let core = self.core();
        let peers: Vec<SocketAddr> = core
            .peers
            .ready(self.now())
            .map(|p| p.last_heartbeat.caller_address)
            .collect();
        own.into_iter().chain(peers).collect()
    }
}

/// A place on an upstream, given back when it is dropped.
pub struct Place {
    shared: Arc<Shared>,
    /// The ticket for the place.
    pub ticket: Assignment,
    ended: AttemptOutcome,
}

impl Place {
    /// Holds the place of a ticket.
    pub fn hold(shared: Arc<Shared>, ticket: Assignment) -> Self {
        Self {
            shared,
            ticket,
            ended: AttemptOutcome::Abandoned,
        }
    }

    /// Notes that the answer has begun.
    pub fn begun(&mut self) {
        let took = self.age();
        self.shared.core().response_started(&mut self.ticket, took);
    }

    /// Notes how the attempt ended.
    pub fn ended(&mut self, ended: AttemptOutcome) {
        self.ended = ended;
    }

    /// The time since the place was taken.
    pub fn age(&self) -> Duration {
        self.ticket.age(self.shared.now())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.core().release(&self.ticket, self.ended, now);
    }
}
