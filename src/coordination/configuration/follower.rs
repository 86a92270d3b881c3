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
            contact::{Contact, NotReady, PeerHead},
            event::{Action, Event, PeerView, Pulled, Source},
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
const FLEET_READS_PER_SECOND: u32 = 200;
/// The least time between two reads of the head by one daemon.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// By what part of the interval a read may be late, so that the daemons' reads drift apart.
const POLL_JITTER: f64 = 0.25;
/// How often a peer is asked while the table is heard.
const CALM_ASK_INTERVAL: Duration = Duration::from_secs(2);
/// How often a peer is asked while it is not.
const ANXIOUS_ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How much longer than a poll interval the table may be silent before peers are asked more often.
const POLL_SLACK: Duration = Duration::from_millis(300);
/// How long a daemon waits for a push of a generation that it has seen in the table's head; after
/// that it waits for a random part of the poll interval, so that not all read the change at once.
const PUSH_GRACE: Duration = Duration::from_millis(300);
/// How long to wait after each failed pull; it grows with the failures in a row.
const PULL_BACKOFF: Duration = Duration::from_millis(100);
/// The greatest number of failures that the wait grows with.
const MAX_BACKOFF_STEPS: u32 = 10;
/// The number of records kept for peers that are a few generations behind.
const KEPT_RECORDS: usize = 64;

/// The follower of one daemon.
#[derive(Debug)]
pub struct Follower {
    snapshot: Arc<Snapshot>,
    records: VecDeque<Record>,
    contact: Contact,
    peers: BTreeMap<DaemonName, Generation>,
    table_head: Generation,
    table_pull_at: Instant,
    reading: bool,
    read_at: Instant,
    ask_at: Instant,
    pulling: Option<Source>,
    pull_at: Instant,
    pull_sent: Instant,
    failures: u32,
    rng: Xoroshiro128PlusPlus,
}

impl Follower {
    /// A follower without a configuration.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            snapshot: Arc::default(),
            records: VecDeque::new(),
            contact: Contact::default(),
            peers: BTreeMap::new(),
            table_head: 0,
            table_pull_at: now,
            reading: false,
            read_at: now,
            ask_at: now,
            pulling: None,
            pull_at: now,
            pull_sent: now,
            failures: 0,
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
        self.contact.readiness(now, self.generation())
    }

    /// What to tell a peer that asks.
    pub fn head(&self, now: Instant) -> PeerHead {
        self.contact.head(now, self.generation())
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
    pub fn kept_records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }

    /// The least time between two reads of the table's head, such that the whole fleet stays within its
    /// rate.
    pub fn poll_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let fair = Duration::from_secs(1) * daemons / FLEET_READS_PER_SECOND;
        fair.max(MIN_POLL_INTERVAL)
    }

    /// Takes in one event and says what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Members(peers) => self.meet(&peers),
            Event::Asked { peer, sent, head } => self.hear_peer(peer, sent, head),
            Event::HeadRead { sent, generation } => self.hear_table(now, sent, generation),
            Event::Pulled { from, pulled } => self.take(now, from, pulled, &mut actions),
            Event::Pushed(record) => self.apply(&[record], &mut actions),
        }
        self.contact.compare(self.generation(), self.newest());
        self.schedule(now, &mut actions);
        actions
    }

    fn meet(&mut self, peers: &[PeerView]) {
        let known = std::mem::take(&mut self.peers);
        for peer in peers {
            let heard = known.get(&peer.name).copied().unwrap_or(0);
            self.peers
                .insert(peer.name.clone(), peer.generation.max(heard));
        }
        self.contact.reach(self.peers.len());
    }

    fn hear_peer(&mut self, peer: DaemonName, sent: Instant, head: Option<PeerHead>) {
        let Some(head) = head else {
            return;
        };
        self.contact.heard_peer(sent, &head);
        if let Some(generation) = self.peers.get_mut(&peer) {
            *generation = head.generation;
        }
    }

    fn hear_table(&mut self, now: Instant, sent: Instant, generation: Option<Generation>) {
        self.reading = false;
        let Some(generation) = generation else {
            return;
        };
        self.contact.heard_table(sent);
        if generation > self.table_head {
            self.table_head = generation;
            let spread = self.rng.random_range(0.0..1.0);
            self.table_pull_at = now + PUSH_GRACE + self.poll_interval().mul_f64(spread);
            self.ask_at = self.ask_at.min(now + ANXIOUS_ASK_INTERVAL.mul_f64(spread));
        }
    }

    fn take(&mut self, now: Instant, from: Source, pulled: Pulled, actions: &mut Vec<Action>) {
        self.pulling = None;
        let before = self.generation();
        if from == Source::Table && !matches!(pulled, Pulled::Failed) {
            self.contact.heard_table(self.pull_sent);
        }
        match pulled {
            Pulled::Records(records) => self.apply(&records, actions),
            Pulled::Whole(generation, objects) => self.replace(generation, *objects, actions),
            Pulled::Failed => {}
        }
        if self.generation() > before {
            self.failures = 0;
            self.pull_at = now;
            return;
        }
        if let Source::Peer(name) = from {
            self.peers
                .entry(name)
                .and_modify(|generation| *generation = before);
        }
        self.failures = (self.failures + 1).min(MAX_BACKOFF_STEPS);
        self.pull_at = now + PULL_BACKOFF * self.failures;
    }

    /// Applies the records that follow the generation in force; all others are old or early.
    fn apply(&mut self, records: &[Record], actions: &mut Vec<Action>) {
        let mut objects = None;
        let mut generation = self.generation();
        for record in records {
            if record.generation != generation + 1 {
                continue;
            }
            let edited = objects.get_or_insert_with(|| self.snapshot.objects.clone());
            if let Err(e) = edited.apply(&record.changes) {
                actions.push(Action::Report {
                    generation: record.generation,
                    reason: e.to_string(),
                });
                return;
            }
            generation = record.generation;
            self.records.push_back(record.clone());
        }
        while self.records.len() > KEPT_RECORDS {
            self.records.pop_front();
        }
        if let Some(objects) = objects {
            self.enforce(generation, objects, actions);
        }
    }

    fn replace(&mut self, generation: Generation, objects: Objects, actions: &mut Vec<Action>) {
        if generation > self.generation() {
            self.records.clear();
            self.enforce(generation, objects, actions);
        }
    }

    fn enforce(&mut self, generation: Generation, objects: Objects, actions: &mut Vec<Action>) {
        self.snapshot = Arc::new(Snapshot::new(generation, objects));
        actions.push(Action::Enforce(self.snapshot.clone()));
    }

    /// The newest generation that any peer or the table is known to have.
    fn newest(&self) -> Generation {
        let peers = self.peers.values().copied().max().unwrap_or(0);
        peers.max(self.table_head).max(self.generation())
    }

    fn schedule(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.read_at && !self.reading {
            self.reading = true;
            self.put_off_read(now);
            actions.push(Action::ReadHead);
        }
        if now >= self.ask_at
            && let Some(peer) = self.any_peer(0)
        {
            self.ask_at = now + self.ask_interval(now);
            actions.push(Action::Ask(peer));
        }
        if now >= self.pull_at
            && self.pulling.is_none()
            && let Some(from) = self.source(now)
        {
            self.pulling = Some(from.clone());
            self.pull_sent = now;
            if from == Source::Table {
                self.put_off_read(now);
            }
            actions.push(Action::Pull {
                from,
                after: self.generation(),
            });
        }
    }

    /// Reads the head an interval from now, since the table is being read now.
    fn put_off_read(&mut self, now: Instant) {
        let jitter = self.rng.random_range(1.0..1.0 + POLL_JITTER);
        self.read_at = now + self.poll_interval().mul_f64(jitter);
    }

    fn ask_interval(&self, now: Instant) -> Duration {
        let limit = self.poll_interval().mul_f64(1.0 + POLL_JITTER) + POLL_SLACK;
        let newest = self.generation() > 0 && self.generation() == self.newest();
        let calm = newest && self.contact.table_within(now, limit);
        if calm {
            CALM_ASK_INTERVAL
        } else {
            ANXIOUS_ASK_INTERVAL
        }
    }

    /// Where to get what is newer than the generation in force, if anything is.
    fn source(&mut self, now: Instant) -> Option<Source> {
        let newest = self.newest();
        if newest == self.generation() {
            return None;
        }
        let table_has = self.table_head > self.generation();
        let peer = self.any_peer(newest);
        let waited = self.generation() == 0 || now >= self.table_pull_at;
        match peer {
            Some(_) if table_has && self.failures % 2 == 1 => Some(Source::Table),
            Some(peer) => Some(Source::Peer(peer)),
            None if table_has && waited => Some(Source::Table),
            None => None,
        }
    }

    /// A random peer that has at least `generation`.
    fn any_peer(&mut self, generation: Generation) -> Option<DaemonName> {
        let count = self
            .peers
            .values()
            .filter(|has| **has >= generation)
            .count();
        if count == 0 {
            return None;
        }
        let chosen = self.rng.random_range(0..count);
        let able = self.peers.iter().filter(|(_, has)| **has >= generation);
        able.map(|(name, _)| name.clone()).nth(chosen)
    }
}
