//! Tells a daemon's load on an engine only to the daemons that use this engine.
//!
//! Load pattern: each of hundreds of daemons has requests on some twenty engines, and few daemons use
//! each engine. Sent to all daemons, the loads would be most of the control traffic. In a large fleet,
//! a daemon therefore sends its loads to the users of each engine, as changes and now and then in full.
//! Two users of an engine tell all daemons its total load while it is busy, for those that have it as the
//! home of a prompt prefix (see [`super::busy_reports`]).

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    Dispatcher, PeerLoad, as_millis,
    liveness::ShortId,
    peers::{MIN_PERIOD, PERIOD_PER_DAEMON, Peer},
    registry::Upstream,
    subset::{HashRing, RingPosition},
};

/// Number of other daemons from which on loads go only to the users of an engine. Smaller fleets place
/// requests better if all daemons know all loads, and can afford it.
pub(super) const LARGE_FLEET: usize = 200;
/// Fraction of the slots in use from which an engine counts as busy. The cost of a request hardly
/// depends on the number of requests below it.
const BUSY_FRACTION: f64 = 0.25;
/// Fraction of the heartbeat period after which all loads are sent again, so that they are correct again
/// within two periods after a lost message.
const FULL_STATE_PERIODS: f64 = 0.6;
/// Maximum time after which all loads are sent again.
const MAX_FULL_STATE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of full states in which the end of a load is reported.
const REPORTS_OF_END: u32 = 2;
/// A daemon's load on an engine that the receiver uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Outstanding requests of the sender.
    pub running: u32,
    /// Prefill time of the sender's overdue prompts in milliseconds.
    pub overdue_ms: u32,
}

impl SharedLoad {
    fn is_zero(&self) -> bool {
        self.running == 0 && self.overdue_ms == 0
    }

    fn as_peer_load(&self) -> PeerLoad {
        PeerLoad {
            running: self.running,
            overdue: Duration::from_millis(self.overdue_ms.into()),
        }
    }
}

/// The loads of a daemon that have changed, or all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The sender.
    pub from: ShortId,
    /// Increases with each update of the incarnation.
    pub sequence: u32,
    /// The loads, not as differences.
    pub loads: Vec<SharedLoad>,
}

/// What another daemon has reported.
#[derive(Debug, Default)]
struct ReceivedLoads {
    sequence: u32,
    loads: HashMap<u64, (SharedLoad, Instant)>,
}

/// A load that was sent to the engine's users.
#[derive(Clone, Copy, Debug)]
struct SentLoad {
    load: SharedLoad,
    /// Full states in which it is still reported that it has ended.
    ends_left: u32,
}

/// What this daemon has sent and received of the loads on shared engines.
#[derive(Debug, Default)]
pub(super) struct SharedLoads {
    received: HashMap<ShortId, ReceivedLoads>,
    sent: HashMap<u64, SentLoad>,
    sequence: u32,
    last_full: Option<Instant>,
    /// Number of daemons that the last full state was for.
    receivers: u32,
    /// Live daemons, those of this failure domain first.
    pub(super) users: Vec<User>,
    /// The engines of each service that can be selected.
    rings: HashMap<String, HashRing>,
}

/// A daemon that may use an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct User {
    pub(super) position: RingPosition,
    address: SocketAddr,
}

impl SharedLoads {
    /// Returns the loads that were received from live daemons.
    fn received(&self) -> impl Iterator<Item = &SharedLoad> {
        let loads = self.received.values().flat_map(|r| r.loads.values());
        loads.map(|(load, _)| load)
    }
}

impl Dispatcher {
    /// Returns whether loads are sent to the users of an engine instead of to all daemons.
    pub fn is_large_fleet(&self) -> bool {
        self.peers.known().count() >= self.large_fleet
    }

    /// Sets the number of other daemons from which on loads are sent to the users of an engine only.
    pub fn set_large_fleet(&mut self, daemons: usize) {
        self.large_fleet = daemons;
    }

    /// Returns the time between two load updates, which bounds the number of datagrams.
    pub fn load_update_interval(&self) -> Duration {
        let receivers = self.shared_loads.receivers;
        PERIOD_PER_DAEMON.saturating_mul(receivers).max(MIN_PERIOD)
    }

    /// Returns the next load updates and their receivers, the nearest first; none in a small fleet.
    pub fn load_updates(&mut self, now: Instant) -> Vec<(SocketAddr, LoadUpdate)> {
        if !self.is_large_fleet() {
            return Vec::new();
        }
        let is_full = self.is_full_state_due(now);
        let due = self.due_loads(is_full, now);
        let mut updates: Vec<(SocketAddr, LoadUpdate)> = Vec::new();
        let shared = &mut self.shared_loads;
        shared.sequence += u32::from(!due.is_empty());
        let from = ShortId::of(&self.me);
        for user in &shared.users {
            let uses = |(load, index, engines): &(SharedLoad, u32, u32)| {
                user.position.uses(*index, *engines).then_some(*load)
            };
            let loads: Vec<SharedLoad> = due.iter().filter_map(uses).collect();
            if !loads.is_empty() {
                let update = LoadUpdate {
                    from,
                    sequence: shared.sequence,
                    loads,
                };
                updates.push((user.address, update));
            }
        }
        if is_full {
            shared.last_full = Some(now);
            shared.receivers = u32::try_from(updates.len()).unwrap_or(u32::MAX);
        }
        updates
    }

    /// Merges a load update of another daemon.
    pub fn receive_load_update(&mut self, update: &LoadUpdate, now: Instant) {
        let Some(peer) = self.peers.by_short_id(update.from) else {
            return;
        };
        let is_counted = self.peers.is_reporting(peer, now);
        let received = self.shared_loads.received.entry(update.from).or_default();
        if update.sequence <= received.sequence {
            return;
        }
        received.sequence = update.sequence;
        for load in &update.loads {
            let earlier = match load.is_zero() {
                true => received.loads.remove(&load.upstream),
                false => received.loads.insert(load.upstream, (*load, now)),
            };
            if is_counted {
                let sum = self.peer_loads.entry(load.upstream).or_default();
                if let Some((earlier, _)) = earlier {
                    sum.subtract(earlier.as_peer_load());
                }
                sum.add(load.as_peer_load());
            }
        }
    }

    /// Drops what other daemons have not repeated in time, and updates the users of the engines.
    pub(super) fn update_shared_loads(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let report_age = self.peers.max_report_age();
        let shared = &mut self.shared_loads;
        shared.received.retain(|id, received| {
            received.loads.retain(|_, (_, at)| age(*at) < report_age);
            let peer = self.peers.by_short_id(*id);
            peer.is_some_and(|peer| self.peers.is_reporting(peer, now))
        });
        let loads: Vec<SharedLoad> = shared.received().copied().collect();
        for load in loads {
            let sum = self.peer_loads.entry(load.upstream).or_default();
            sum.add(load.as_peer_load());
        }
        self.update_users(now);
        self.expire_totals(now);
    }

    fn update_users(&mut self, now: Instant) {
        let (near, far): (Vec<_>, Vec<_>) = self
            .peers
            .live(now)
            .partition(|peer| peer.last_heartbeat.domain == self.domain);
        let user = |peer: &Peer| User {
            position: self.position_of(&peer.last_heartbeat.from.name),
            address: peer.address,
        };
        let users = near.into_iter().chain(far).map(user).collect();
        let mut engines: HashMap<&str, Vec<u64>> = HashMap::new();
        let selectable = |u: &&Upstream| u.is_listed(now) && !self.evacuated.contains(&u.domain);
        for upstream in self.registry.all().filter(selectable) {
            engines
                .entry(&upstream.service)
                .or_default()
                .push(upstream.hash);
        }
        let ring = |(service, hashes): (&str, Vec<u64>)| {
            (service.to_owned(), HashRing::from_hashes(hashes))
        };
        let rings = engines.into_iter().map(ring).collect();
        self.shared_loads.users = users;
        self.shared_loads.rings = rings;
    }

    fn is_full_state_due(&self, now: Instant) -> bool {
        let interval = self.peers.heartbeat_period().mul_f64(FULL_STATE_PERIODS);
        let interval = interval.clamp(MIN_PERIOD, MAX_FULL_STATE_INTERVAL);
        let last = self.shared_loads.last_full;
        last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
    }

    /// Returns the loads to send, with the index of each engine and the number of engines: those that
    /// have changed, or all.
    fn due_loads(&mut self, is_full: bool, now: Instant) -> Vec<(SharedLoad, u32, u32)> {
        let mut due = Vec::new();
        let mut sent = std::mem::take(&mut self.shared_loads.sent);
        for upstream in self.registry.all() {
            let load = SharedLoad {
                upstream: upstream.hash,
                running: upstream.running,
                overdue_ms: as_millis(upstream.queue.overdue(now)),
            };
            let known = sent.get(&upstream.hash).copied();
            if load.is_zero() && known.is_none() {
                continue;
            }
            let is_due = is_full || self.is_worth_telling(upstream, load, known);
            let Some((index, engines)) = self.ring_index(upstream).filter(|_| is_due) else {
                continue;
            };
            due.push((load, index, engines));
            let ends_left = match (load.is_zero(), known) {
                (true, Some(known)) => known.ends_left.saturating_sub(u32::from(is_full)),
                _ => REPORTS_OF_END,
            };
            match ends_left {
                0 => sent.remove(&upstream.hash),
                _ => sent.insert(upstream.hash, SentLoad { load, ends_left }),
            };
        }
        sent.retain(|hash, _| self.registry.by_hash(*hash).is_some());
        self.shared_loads.sent = sent;
        due
    }

    /// Returns whether a load is told before the next full state: it has changed, and the engine is busy
    /// or the receivers take it for busy.
    fn is_worth_telling(
        &self,
        upstream: &Upstream,
        load: SharedLoad,
        known: Option<SentLoad>,
    ) -> bool {
        let told = known.map(|known| known.load);
        let told_running = told.map_or(0, |told| told.running);
        let told_overdue_ms = told.map_or(0, |told| told.overdue_ms);
        let others = self.running(upstream).saturating_sub(upstream.running);
        let running = others.saturating_add(load.running.max(told_running));
        let is_busy = load.overdue_ms.max(told_overdue_ms) > 0 || is_crowded(upstream, running);
        told != Some(load) && is_busy
    }

    pub(super) fn ring_index(&self, upstream: &Upstream) -> Option<(u32, u32)> {
        let ring = self.shared_loads.rings.get(upstream.service.as_str())?;
        Some((ring.index(upstream.hash), ring.count()))
    }
}

/// Returns whether an upstream with this number of requests counts as busy.
pub(super) fn is_crowded(upstream: &Upstream, running: u32) -> bool {
    f64::from(running) >= BUSY_FRACTION * f64::from(upstream.slots)
}
