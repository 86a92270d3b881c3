//! Selects the daemons that a heartbeat is sent to, and those that forward it.
//!
//! Load pattern: each of hundreds of daemons reports to all others, most of them in other failure
//! domains. Sent directly, the same heartbeat would cross to a domain once for each daemon there, so
//! it crosses once, to a daemon that forwards it within its domain. Each daemon sends to a part of
//! the fleet at a time: it then shows a sign of life several times a second at a constant number of
//! datagrams, and others pass that on (see [`Peers::liveness_reports`]).

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform::DomainName;
use rand::{Rng, seq::IndexedRandom};
use xxhash_rust::xxh3::Xxh3Default;

use crate::coordination::dispatch::{
    Dispatcher,
    peers::{MIN_PERIOD, Peer, Peers},
};

/// Minimum number of daemons in a domain of which one forwards heartbeats to the others.
const MIN_FORWARDING_DOMAIN: usize = 4;
/// Number of daemons in a domain for each one that may be asked to forward.
const DAEMONS_PER_FORWARDER: usize = 4;
/// Maximum number of heartbeats to the whole fleet in a heartbeat period.
const MAX_URGENT_PER_PERIOD: u32 = 8;

/// The receivers of a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    /// Daemons that only process it.
    pub direct: Vec<SocketAddr>,
    /// Daemons that also forward it within their failure domain.
    pub forwarders: Vec<SocketAddr>,
}

/// The part of the fleet that a heartbeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetPart {
    All,
    Part { index: u32, parts: u32 },
}

impl FleetPart {
    fn contains(self, member: impl Hash) -> bool {
        let Self::Part { index, parts } = self else {
            return true;
        };
        let mut hasher = Xxh3Default::new();
        member.hash(&mut hasher);
        hasher.finish() % u64::from(parts) == u64::from(index)
    }
}

impl Dispatcher {
    /// Returns the receivers of the next periodic heartbeat: those of the next part of the fleet.
    pub fn next_fanout(&mut self, now: Instant) -> Fanout {
        let parts = self.peers.heartbeat_parts();
        let index = self.fanout_part % parts;
        self.fanout_part = index + 1;
        self.fanout(FleetPart::Part { index, parts }, now)
    }

    /// Returns the receivers of a heartbeat to the whole fleet.
    pub fn full_fanout(&mut self, now: Instant) -> Fanout {
        self.fanout(FleetPart::All, now)
    }

    /// Returns the daemons to which a daemon of another failure domain wants its heartbeat forwarded.
    pub fn forward_receivers(&self) -> Vec<SocketAddr> {
        let known = self.peers.known();
        known
            .filter(|peer| peer.last_heartbeat.domain == self.domain)
            .map(|peer| peer.address)
            .collect()
    }

    fn fanout(&mut self, part: FleetPart, now: Instant) -> Fanout {
        let expected = self.peers.expected_addresses();
        let mut fanout = Fanout {
            direct: expected.filter(|address| part.contains(address)).collect(),
            forwarders: Vec::new(),
        };
        let mut others: BTreeMap<&DomainName, Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.known() {
            let domain = &peer.last_heartbeat.domain;
            if *domain != self.domain && self.peers.is_reporting(peer, now) {
                others.entry(domain).or_default().push(peer);
            } else if part.contains(peer.address) {
                fanout.direct.push(peer.address);
            }
        }
        for (domain, peers) in others {
            if peers.len() < MIN_FORWARDING_DOMAIN {
                let addresses = peers.iter().map(|peer| peer.address);
                fanout.direct.extend(addresses.filter(|a| part.contains(a)));
            } else if part.contains(domain) {
                let forwarder = select_forwarder(peers, &mut self.rng, now);
                fanout.forwarders.extend(forwarder.map(|peer| peer.address));
            }
        }
        fanout
    }
}

impl Peers {
    /// Returns the time between two periodic heartbeats, each to another part of the fleet.
    pub fn part_interval(&self) -> Duration {
        self.heartbeat_period() / self.heartbeat_parts()
    }

    /// Returns the minimum time between two heartbeats to the whole fleet.
    pub fn urgent_interval(&self) -> Duration {
        self.heartbeat_period() / MAX_URGENT_PER_PERIOD
    }

    /// Returns into how many parts the fleet is divided for periodic heartbeats.
    fn heartbeat_parts(&self) -> u32 {
        let parts = self.heartbeat_period().as_millis() / MIN_PERIOD.as_millis();
        u32::try_from(parts).unwrap_or(u32::MAX)
    }
}

/// Returns a random daemon among those of a domain that were alive last.
fn select_forwarder<'a>(
    mut in_domain: Vec<&'a Peer>,
    rng: &mut impl Rng,
    now: Instant,
) -> Option<&'a Peer> {
    in_domain.sort_unstable_by_key(|peer| peer.silence(now));
    in_domain.truncate(in_domain.len().div_ceil(DAEMONS_PER_FORWARDER));
    in_domain.choose(rng).copied()
}
