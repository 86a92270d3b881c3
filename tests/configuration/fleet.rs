//! A fleet of followers and publishers with a simulated network and clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::configuration::{
        event::{Action, Event, PeerView, Pulled, Source},
        follower::Follower,
        outcome::PublishRequest,
        publisher::{End, Input, Publication, Step},
        rows::{self, HEAD_KEY, OBJECT_PREFIX},
    },
    state::{objects::Objects, record::Record, snapshot::Generation},
};

use crate::table::Table;

const TICK: Duration = Duration::from_millis(100);
const ONE_WAY: Duration = Duration::from_millis(3);
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
const MEMBERSHIP_LAG: Duration = Duration::from_secs(3);
/// What stands for the table in a cut.
pub(crate) const TABLE: &str = "table";

/// What stands for every daemon in a cut.
const ALL: &str = "all";

/// What a commit meets.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    None,
    /// It takes effect and its answer is lost.
    Answer,
    /// It takes effect, its answer is lost, and the table can be reached no more.
    AnswerAndTable,
    /// It takes effect, and the daemon is replaced before it can push or answer.
    Daemon,
    /// It is lost itself.
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

/// When a message arrives, and its place among those that arrive together.
type Arrival = (Instant, u64);

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    start: Instant,
    pub(crate) table: Table,
    daemons: BTreeMap<String, Follower>,
    cuts: BTreeSet<(String, String)>,
    frozen: BTreeSet<String>,
    messages: BTreeMap<Arrival, Message>,
    sent: u64,
    pending: BTreeMap<String, Pending>,
    /// What every generation must be, made naively: record after record.
    truth: Vec<Objects>,
    pub(crate) history: Vec<Record>,
    starts: u64,
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
            sent: 0,
            pending: BTreeMap::new(),
            truth: vec![Objects::default()],
            history: Vec::new(),
            starts: 0,
        };
        for i in 1..=daemons {
            fleet.add(&format!("d{i}"));
        }
        fleet.spread_members(start);
        fleet
    }

    /// Starts a daemon that knows nothing; one of that name is replaced.
    pub(crate) fn start(&mut self, name: &str) {
        self.messages.retain(|_, message| message.to != name);
        self.add(name);
        self.spread_members(self.now);
    }

    fn add(&mut self, name: &str) {
        self.starts += 1;
        let follower = Follower::new(self.now, self.starts);
        self.daemons.insert(name.into(), follower);
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
        self.spread_members(self.now + MEMBERSHIP_LAG);
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.spread_members(self.now + MEMBERSHIP_LAG);
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

    /// Lets time pass.
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
        assert!(snapshot.generation >= before, "{name} went back");
        if snapshot.generation > before {
            let index = usize::try_from(snapshot.generation).unwrap();
            let truth = &self.truth[index];
            assert_eq!(snapshot.objects, *truth, "{name} has another set");
        }
        for action in actions {
            self.perform(name, action);
        }
    }

    /// Begins a publication and stops before its commit.
    pub(crate) fn begin(&mut self, via: &str, request: PublishRequest) -> Option<End> {
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
        self.proceed(&id)
    }

    /// Commits a publication that has begun, as often as it takes to end; `None` if its daemon ends
    /// first.
    pub(crate) fn commit(&mut self, id: &str, mut loss: Loss) -> Option<End> {
        loop {
            let pending = self.pending.get_mut(id).unwrap();
            let Step::Commit(commit) = &pending.step else {
                panic!("{id} has no commit to make");
            };
            let commit = commit.clone();
            let input = if self.is_cut(&self.pending[id].via, TABLE) {
                Input::NotDone("cut".into())
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
            self.step(id, input);
            if let Some(end) = self.proceed(id) {
                return Some(end);
            }
        }
    }

    fn commit_at_table(
        &mut self,
        commit: &platform_api::table::CommitRequest,
        loss: Loss,
    ) -> Input {
        if loss == Loss::Request {
            return Input::Lost("request lost".into());
        }
        let done = self.table.commit(commit);
        self.learn_truth();
        match (loss, done) {
            (Loss::Answer | Loss::AnswerAndTable, _) => Input::Lost("answer lost".into()),
            (_, true) => Input::Committed,
            (_, false) => Input::Conflict,
        }
    }

    fn learn_truth(&mut self) {
        let known = u64::try_from(self.history.len()).unwrap();
        for record in self.table.records_after(known) {
            let mut objects = self.truth.last().unwrap().clone();
            objects.apply(&record.changes).unwrap();
            self.truth.push(objects);
            self.history.push(record);
        }
    }

    /// Runs a publication until it wants to commit or has ended.
    fn proceed(&mut self, id: &str) -> Option<End> {
        loop {
            let pending = &self.pending[id];
            let reachable = !self.is_cut(&pending.via, TABLE);
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
                    Input::Waited
                }
                _ if !reachable => Input::NotDone("cut".into()),
                Step::Read(keys) => {
                    let keys = keys.clone();
                    Input::Rows(self.table.read(&keys))
                }
                Step::ReadRecords { after } => {
                    let after = *after;
                    Input::Records(self.table.records_after(after))
                }
                Step::ReadWhole => {
                    let (generation, objects) = self.whole();
                    Input::Whole(generation, Box::new(objects))
                }
            };
            self.step(id, input);
        }
    }

    fn step(&mut self, id: &str, input: Input) {
        let now = self.now;
        let pending = self.pending.get_mut(id).unwrap();
        pending.step = pending.publication.handle(now, input);
    }

    fn push(&mut self, via: &str, end: &End) {
        let Some(record) = &end.record else {
            return;
        };
        for name in self.names() {
            if !self.is_cut(via, &name) {
                self.send(self.now + ONE_WAY, &name, Event::Pushed(record.clone()));
            }
        }
    }

    fn perform(&mut self, name: &str, action: Action) {
        match action {
            Action::Ask(peer) => {
                let head = self.answering(name, &peer).map(|f| f.head(self.now));
                let sent = self.now;
                let at = self.answer_at(head.is_some());
                self.send(
                    at,
                    name,
                    Event::Asked {
                        peer: peer.clone(),
                        sent,
                        head,
                    },
                );
            }
            Action::ReadHead => {
                let up = !self.is_cut(name, TABLE);
                let generation = up.then(|| {
                    let rows = self.table.read(&[HEAD_KEY.into()]);
                    rows::head_in(&rows).unwrap().generation
                });
                let sent = self.now;
                self.send(
                    self.answer_at(up),
                    name,
                    Event::HeadRead { sent, generation },
                );
            }
            Action::Pull { from, after } => {
                let pulled = self.pulled(name, &from, after);
                let came = !matches!(pulled, Pulled::Failed);
                self.send(self.answer_at(came), name, Event::Pulled { from, pulled });
            }
            Action::Enforce(_) => {}
            Action::Report { generation, reason } => panic!("generation {generation}: {reason}"),
        }
    }

    fn pulled(&mut self, name: &str, from: &Source, after: Generation) -> Pulled {
        match from {
            Source::Table if self.is_cut(name, TABLE) => Pulled::Failed,
            Source::Table if after == 0 => {
                let (generation, objects) = self.whole();
                Pulled::Whole(generation, Box::new(objects))
            }
            Source::Table => Pulled::Records(self.table.records_after(after)),
            Source::Peer(peer) => match self.answering(name, peer) {
                None => Pulled::Failed,
                Some(follower) => match follower.records_after(after) {
                    Some(records) => Pulled::Records(records),
                    None => {
                        let snapshot = follower.snapshot();
                        Pulled::Whole(snapshot.generation, Box::new(snapshot.objects.clone()))
                    }
                },
            },
        }
    }

    fn whole(&mut self) -> (Generation, Objects) {
        let head = rows::head_in(&self.table.read(&[HEAD_KEY.into()])).unwrap();
        let rows = self.table.scan(OBJECT_PREFIX);
        let objects = rows::assemble(head.generation, &rows, &[], head.generation).unwrap();
        (head.generation, objects)
    }

    fn answering(&self, from: &str, to: &str) -> Option<&Follower> {
        let answers = !self.is_cut(from, to) && !self.frozen.contains(to);
        self.daemons.get(to).filter(|_| answers)
    }

    fn answer_at(&self, answered: bool) -> Instant {
        self.now + if answered { 2 * ONE_WAY } else { ANSWER_LIMIT }
    }

    pub(crate) fn is_cut(&self, a: &str, b: &str) -> bool {
        let all = (ALL.to_owned(), b.to_owned());
        self.cuts.contains(&all) || self.cuts.contains(&(a.into(), b.into()))
    }

    /// Tells every daemon whom it can reach; their generations are left to the daemons to find out.
    fn spread_members(&mut self, at: Instant) {
        for name in self.names() {
            let peers = self.names().into_iter().filter(|peer| *peer != name);
            let peers = peers.filter(|peer| !self.is_cut(&name, peer));
            let peers = peers.map(|peer| PeerView {
                name: peer.into(),
                generation: 0,
            });
            let peers = peers.collect();
            self.send(at, &name, Event::Members(peers));
        }
    }

    fn send(&mut self, at: Instant, to: &str, event: Event) {
        self.sent += 1;
        let to = to.into();
        self.messages.insert((at, self.sent), Message { to, event });
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
