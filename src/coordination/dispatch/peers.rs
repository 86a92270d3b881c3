//! The other daemons, and which of them count as live.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::ToCompactString;

use crate::coordination::dispatch::{
    heartbeat::{DaemonName, Heartbeat, Readiness},
    liveness::ShortId,
};

/// Minimum time between a daemon's heartbeats.
pub(super) const MIN_PERIOD: Duration = Duration::from_millis(250);
/// Time between heartbeats per daemon in the fleet, which bounds a daemon's traffic.
pub(super) const PERIOD_PER_DAEMON: Duration = Duration::from_millis(12);
/// Time per daemon over which the fleet spreads its reactions to an event.
const SPREAD_PER_DAEMON: Duration = Duration::from_millis(2);
/// Maximum time over which the fleet spreads its reactions to an event.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Number of missed heartbeats after which a daemon counts as crashed, and its report as outdated.
const MAX_MISSED_HEARTBEATS: f64 = 3.5;
/// Minimum time for which a daemon counts as live after the last sign of life.
const MIN_SILENCE: Duration = Duration::from_millis(1_800);
/// Maximum time for which a daemon counts as live after the last sign of life. All must know of a death
/// within 4 s; in a simulated fleet of 340 with 28 signs of life in a heartbeat, live daemons
/// were not heard of for up to 2.6 s.
const MAX_SILENCE: Duration = Duration::from_millis(3_300);
/// Number of missed heartbeats after which another daemon polls the table instead.
const MAX_MISSED_BY_POLLER: f64 = 2.5;
/// Minimum time before another daemon polls the table instead.
const MIN_POLLER_SILENCE: Duration = Duration::from_secs(1);
/// Maximum number of daemons that are known only by the addresses of messages that cannot be read.
const MAX_UNREADABLE: usize = 1_024;
/// How long a silent daemon keeps its share of fleet-wide limits.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// How long daemons that are no longer known keep their parts of the retry budget's slack: they may still run
/// behind a partition, and take them.
const SLACK_RETENTION: Duration = Duration::from_secs(600);

/// Another daemon, with the state from its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last heartbeat.
    pub last_heartbeat: Heartbeat,
    /// Source address of its datagrams.
    pub address: SocketAddr,
    short_id: ShortId,
    /// When the last heartbeat arrived.
    heard_at: Instant,
    /// Sequence number of its newest heartbeat that this daemon knows of.
    newest_sequence: u32,
    /// When that heartbeat was sent, without transmission delays.
    alive_at: Instant,
}

impl Peer {
    /// Returns the time since its last sign of life.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.alive_at)
    }

    /// Returns the short id of its incarnation.
    pub(super) fn short_id(&self) -> ShortId {
        self.short_id
    }

    /// Returns the sequence number of its newest heartbeat that this daemon knows of.
    pub(super) fn newest_sequence(&self) -> u32 {
        self.newest_sequence
    }

    /// Records that it sent a heartbeat at a time, according to another daemon.
    pub(super) fn record_life(&mut self, sequence: u32, sent_at: Instant) {
        self.newest_sequence = sequence;
        self.alive_at = self.alive_at.max(sent_at);
    }

    /// Returns the time since its last heartbeat arrived.
    pub(super) fn report_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<DaemonName, Peer>,
    /// Names of the known daemons by the short ids of their incarnations.
    names: HashMap<ShortId, DaemonName>,
    /// Daemons that are listed in the table but have not sent a heartbeat that can be read.
    expected: BTreeMap<DaemonName, ExpectedPeer>,
    /// The largest number of daemons that were known at a time.
    most: Option<MostKnown>,
}

#[derive(Clone, Copy, Debug)]
struct MostKnown {
    count: usize,
    /// When as many were last known.
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedPeer {
    address: SocketAddr,
    /// When it was listed, or last sent a message that cannot be read.
    since: Instant,
    /// Whether it has sent such a message.
    is_unreadable: bool,
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
                is_unreadable: false,
            },
        );
    }

    /// Records that a daemon has sent a message that cannot be read; returns whether it was silent before.
    ///
    /// Failure: in an upgrade, daemons of two builds may not understand each other. If each group took all of
    /// the fleet-wide limits, both together would exceed them.
    pub fn hear_unreadable(&mut self, address: SocketAddr, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SHARE_RETENTION;
        let mut known = self.known.values();
        if known.any(|peer| peer.address == address && is_recent(peer.alive_at)) {
            return false;
        }
        if !self.expected.values().any(|peer| peer.address == address) {
            if self.expected.len() >= MAX_UNREADABLE {
                return false;
            }
            self.expect_peer(address.to_compact_string(), address, now);
        }
        let mut was_silent = false;
        let expected = self.expected.values_mut();
        for peer in expected.filter(|peer| peer.address == address) {
            was_silent |= !peer.is_unreadable || !is_recent(peer.since);
            peer.since = now;
            peer.is_unreadable = true;
        }
        was_silent
    }

    /// Stores a heartbeat that is not outdated; returns whether it is from a new incarnation.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let name = heartbeat.from.name.clone();
        self.expected
            .retain(|expected, peer| *expected != name && peer.address != address);
        let known = self
            .known
            .get(&name)
            .filter(|peer| peer.last_heartbeat.from == heartbeat.from);
        let overtaken = known.filter(|peer| peer.newest_sequence > heartbeat.sequence);
        let peer = Peer {
            newest_sequence: overtaken.map_or(heartbeat.sequence, |peer| peer.newest_sequence),
            alive_at: overtaken.map_or(now, |peer| peer.alive_at),
            heard_at: now,
            short_id: match known {
                Some(peer) => peer.short_id,
                None => ShortId::of(&heartbeat.from),
            },
            last_heartbeat: heartbeat,
            address,
        };
        let new = known.is_none();
        if new {
            if let Some(earlier) = self.known.get(&name) {
                self.names.remove(&earlier.short_id);
            }
            self.names.insert(peer.short_id, name.clone());
        }
        self.known.insert(name, peer);
        new
    }

    /// Returns whether a newer heartbeat of the same daemon has arrived, as a forwarded one may be
    /// overtaken.
    pub fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        let Some(peer) = self.known.get(&heartbeat.from.name) else {
            return false;
        };
        let known = &peer.last_heartbeat;
        let newest = (known.from.incarnation, known.sequence);
        (heartbeat.from.incarnation, heartbeat.sequence) < newest
    }

    /// Returns the daemon whose incarnation has a short id.
    pub(super) fn by_short_id(&self, id: ShortId) -> Option<&Peer> {
        self.known.get(self.names.get(&id)?)
    }

    /// Returns the daemon whose incarnation has a short id, mutably.
    pub(super) fn by_short_id_mut(&mut self, id: ShortId) -> Option<&mut Peer> {
        self.known.get_mut(self.names.get(&id)?)
    }

    /// Returns whether no other daemon is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty() && self.expected.is_empty()
    }

    /// Returns the addresses of the daemons that have not sent a heartbeat.
    pub fn expected_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.expected.values().map(|expected| expected.address)
    }

    /// Returns the daemons that have sent a heartbeat.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
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

    /// Returns the daemons that were alive recently, also if only other daemons heard of them.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.alive_within(self.max_silence(), now)
    }

    /// Returns the live daemons whose last heartbeat is recent enough to go by its content.
    pub fn reporting(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.known
            .values()
            .filter(move |peer| self.is_reporting(peer, now))
    }

    /// Returns whether a daemon is live and its last heartbeat recent enough to go by its content.
    pub fn is_reporting(&self, peer: &Peer, now: Instant) -> bool {
        peer.silence(now) < self.max_silence() && peer.report_age(now) < self.max_report_age()
    }

    /// Returns a daemon if it is one of those that report.
    pub fn reporting_peer(&self, name: &str, now: Instant) -> Option<&Peer> {
        let peer = self.known.get(name)?;
        self.is_reporting(peer, now).then_some(peer)
    }

    /// Returns the daemons whose heartbeats are recent enough to rely on them for polling the table.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let report_age = self.heartbeat_period().mul_f64(MAX_MISSED_BY_POLLER);
        let report_age = report_age.max(MIN_POLLER_SILENCE);
        self.alive_within(report_age.min(self.max_silence()), now)
            .filter(move |peer| peer.report_age(now) < report_age)
    }

    /// Returns for how long a daemon counts as live after the last sign of life.
    fn max_silence(&self) -> Duration {
        self.max_report_age().min(MAX_SILENCE)
    }

    /// Returns for how long the content of a heartbeat is used.
    pub(super) fn max_report_age(&self) -> Duration {
        self.heartbeat_period()
            .mul_f64(MAX_MISSED_HEARTBEATS)
            .max(MIN_SILENCE)
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
                recent(peer.alive_at) && peer.last_heartbeat.readiness != Readiness::Leaving
            })
            .map(|(name, _)| name);
        let expected = self
            .expected
            .iter()
            .filter(move |(_, expected)| recent(expected.since))
            .map(|(name, _)| name);
        live_names.chain(expected)
    }

    fn alive_within(&self, silence: Duration, now: Instant) -> impl Iterator<Item = &Peer> {
        self.known
            .values()
            .filter(move |peer| peer.silence(now) < silence)
    }

    /// Removes daemons that have been silent for a long time.
    pub fn expire(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHARE_RETENTION * 3;
        self.known.retain(|_, peer| recent(peer.alive_at));
        self.names.retain(|_, name| self.known.contains_key(name));
        self.expected.retain(|_, expected| recent(expected.since));
        self.update_most(now);
    }

    /// Returns the number of other daemons that may take a part of the retry budget's slack. Those that leave or
    /// are silent may have taken theirs.
    pub fn slack_sharers(&self) -> usize {
        let most = self.most.map_or(0, |most| most.count);
        most.max(self.count())
    }

    fn count(&self) -> usize {
        self.known.len() + self.expected.len()
    }

    fn update_most(&mut self, now: Instant) {
        let count = self.count();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SLACK_RETENTION;
        let is_passed = |most: MostKnown| most.count <= count || !is_recent(most.at);
        if self.most.is_none_or(is_passed) {
            self.most = Some(MostKnown { count, at: now });
        }
    }
}
