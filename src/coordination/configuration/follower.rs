//! How one daemon follows the published configuration: it applies only higher generations, which
//! it gets from a peer that pushes them, from a peer that has them or from the table.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::{
    coordination::{
        configuration::{
            connectivity::{Connectivity, NotReady, PeerHead},
            event::{Action, Event, PullResult, ReachablePeer, Source},
        },
        membership::DaemonName,
    },
    state::{
        objects::Objects,
        record::Record,
        snapshot::{Generation, Snapshot},
    },
};

/// The greatest rate at which the whole fleet reads the table's head.
const MAX_FLEET_READS_PER_SECOND: u32 = 200;
/// The least time between two reads of the head by one daemon.
const MIN_TABLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// By what part of the interval a read may be late, so that the daemons' reads drift apart.
const TABLE_POLL_JITTER: f64 = 0.25;
/// How often a peer is asked while the table is heard.
const PEER_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// How often a peer is asked while it is not.
const FAST_PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How much longer than a poll interval the table may be silent before peers are asked more often.
const TABLE_POLL_SLACK: Duration = Duration::from_millis(300);
/// How long a daemon waits for a push of a generation that it has seen in the table's head; after
/// that it waits for a random part of the poll interval, so that not all read the change at once.
const PUSH_GRACE: Duration = Duration::from_millis(300);
/// How long to wait after each failed pull; it grows with the failed_pulls in a row.
const PULL_BACKOFF: Duration = Duration::from_millis(100);
/// The greatest number of failed_pulls that the wait grows with.
const MAX_BACKOFF_STEPS: u32 = 10;
/// The number of records kept for peers that are a few generations behind.
const MAX_RETAINED_RECORDS: usize = 64;

/// The follower of one daemon.
#[derive(Debug)]
pub struct Follower {
    snapshot: Arc<Snapshot>,
    records: VecDeque<Record>,
    connectivity: Connectivity,
    peers: BTreeMap<DaemonName, Generation>,
    table_head: Generation,
    table_pull_allowed_at: Instant,
    head_read_pending: bool,
    next_head_read_at: Instant,
    next_peer_poll_at: Instant,
    pending_pull: Option<Source>,
    next_pull_at: Instant,
    pull_sent_at: Instant,
    failed_pulls: u32,
    rng: Xoroshiro128PlusPlus,
}

impl Follower {
    /// A follower without a configuration.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            snapshot: Arc::default(),
            records: VecDeque::new(),
            connectivity: Connectivity::default(),
            peers: BTreeMap::new(),
            table_head: 0,
            table_pull_allowed_at: now,
            head_read_pending: false,
            next_head_read_at: now,
            next_peer_poll_at: now,
            pending_pull: None,
            next_pull_at: now,
            pull_sent_at: now,
            failed_pulls: 0,
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
        }
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }

    /// Whether new work may be taken.
    pub fn readiness(&self, now: Instant) -> Result<(), NotReady> {
        self.connectivity.readiness(now, self.generation())
    }

    /// What to tell a peer that asks.
    pub fn peer_head(&self, now: Instant) -> PeerHead {
        self.connectivity.peer_head(now, self.generation())
    }

    /// The records after `after`, if all of them are kept.
    pub fn records_after(&self, after: Generation) -> Option<Vec<Record>> {
        let oldest = self
            .records
            .front()
            .map_or(self.generation() + 1, |r| r.generation);
        let newer = self.records.iter().filter(|r| r.generation > after);
        (after + 1 >= oldest).then(|| newer.cloned().collect())
    }

    /// All records kept, oldest first.
    pub fn retained_records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }

    /// The least time between two reads of the table's head, such that the whole fleet stays within its
    /// rate.
    pub fn table_poll_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let fleet_interval = Duration::from_secs(1) * daemons / MAX_FLEET_READS_PER_SECOND;
        fleet_interval.max(MIN_TABLE_POLL_INTERVAL)
    }

    /// Takes in one event and says what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::ReachablePeers(peers) => self.update_peers(&peers),
            Event::PeerHeadRead { peer, sent, head } => self.handle_peer_head(peer, sent, head),
            Event::TableHeadRead { sent, generation } => {
                self.handle_table_head(now, sent, generation)
            }
            Event::PullCompleted { from, pulled } => {
                self.handle_pull(now, from, pulled, &mut actions)
            }
            Event::Pushed(record) => self.apply_records(&[record], &mut actions),
        }
        self.connectivity
            .record_generations(self.generation(), self.newest_known());
        self.schedule(now, &mut actions);
        actions
    }

    fn update_peers(&mut self, peers: &[ReachablePeer]) {
        let known = std::mem::take(&mut self.peers);
        for peer in peers {
            let known_generation = known.get(&peer.name).copied().unwrap_or(0);
            self.peers
                .insert(peer.name.clone(), peer.generation.max(known_generation));
        }
        self.connectivity.set_reachable_peers(self.peers.len());
    }

    fn handle_peer_head(&mut self, peer: DaemonName, sent: Instant, head: Option<PeerHead>) {
        let Some(head) = head else {
            return;
        };
        self.connectivity.record_peer_response(sent, &head);
        if let Some(generation) = self.peers.get_mut(&peer) {
            *generation = head.generation;
        }
    }

    fn handle_table_head(&mut self, now: Instant, sent: Instant, generation: Option<Generation>) {
        self.head_read_pending = false;
        let Some(generation) = generation else {
            return;
        };
        self.connectivity.record_table_response(sent);
        if generation > self.table_head {
            self.table_head = generation;
            let spread = self.rng.random_range(0.0..1.0);
            self.table_pull_allowed_at =
                now + PUSH_GRACE + self.table_poll_interval().mul_f64(spread);
            self.next_peer_poll_at = self
                .next_peer_poll_at
                .min(now + FAST_PEER_POLL_INTERVAL.mul_f64(spread));
        }
    }

    fn handle_pull(
        &mut self,
        now: Instant,
        from: Source,
        pulled: PullResult,
        actions: &mut Vec<Action>,
    ) {
        self.pending_pull = None;
        let before = self.generation();
        if from == Source::Table && !matches!(pulled, PullResult::Failed) {
            self.connectivity.record_table_response(self.pull_sent_at);
        }
        match pulled {
            PullResult::Records(records) => self.apply_records(&records, actions),
            PullResult::Whole(generation, objects) => {
                self.replace_objects(generation, *objects, actions)
            }
            PullResult::Failed => {}
        }
        if self.generation() > before {
            self.failed_pulls = 0;
            self.next_pull_at = now;
            return;
        }
        if let Source::Peer(name) = from {
            self.peers
                .entry(name)
                .and_modify(|generation| *generation = before);
        }
        self.failed_pulls = (self.failed_pulls + 1).min(MAX_BACKOFF_STEPS);
        self.next_pull_at = now + PULL_BACKOFF * self.failed_pulls;
    }

    /// Applies the records that follow the generation in force; all others are old or early.
    fn apply_records(&mut self, records: &[Record], actions: &mut Vec<Action>) {
        let mut objects = None;
        let mut generation = self.generation();
        for record in records {
            if record.generation != generation + 1 {
                continue;
            }
            let edited = objects.get_or_insert_with(|| self.snapshot.objects.clone());
            if let Err(e) = edited.apply(&record.changes) {
                actions.push(Action::ReportUnreadable {
                    generation: record.generation,
                    reason: e.to_string(),
                });
                return;
            }
            generation = record.generation;
            self.records.push_back(record.clone());
        }
        while self.records.len() > MAX_RETAINED_RECORDS {
            self.records.pop_front();
        }
        if let Some(objects) = objects {
            self.activate(generation, objects, actions);
        }
    }

    fn replace_objects(
        &mut self,
        generation: Generation,
        objects: Objects,
        actions: &mut Vec<Action>,
    ) {
        if generation > self.generation() {
            self.records.clear();
            self.activate(generation, objects, actions);
        }
    }

    fn activate(&mut self, generation: Generation, objects: Objects, actions: &mut Vec<Action>) {
        self.snapshot = Arc::new(Snapshot::new(generation, objects));
        actions.push(Action::Activate(self.snapshot.clone()));
    }

    /// The newest generation that any peer or the table is known to have.
    fn newest_known(&self) -> Generation {
        let peers = self.peers.values().copied().max().unwrap_or(0);
        peers.max(self.table_head).max(self.generation())
    }

    fn schedule(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.next_head_read_at && !self.head_read_pending {
            self.head_read_pending = true;
            self.schedule_next_head_read(now);
            actions.push(Action::ReadTableHead);
        }
        if now >= self.next_peer_poll_at
            && let Some(peer) = self.random_peer(0)
        {
            self.next_peer_poll_at = now + self.peer_poll_interval(now);
            actions.push(Action::ReadPeerHead(peer));
        }
        if now >= self.next_pull_at
            && self.pending_pull.is_none()
            && let Some(from) = self.select_source(now)
        {
            self.pending_pull = Some(from.clone());
            self.pull_sent_at = now;
            if from == Source::Table {
                self.schedule_next_head_read(now);
            }
            actions.push(Action::Pull {
                from,
                after: self.generation(),
            });
        }
    }

    /// Reads the head an interval from now, since the table is being read now.
    fn schedule_next_head_read(&mut self, now: Instant) {
        let jitter = self.rng.random_range(1.0..1.0 + TABLE_POLL_JITTER);
        self.next_head_read_at = now + self.table_poll_interval().mul_f64(jitter);
    }

    fn peer_poll_interval(&self, now: Instant) -> Duration {
        let limit = self.table_poll_interval().mul_f64(1.0 + TABLE_POLL_JITTER) + TABLE_POLL_SLACK;
        let up_to_date = self.generation() > 0 && self.generation() == self.newest_known();
        let healthy = up_to_date && self.connectivity.table_reached_within(now, limit);
        if healthy {
            PEER_POLL_INTERVAL
        } else {
            FAST_PEER_POLL_INTERVAL
        }
    }

    /// Where to get what is newer than the generation in force, if anything is.
    fn select_source(&mut self, now: Instant) -> Option<Source> {
        let newest = self.newest_known();
        if newest == self.generation() {
            return None;
        }
        let table_has = self.table_head > self.generation();
        let peer = self.random_peer(newest);
        let waited = self.generation() == 0 || now >= self.table_pull_allowed_at;
        match peer {
            Some(_) if table_has && self.failed_pulls % 2 == 1 => Some(Source::Table),
            Some(peer) => Some(Source::Peer(peer)),
            None if table_has && waited => Some(Source::Table),
            None => None,
        }
    }

    /// A random peer that has at least `generation`.
    fn random_peer(&mut self, generation: Generation) -> Option<DaemonName> {
        let count = self
            .peers
            .values()
            .filter(|has| **has >= generation)
            .count();
        if count == 0 {
            return None;
        }
        let chosen = self.rng.random_range(0..count);
        let candidates = self.peers.iter().filter(|(_, has)| **has >= generation);
        candidates.map(|(name, _)| name.clone()).nth(chosen)
    }
}
