//! Heartbeats between daemons, and which peers count as live.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use platform::{DomainName, RowVersion, TableEra, orders::RolloutState};
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{announcements::LeavingReport, evidence::Evidence};

/// Minimum time between a daemon's heartbeats.
const MIN_PERIOD: Duration = Duration::from_millis(250);
/// Time between heartbeats per daemon in the fleet, which bounds a daemon's traffic.
const PERIOD_PER_DAEMON: Duration = Duration::from_millis(12);
/// Time per daemon over which the fleet spreads its reactions to an event.
const SPREAD_PER_DAEMON: Duration = Duration::from_millis(2);
/// Maximum time over which the fleet spreads its reactions to an event.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Minimum time for which a daemon counts as live after its last heartbeat.
const MIN_SILENCE: Duration = Duration::from_millis(1_800);
/// Number of missed heartbeats after which a daemon counts as crashed.
const MAX_MISSED_HEARTBEATS: f64 = 3.5;
/// Number of missed heartbeats after which another daemon polls the table instead.
const MAX_MISSED_BY_POLLER: f64 = 2.5;
/// Minimum time before another daemon polls the table instead.
const MIN_POLLER_SILENCE: Duration = Duration::from_secs(1);
/// How long a silent daemon keeps its share of fleet-wide limits.
const SHARE_RETENTION: Duration = Duration::from_secs(20);

/// Name of a daemon's instance.
pub type DaemonName = CompactString;

/// Identifies one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId {
    /// The instance that it runs on.
    pub name: DaemonName,
    /// Identifies the start of the process.
    pub incarnation: u64,
}

/// Whether a daemon accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It has no configuration yet.
    Starting,
    /// It accepts callers.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// A daemon's connectivity to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableState {
    /// It does not poll the table.
    NotPolled,
    /// The table answers it.
    Reachable,
    /// The table did not answer recently.
    Lost,
}

/// One daemon's load on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Outstanding requests of the daemon.
    pub running: u32,
    /// Prefill time of the daemon's overdue prompts in milliseconds.
    pub overdue_ms: u32,
    /// Time in milliseconds until all prompts are processed; 0 if the daemon does not know it.
    pub backlog_ms: u32,
    /// Whether the daemon could not connect to it recently.
    pub unreachable: bool,
}

/// One daemon's view of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: CompactString,
    /// Row version of the order.
    pub order: RowVersion,
    /// State of the rollout.
    pub state: RolloutState,
    /// State recorded in the table in its current era, if known.
    pub recorded: Option<RolloutState>,
    /// Time since it was ordered.
    pub elapsed: Duration,
    /// Evidence collected by the daemon itself.
    pub evidence: Evidence,
    /// Sessions that stay on the old version.
    pub sticky_sessions: Vec<u64>,
}

/// Sent by each daemon to the others several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: PeerId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it accepts callers.
    pub readiness: Readiness,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its connectivity to the table.
    pub table: TableState,
    /// Generation of its configuration; 0 if it has none.
    pub generation: u64,
    /// Newest era of the table that it knows.
    pub table_era: TableEra,
    /// Newest row version of the operators' table that it has seen.
    pub newest_order_version: RowVersion,
    /// Newest row version of the upstreams' table that it has seen.
    pub newest_upstream_version: RowVersion,
    /// Its load on upstreams.
    pub loads: Vec<LoadReport>,
    /// Its view of the rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Fingerprints of requests that crashed upstreams, with counts.
    pub crashes: Vec<CrashCount>,
    /// Upstreams that have announced to it, or to a daemon that it heard, that they leave.
    pub leaving: Vec<LeavingReport>,
}

/// How often one daemon saw a request crash an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// Number of crashes.
    pub count: u32,
}

/// Another daemon, with the state from its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last heartbeat.
    pub last_heartbeat: Heartbeat,
    /// Source address of its datagrams.
    pub address: SocketAddr,
    received_at: Instant,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<DaemonName, Peer>,
    /// Daemons that are listed in the table but have not sent a heartbeat.
    expected: BTreeMap<DaemonName, ExpectedPeer>,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedPeer {
    address: SocketAddr,
    since: Instant,
}

impl Peers {
    /// Adds a daemon that is listed in the table.
    pub fn expect_peer(&mut self, name: DaemonName, address: SocketAddr, now: Instant) {
        if self
            .known
            .get(&name)
            .is_some_and(|peer| peer.address == address)
        {
            return;
        }
        self.expected.insert(
            name,
            ExpectedPeer {
                address,
                since: now,
            },
        );
    }

    /// Stores a heartbeat; returns whether it is from a new incarnation.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let name = heartbeat.from.name.clone();
        self.expected.remove(&name);
        let known = self
            .known
            .get(&name)
            .map(|peer| peer.last_heartbeat.from.incarnation);
        if known.is_some_and(|known| known > heartbeat.from.incarnation) {
            return false;
        }
        let new = known != Some(heartbeat.from.incarnation);
        let peer = Peer {
            last_heartbeat: heartbeat,
            address,
            received_at: now,
        };
        self.known.insert(name, peer);
        new
    }

    /// Returns the addresses to send heartbeats to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let expected = self.expected.values().map(|expected| expected.address);
        self.known.values().map(|peer| peer.address).chain(expected)
    }

    /// Returns the time between heartbeats, which grows with the number of daemons.
    pub fn heartbeat_period(&self) -> Duration {
        let daemons = u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX);
        PERIOD_PER_DAEMON.saturating_mul(daemons).max(MIN_PERIOD)
    }

    /// Returns the time over which the daemons spread what all of them do after an event.
    pub fn spread_over_fleet(&self) -> Duration {
        let daemons = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        SPREAD_PER_DAEMON.saturating_mul(daemons).min(MAX_SPREAD)
    }

    /// Returns the daemons with a recent heartbeat.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.received_within(self.live_silence(), now)
    }

    /// Returns a daemon if it has sent a heartbeat recently.
    pub fn live_peer(&self, name: &str, now: Instant) -> Option<&Peer> {
        let peer = self.known.get(name)?;
        let silence = now.saturating_duration_since(peer.received_at);
        (silence < self.live_silence()).then_some(peer)
    }

    /// Returns for how long a daemon counts as live after its last heartbeat.
    fn live_silence(&self) -> Duration {
        self.heartbeat_period()
            .mul_f64(MAX_MISSED_HEARTBEATS)
            .max(MIN_SILENCE)
    }

    /// Returns the daemons whose heartbeat is recent enough to rely on them for polling the table.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let silence = self.heartbeat_period().mul_f64(MAX_MISSED_BY_POLLER);
        self.received_within(silence.max(MIN_POLLER_SILENCE), now)
    }

    /// Returns the daemons that accept callers.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now)
            .filter(|peer| peer.last_heartbeat.readiness == Readiness::Ready)
    }

    /// Returns the names of the daemons that may hold a share of fleet-wide limits.
    pub fn limit_sharers(&self, now: Instant) -> impl Iterator<Item = &DaemonName> {
        let recent = move |at: Instant| now.saturating_duration_since(at) < SHARE_RETENTION;
        let live_names = self
            .known
            .iter()
            .filter(move |(_, peer)| {
                recent(peer.received_at) && peer.last_heartbeat.readiness != Readiness::Leaving
            })
            .map(|(name, _)| name);
        let expected = self
            .expected
            .iter()
            .filter(move |(_, expected)| recent(expected.since))
            .map(|(name, _)| name);
        live_names.chain(expected)
    }

    fn received_within(&self, silence: Duration, now: Instant) -> impl Iterator<Item = &Peer> {
        self.known
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.received_at) < silence)
    }

    /// Removes daemons that have been silent for a long time.
    pub fn expire(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHARE_RETENTION * 3;
        self.known.retain(|_, peer| recent(peer.received_at));
        self.expected.retain(|_, expected| recent(expected.since));
    }
}
