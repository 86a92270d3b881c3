//! The membership protocol of one daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, seq::IteratorRandom};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::{
    coordination::membership::{
        DaemonName, Member, MemberState,
        gossip_queue::GossipQueue,
        member_list::MemberList,
        prober::{Probe, Prober},
        quorum::{ProbeOutcomes, QuorumStatus},
        record::{Body, Message, Outgoing, Record, Seed},
    },
    state::snapshot::Generation,
};

mod probing;
mod receiving;
mod suspicion;

use suspicion::Suspicion;

/// Interval between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// A longer gap between two calls means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Retention of dead daemons.
const DEAD_RETENTION: Duration = Duration::from_secs(60);
/// How long after its start a daemon moves its own start timestamp past a later one of its name.
const START_WINDOW: Duration = Duration::from_secs(60);
/// Space for records in one datagram.
const RECORD_BUDGET_BYTES: usize = 1_000;
/// Number of daemons notified immediately of an urgent change.
const URGENT_FANOUT: usize = 4;
/// Maximum number of datagrams with urgent changes sent per period.
const MAX_URGENT_PER_PERIOD: usize = 24;
/// Maximum number of instances used from the instance list.
const MAX_SEEDS: usize = 2_048;
/// How often unreachable daemons are pinged in a small fleet.
const SEED_INTERVAL: Duration = Duration::from_secs(5);
/// Number of live daemons up to which [`SEED_INTERVAL`] applies; in larger fleets the interval
/// grows in proportion.
const SEED_INTERVAL_MEMBERS: u32 = 8;
/// Number of unreachable daemons pinged at once.
const SEED_FANOUT: usize = 2;
/// Base of the minimum interval between two synchronisation requests.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Added to [`SYNC_INTERVAL`] for each known daemon.
const SYNC_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(100);

/// The membership state machine of one daemon; performs no I/O.
#[derive(Debug)]
pub struct Swim {
    own: Record,
    member_list: MemberList,
    gossip_queue: GossipQueue,
    prober: Prober,
    outcomes: ProbeOutcomes,
    suspicions: BTreeMap<DaemonName, Suspicion>,
    departed: BTreeSet<DaemonName>,
    seeds: Vec<Seed>,
    probe: Option<Probe>,
    rng: Xoshiro128PlusPlus,
    started: Instant,
    last_call: Instant,
    last_contact: Option<Instant>,
    stable_since: Instant,
    next_period: Instant,
    next_seeds: Instant,
    next_sync: Instant,
    urgent: bool,
    urgent_budget: usize,
    superseded: bool,
    changed: bool,
    outgoing: Vec<Outgoing>,
}

impl Swim {
    /// Creates the state of a daemon that knows only itself.
    pub fn new(now: Instant, own: Record, seed: u64) -> Self {
        let mut swim = Self {
            own,
            member_list: MemberList::default(),
            gossip_queue: GossipQueue::default(),
            prober: Prober::default(),
            outcomes: ProbeOutcomes::default(),
            suspicions: BTreeMap::new(),
            departed: BTreeSet::new(),
            seeds: Vec::new(),
            probe: None,
            rng: Xoshiro128PlusPlus::seed_from_u64(seed),
            started: now,
            last_call: now,
            last_contact: None,
            stable_since: now,
            next_period: now,
            next_seeds: now,
            next_sync: now,
            urgent: false,
            urgent_budget: MAX_URGENT_PER_PERIOD,
            superseded: false,
            changed: true,
            outgoing: Vec::new(),
        };
        swim.announce(now);
        swim
    }

    /// Returns when [`Self::tick`] must be called next.
    pub fn next_wakeup(&self) -> Instant {
        let probe = self.probe.as_ref().map(Probe::deadline);
        let suspicion = self.suspicions.values().map(Suspicion::next_wakeup).min();
        [Some(self.next_period), probe, suspicion]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_period)
    }

    /// Runs the timers that are due and returns the datagrams to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.detect_pause(now);
        self.check_probe(now);
        self.check_suspicions(now);
        if now >= self.next_period {
            self.begin_period(now);
        }
        self.flush()
    }

    /// Replaces the daemons known from the instance list.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
        self.seeds.truncate(MAX_SEEDS);
        self.seeds.retain(|s| s.name != self.own.member.name);
        self.seeds.sort_by(|a, b| a.name.cmp(&b.name));
        let listed: BTreeSet<&DaemonName> = self.seeds.iter().map(|s| &s.name).collect();
        self.departed
            .retain(|n| listed.contains(n) || self.member_list.get(n).is_some());
    }

    /// Sets the configuration generation that this daemon reports as in force.
    pub fn set_generation(&mut self, generation: Generation) {
        self.own.member.generation = generation;
        self.changed |= self.member_list.update_generation(&self.own.member);
    }

    /// Announces that this daemon accepts no new callers; returns the datagrams to send.
    pub fn leave(&mut self, now: Instant) -> Vec<Outgoing> {
        self.announce_state(now, MemberState::Leaving)
    }

    /// Announces that this daemon is about to exit; returns the datagrams to send.
    pub fn depart(&mut self, now: Instant) -> Vec<Outgoing> {
        self.announce_state(now, MemberState::Dead)
    }

    /// Returns all known daemons in name order, including this one.
    pub fn members(&self) -> Vec<Member> {
        self.member_list
            .iter()
            .map(|e| e.record.member.clone())
            .collect()
    }

    /// Returns one known daemon.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.member_list.get(name).map(|e| &e.record.member)
    }

    /// Whether [`Self::members`] has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns when a datagram from another daemon was last received.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Whether a later start of the same name has replaced this daemon.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the quorum status of this daemon.
    pub fn quorum_status(&self, now: Instant) -> QuorumStatus {
        let paused = now.saturating_duration_since(self.last_call) > PAUSE_THRESHOLD;
        let live = |name: &str| {
            self.member_list
                .get(name)
                .is_some_and(|e| is_live(&e.record))
        };
        let listed = self.seeds.iter().map(|s| &s.name);
        let dead = self.member_list.iter().map(|e| &e.record.member.name);
        let unreachable: BTreeSet<DaemonName> = listed
            .chain(dead)
            .filter(|n| !live(n) && !self.departed.contains(*n))
            .cloned()
            .collect();
        let reachable = || {
            self.member_list
                .iter()
                .map(|e| &e.record.member)
                .filter(|m| m.reachable())
        };
        let known = reachable().count() + unreachable.len();
        let majority = self.outcomes.majority(now, reachable(), known);
        QuorumStatus {
            majority: majority && !paused && !self.superseded,
            stable_since: if paused { now } else { self.stable_since },
            unreachable,
        }
    }

    fn announce_state(&mut self, now: Instant, state: MemberState) -> Vec<Outgoing> {
        self.own.member.state = state;
        self.own.revision += 1;
        self.announce(now);
        self.flush()
    }

    fn announce(&mut self, now: Instant) {
        let own = self.own.clone();
        self.changed |= self.member_list.merge(now, &own);
        self.gossip_queue.add(&own.member.name);
        self.urgent = true;
    }

    /// Discards pending conclusions after a pause, since missing datagrams then prove nothing.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.probe = None;
        self.outcomes.clear();
        self.member_list.reset_timestamps(now);
        self.stable_since = now;
        self.next_period = now;
        self.next_seeds = now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.restart(now);
        }
    }

    fn begin_period(&mut self, now: Instant) {
        self.next_period = now + PROBE_PERIOD;
        self.urgent_budget = MAX_URGENT_PER_PERIOD;
        if let Some(before) = now.checked_sub(DEAD_RETENTION) {
            self.changed |= self.member_list.prune_dead(before);
        }
        if self.superseded {
            return;
        }
        if now >= self.next_seeds {
            self.ping_seeds(now);
        }
        if self.probe.is_none() {
            self.begin_probe(now);
        }
    }

    /// Queues gossip for urgent changes and returns all queued datagrams.
    fn flush(&mut self) -> Vec<Outgoing> {
        if std::mem::take(&mut self.urgent) {
            let fanout = URGENT_FANOUT.min(self.urgent_budget);
            let targets = self.random_live(fanout, "");
            self.urgent_budget -= targets.len();
            for target in targets {
                self.send(target.member.peers, Some(&target), Body::Gossip);
            }
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Queues a datagram, led by the receiver's own record if the receiver is suspected or dead and
    /// may refute it.
    fn send(&mut self, to: SocketAddr, receiver: Option<&Record>, body: Body) {
        let mut records = Vec::new();
        let mut budget = RECORD_BUDGET_BYTES;
        let refutable =
            |r: &&Record| matches!(r.member.state, MemberState::Suspect | MemberState::Dead);
        if let Some(record) = receiver.filter(refutable) {
            budget -= record.encoded_bound().min(budget);
            records.push(record.clone());
        }
        records.extend(self.gossip_queue.take(&self.member_list, budget));
        self.send_records(to, body, records);
    }

    fn send_records(&mut self, to: SocketAddr, body: Body, records: Vec<Record>) {
        let message = Message {
            from: self.own.member.name.clone(),
            incarnation: self.own.member.incarnation,
            generation: self.own.member.generation,
            digest: self.member_list.digest(),
            body,
            records,
        };
        self.outgoing.push(Outgoing { to, message });
    }

    /// Returns up to `count` other daemons that are not dead, in random order.
    fn random_live(&mut self, count: usize, except: &str) -> Vec<Record> {
        let own = &self.own.member.name;
        self.member_list
            .iter()
            .map(|e| &e.record)
            .filter(|r| is_live(r) && r.member.name != *own && r.member.name != except)
            .cloned()
            .choose_multiple(&mut self.rng, count)
    }

    fn live_others(&self) -> impl Iterator<Item = &Record> {
        let own = &self.own.member.name;
        self.member_list
            .iter()
            .map(|e| &e.record)
            .filter(move |r| is_live(r) && r.member.name != *own)
    }
}

fn is_live(record: &Record) -> bool {
    record.member.state != MemberState::Dead
}
