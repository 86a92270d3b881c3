//! Follows the published configuration on one daemon. The follower applies only higher generations,
//! which it receives by push or pulls from a peer or the table.

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

/// Maximum rate at which the whole fleet reads the table's head.
const MAX_FLEET_READS_PER_SECOND: u32 = 200;
/// Minimum interval between two reads of the head by one daemon.
const MIN_TABLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum random delay of a read, as a fraction of the interval, so that the daemons' reads
/// do not synchronize.
const TABLE_POLL_JITTER: f64 = 0.25;
/// Interval between requests to peers while the table is reachable and the configuration is up to
/// date.
const PEER_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between requests to peers otherwise.
const FAST_PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How much longer than a poll interval the table may be silent before peers are polled at the
/// faster rate.
const TABLE_POLL_SLACK: Duration = Duration::from_millis(300);
/// How long a daemon waits for the push of a generation that it has seen in the table's head. It
/// then waits for a random fraction of the poll interval, so that not all daemons read the change
/// at the same time.
const PUSH_GRACE: Duration = Duration::from_millis(300);
/// Backoff after a failed pull, multiplied by the number of consecutive failures.
const PULL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of failures by which the backoff is multiplied.
const MAX_BACKOFF_STEPS: u32 = 10;
/// Maximum number of records retained for peers that are a few generations behind.
const MAX_RETAINED_RECORDS: usize = 64;

/// The configuration follower of one daemon.
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
    /// Creates a follower without a configuration.
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

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the generation in force.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }

    /// Checks whether new requests may be accepted.
    pub fn readiness(&self, now: Instant) -> Result<(), NotReady> {
        self.connectivity.readiness(now, self.generation())
    }

    /// Returns the status to report to a peer.
    pub fn peer_head(&self, now: Instant) -> PeerHead {
        self.connectivity.peer_head(now, self.generation())
    }

    /// Returns the records after `after` if all of them are retained.
    pub fn records_after(&self, after: Generation) -> Option<Vec<Record>> {
        let oldest = self
            .records
            .front()
            .map_or(self.generation() + 1, |r| r.generation);
        let newer = self.records.iter().filter(|r| r.generation > after);
        (after + 1 >= oldest).then(|| newer.cloned().collect())
    }

    /// Returns all retained records, oldest first.
    pub fn retained_records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }

    /// Returns the minimum interval between two reads of the table's head that keeps the whole
    /// fleet within its rate limit.
    pub fn table_poll_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let fleet_interval = Duration::from_secs(1) * daemons / MAX_FLEET_READS_PER_SECOND;
        fleet_interval.max(MIN_TABLE_POLL_INTERVAL)
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::ReachablePeers(peers) => self.update_peers(&peers),
            Event::PeerHeadRead { peer, sent, head } => self.handle_peer_head(peer, sent, head),
            Event::TableHeadRead { sent, generation } => {
                self.handle_table_head(now, sent, generation);
            }
            Event::PullCompleted { from, pulled } => {
                self.handle_pull(now, from, pulled, &mut actions);
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
                self.replace_objects(generation, *objects, actions);
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

    /// Applies the records that directly follow the generation in force and ignores older records
    /// and records after a gap.
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

    /// Returns the newest generation known from any peer, the table or this daemon.
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

    /// Schedules the next read of the head one interval from now.
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

    /// Returns the source of newer generations, if any exist and may be pulled now.
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

    /// Returns a random peer whose generation is at least `generation`.
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
