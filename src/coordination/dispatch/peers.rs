//! What the daemons tell one another, and which of them are believed to live.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use platform::{DomainName, RowVersion, orders::RolloutState};
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::evidence::Evidence;

/// The least time between a daemon's heartbeats.
const MIN_PERIOD: Duration = Duration::from_millis(250);
/// The time between heartbeats for each daemon, so that a daemon's traffic stays bounded.
const PERIOD_PER_DAEMON: Duration = Duration::from_millis(12);
/// The least time for which a daemon counts as living after its last heartbeat.
const MIN_SILENCE: Duration = Duration::from_millis(1_800);
/// The heartbeats that a daemon may miss before it counts as dead.
const MAX_MISSED_HEARTBEATS: f64 = 3.5;
/// The heartbeats that a daemon may miss before another polls the table in its place.
const MAX_MISSED_BY_POLLER: f64 = 2.5;
/// The least time before another polls the table in its place.
const MIN_POLLER_SILENCE: Duration = Duration::from_secs(1);
/// How long a silent daemon still counts when limits are shared out.
const SHARE_RETENTION: Duration = Duration::from_secs(20);

/// Identifies a daemon's instance.
pub type DaemonName = CompactString;

/// Identifies one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId {
    /// The instance on which it runs.
    pub name: DaemonName,
    /// Which start of the process.
    pub incarnation: u64,
}

/// Whether callers may be sent to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It is about to stop.
    Leaving,
}

/// Whether the table answers a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableState {
    /// It does not ask.
    NotPolled,
    /// It is answered.
    Reachable,
    /// It was not answered of late.
    Lost,
}

/// How busy one daemon keeps an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The hash of the upstream's id.
    pub upstream: u64,
    /// The daemon's requests on it.
    pub running: u32,
    /// The time to read those of their prompts that ought to have been read by now.
    pub overdue: Duration,
    /// Whether the daemon could not connect to it lately.
    pub unreachable: bool,
}

/// What one daemon knows of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: CompactString,
    /// The order's row version.
    pub order: RowVersion,
    /// How far the roll-out is.
    pub state: RolloutState,
    /// How far it is by the table, if that is known.
    pub recorded: Option<RolloutState>,
    /// How long ago it was ordered.
    pub elapsed: Duration,
    /// What the daemon has seen itself.
    pub evidence: Evidence,
    /// Sessions that stay with the old version.
    pub sticky_sessions: Vec<u64>,
}

/// What a daemon tells the others several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who tells it.
    pub from: PeerId,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Whether callers may be sent to it.
    pub readiness: Readiness,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the table answers it.
    pub table: TableState,
    /// The newest change that it knows of the operators' table.
    pub newest_order_version: RowVersion,
    /// The newest change that it knows of the upstreams' table.
    pub newest_upstream_version: RowVersion,
    /// Its load on upstreams.
    pub loads: Vec<LoadReport>,
    /// Its part in roll-outs.
    pub rollouts: Vec<RolloutReport>,
    /// Fingerprints of requests that it saw crash upstreams, with how often.
    pub crashes: Vec<CrashCount>,
}

/// How often one daemon saw a request crash an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The crashes.
    pub count: u32,
}

/// Another daemon, as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last heartbeat.
    pub last_heartbeat: Heartbeat,
    /// Where its datagrams come from.
    pub address: SocketAddr,
    received_at: Instant,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<DaemonName, Peer>,
    /// Daemons that the table names but that have not been heard.
    expected: BTreeMap<DaemonName, ExpectedPeer>,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedPeer {
    address: SocketAddr,
    since: Instant,
}

impl Peers {
    /// Notes a daemon that the table names.
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

    /// Takes in a heartbeat; tells whether it is of a new incarnation.
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

    /// Where to send heartbeats to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let expected = self.expected.values().map(|expected| expected.address);
        self.known.values().map(|peer| peer.address).chain(expected)
    }

    /// The time between heartbeats, by the number of daemons.
    pub fn heartbeat_period(&self) -> Duration {
        let daemons = u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX);
        PERIOD_PER_DAEMON.saturating_mul(daemons).max(MIN_PERIOD)
    }

    /// The daemons heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let silence = self
            .heartbeat_period()
            .mul_f64(MAX_MISSED_HEARTBEATS)
            .max(MIN_SILENCE);
        self.received_within(silence, now)
    }

    /// The daemons heard so lately that they may be relied on for changes of the table.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let silence = self.heartbeat_period().mul_f64(MAX_MISSED_BY_POLLER);
        self.received_within(silence.max(MIN_POLLER_SILENCE), now)
    }

    /// The daemons to which callers may be sent.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.live(now)
            .filter(|peer| peer.last_heartbeat.readiness == Readiness::Ready)
    }

    /// The names of the daemons that may hold a part of a shared limit.
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

    /// Drops daemons that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHARE_RETENTION * 3;
        self.known.retain(|_, peer| recent(peer.received_at));
        self.expected.retain(|_, expected| recent(expected.since));
    }
}
