//! A simulated fleet of followers and publishers, with a simulated network and clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::configuration::{
        event::{Action, Event, PullResult, ReachablePeer, Source},
        follower::Follower,
        outcome::PublishRequest,
        publisher::{Publication, PublishResult, Step, StepResult},
        rows::{self, HEAD_KEY, OBJECT_PREFIX},
    },
    state::{objects::Objects, record::Record, snapshot::Generation},
};

use crate::table::Table;

const TICK: Duration = Duration::from_millis(100);
const ONE_WAY_LATENCY: Duration = Duration::from_millis(3);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const MEMBERSHIP_LAG: Duration = Duration::from_secs(3);
/// The name of the table in a cut.
pub(crate) const TABLE: &str = "table";

/// The name for all daemons in a cut.
const ALL: &str = "all";

/// What is lost during a commit.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    None,
    /// The commit takes effect, but its response is lost.
    Answer,
    /// The commit takes effect, its response is lost, and the table becomes unreachable.
    AnswerAndTable,
    /// The commit takes effect, and the daemon is replaced before it can push or respond.
    Daemon,
    /// The commit request is lost.
    Request,
}

struct Pending {
    via: String,
    publication: Publication,
    step: Step,
}

struct Message {
    to: String,
    event: Event,
}

/// The arrival time of a message, and a sequence number that orders messages with the same time.
type DeliveryKey = (Instant, u64);

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    start: Instant,
    pub(crate) table: Table,
    daemons: BTreeMap<String, Follower>,
    cuts: BTreeSet<(String, String)>,
    frozen: BTreeSet<String>,
    messages: BTreeMap<DeliveryKey, Message>,
    messages_sent: u64,
    pending: BTreeMap<String, Pending>,
    /// The expected set of every generation, computed by applying one record after another.
    expected_sets: Vec<Objects>,
    pub(crate) history: Vec<Record>,
    daemons_started: u64,
}

impl Fleet {
    pub(crate) fn new(daemons: usize) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            now: start,
            start,
            table: Table::default(),
            daemons: BTreeMap::new(),
            cuts: BTreeSet::new(),
            frozen: BTreeSet::new(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            pending: BTreeMap::new(),
            expected_sets: vec![Objects::default()],
            history: Vec::new(),
            daemons_started: 0,
        };
        for i in 1..=daemons {
            fleet.add(&format!("d{i}"));
        }
        fleet.send_reachable_peers(start);
        fleet
    }

    /// Starts a daemon without a configuration; it replaces a daemon of the same name.
    pub(crate) fn start(&mut self, name: &str) {
        self.messages.retain(|_, message| message.to != name);
        self.add(name);
        self.send_reachable_peers(self.now);
    }

    fn add(&mut self, name: &str) {
        self.daemons_started += 1;
        let follower = Follower::new(self.now, self.daemons_started);
        self.daemons.insert(name.into(), follower);
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
        self.send_reachable_peers(self.now + MEMBERSHIP_LAG);
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.send_reachable_peers(self.now + MEMBERSHIP_LAG);
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.frozen.insert(name.into());
    }

    pub(crate) fn thaw(&mut self, name: &str) {
        self.frozen.remove(name);
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    pub(crate) fn follower(&self, name: &str) -> &Follower {
        &self.daemons[name]
    }

    /// Advances the simulated clock by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let tick = self.next_tick();
            self.deliver_until(tick.min(end));
            if tick <= end {
                for name in self.names() {
                    self.feed(&name, Event::Tick);
                }
            }
        }
    }

    pub(crate) fn feed(&mut self, name: &str, event: Event) {
        if self.frozen.contains(name) {
            self.send(self.now + TICK, name, event);
            return;
        }
        let Some(follower) = self.daemons.get_mut(name) else {
            return;
        };
        let before = follower.generation();
        let actions = follower.handle(self.now, event);
        let snapshot = follower.snapshot().clone();
        assert!(
            snapshot.generation >= before,
            "{name} returned to an older generation"
        );
        if snapshot.generation > before {
            let index = usize::try_from(snapshot.generation).unwrap();
            let expected_set = &self.expected_sets[index];
            assert_eq!(
                snapshot.objects, *expected_set,
                "{name} has an unexpected set"
            );
        }
        for action in actions {
            self.perform(name, action);
        }
    }

    /// Starts a publication and stops before its commit.
    pub(crate) fn begin(&mut self, via: &str, request: PublishRequest) -> Option<PublishResult> {
        let id = request.id.to_string();
        let snapshot = self.daemons[via].snapshot().clone();
        let objects = snapshot.objects.clone();
        let mut publication = Publication::new(request, 0, snapshot.generation, objects);
        let step = publication.start();
        let via = via.into();
        let pending = Pending {
            via,
            publication,
            step,
        };
        self.pending.insert(id.clone(), pending);
        self.run_until_commit(&id)
    }

    /// Commits a started publication, retrying until it ends; returns `None` if its daemon is
    /// replaced first.
    pub(crate) fn commit(&mut self, id: &str, mut loss: Loss) -> Option<PublishResult> {
        loop {
            let pending = self.pending.get_mut(id).unwrap();
            let Step::Commit(commit) = &pending.step else {
                panic!("{id} has no pending commit");
            };
            let commit = commit.clone();
            let input = if self.is_disconnected(&self.pending[id].via, TABLE) {
                StepResult::NotApplied("cut".into())
            } else {
                self.commit_at_table(&commit, loss)
            };
            if loss == Loss::AnswerAndTable {
                let via = self.pending[id].via.clone();
                self.cut(&via, TABLE);
            }
            if loss == Loss::Daemon {
                let via = self.pending.remove(id).unwrap().via;
                self.start(&via);
                return None;
            }
            loss = Loss::None;
            self.apply_result(id, input);
            if let Some(end) = self.run_until_commit(id) {
                return Some(end);
            }
        }
    }

    fn commit_at_table(
        &mut self,
        commit: &platform_api::table::CommitRequest,
        loss: Loss,
    ) -> StepResult {
        if loss == Loss::Request {
            return StepResult::ResponseLost("request lost".into());
        }
        let done = self.table.commit(commit);
        self.record_new_generations();
        match (loss, done) {
            (Loss::Answer | Loss::AnswerAndTable, _) => {
                StepResult::ResponseLost("answer lost".into())
            }
            (_, true) => StepResult::Committed,
            (_, false) => StepResult::Conflict,
        }
    }

    fn record_new_generations(&mut self) {
        let known = u64::try_from(self.history.len()).unwrap();
        for record in self.table.records_after(known) {
            let mut objects = self.expected_sets.last().unwrap().clone();
            objects.apply(&record.changes).unwrap();
            self.expected_sets.push(objects);
            self.history.push(record);
        }
    }

    /// Runs a publication until its next step is a commit or it has ended.
    fn run_until_commit(&mut self, id: &str) -> Option<PublishResult> {
        loop {
            let pending = &self.pending[id];
            let reachable = !self.is_disconnected(&pending.via, TABLE);
            let input = match &pending.step {
                Step::Commit(_) => return None,
                Step::Done(end) => {
                    let end = (**end).clone();
                    let via = pending.via.clone();
                    self.pending.remove(id);
                    self.push(&via, &end);
                    return Some(end);
                }
                Step::Wait(time) => {
                    let time = *time;
                    self.run(time);
                    StepResult::Waited
                }
                _ if !reachable => StepResult::NotApplied("cut".into()),
                Step::Read(keys) => {
                    let keys = keys.clone();
                    StepResult::Rows(self.table.read(&keys))
                }
                Step::ReadRecords { after } => {
                    let after = *after;
                    StepResult::Records(self.table.records_after(after))
                }
                Step::ReadWhole => {
                    let (generation, objects) = self.read_whole_set();
                    StepResult::Whole(generation, Box::new(objects))
                }
            };
            self.apply_result(id, input);
        }
    }

    fn apply_result(&mut self, id: &str, input: StepResult) {
        let now = self.now;
        let pending = self.pending.get_mut(id).unwrap();
        pending.step = pending.publication.handle(now, input);
    }

    fn push(&mut self, via: &str, end: &PublishResult) {
        let Some(record) = &end.record else {
            return;
        };
        for name in self.names() {
            if !self.is_disconnected(via, &name) {
                self.send(
                    self.now + ONE_WAY_LATENCY,
                    &name,
                    Event::Pushed(record.clone()),
                );
            }
        }
    }

    fn perform(&mut self, name: &str, action: Action) {
        match action {
            Action::ReadPeerHead(peer) => {
                let head = self
                    .reachable_follower(name, &peer)
                    .map(|f| f.peer_head(self.now));
                let sent = self.now;
                let at = self.response_at(head.is_some());
                self.send(
                    at,
                    name,
                    Event::PeerHeadRead {
                        peer: peer.clone(),
                        sent,
                        head,
                    },
                );
            }
            Action::ReadTableHead => {
                let up = !self.is_disconnected(name, TABLE);
                let generation = up.then(|| {
                    let rows = self.table.read(&[HEAD_KEY.into()]);
                    rows::parse_head(&rows).unwrap().generation
                });
                let sent = self.now;
                self.send(
                    self.response_at(up),
                    name,
                    Event::TableHeadRead { sent, generation },
                );
            }
            Action::Pull { from, after } => {
                let pulled = self.pull(name, &from, after);
                let succeeded = !matches!(pulled, PullResult::Failed);
                self.send(
                    self.response_at(succeeded),
                    name,
                    Event::PullCompleted { from, pulled },
                );
            }
            Action::Activate(_) => {}
            Action::ReportUnreadable { generation, reason } => {
                panic!("generation {generation}: {reason}")
            }
        }
    }

    fn pull(&mut self, name: &str, from: &Source, after: Generation) -> PullResult {
        match from {
            Source::Table if self.is_disconnected(name, TABLE) => PullResult::Failed,
            Source::Table if after == 0 => {
                let (generation, objects) = self.read_whole_set();
                PullResult::Whole(generation, Box::new(objects))
            }
            Source::Table => PullResult::Records(self.table.records_after(after)),
            Source::Peer(peer) => match self.reachable_follower(name, peer) {
                None => PullResult::Failed,
                Some(follower) => match follower.records_after(after) {
                    Some(records) => PullResult::Records(records),
                    None => {
                        let snapshot = follower.snapshot();
                        PullResult::Whole(snapshot.generation, Box::new(snapshot.objects.clone()))
                    }
                },
            },
        }
    }

    fn read_whole_set(&mut self) -> (Generation, Objects) {
        let head = rows::parse_head(&self.table.read(&[HEAD_KEY.into()])).unwrap();
        let rows = self.table.scan(OBJECT_PREFIX);
        let objects = rows::assemble_objects(head.generation, &rows, &[], head.generation).unwrap();
        (head.generation, objects)
    }

    fn reachable_follower(&self, from: &str, to: &str) -> Option<&Follower> {
        let answers = !self.is_disconnected(from, to) && !self.frozen.contains(to);
        self.daemons.get(to).filter(|_| answers)
    }

    fn response_at(&self, answered: bool) -> Instant {
        self.now
            + if answered {
                2 * ONE_WAY_LATENCY
            } else {
                RESPONSE_TIMEOUT
            }
    }

    pub(crate) fn is_disconnected(&self, a: &str, b: &str) -> bool {
        let all = (ALL.to_owned(), b.to_owned());
        self.cuts.contains(&all) || self.cuts.contains(&(a.into(), b.into()))
    }

    /// Sends every daemon its reachable peers, with generation 0, so that the daemons have to find
    /// the generations themselves.
    fn send_reachable_peers(&mut self, at: Instant) {
        for name in self.names() {
            let peers = self.names().into_iter().filter(|peer| *peer != name);
            let peers = peers.filter(|peer| !self.is_disconnected(&name, peer));
            let peers = peers.map(|peer| ReachablePeer {
                name: peer.into(),
                generation: 0,
            });
            let peers = peers.collect();
            self.send(at, &name, Event::ReachablePeers(peers));
        }
    }

    fn send(&mut self, at: Instant, to: &str, event: Event) {
        self.messages_sent += 1;
        let to = to.into();
        self.messages
            .insert((at, self.messages_sent), Message { to, event });
    }

    fn deliver_until(&mut self, end: Instant) {
        while let Some(first) = self.messages.first_entry()
            && first.key().0 <= end
        {
            let (at, message) = first.remove_entry();
            self.now = self.now.max(at.0);
            self.feed(&message.to, message.event);
        }
        self.now = self.now.max(end);
    }

    fn next_tick(&self) -> Instant {
        let ticks = (self.now - self.start).as_millis() / TICK.as_millis() + 1;
        self.start + TICK * u32::try_from(ticks).unwrap()
    }
}
