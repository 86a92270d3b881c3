//! The order in which the gateway's waiting requests start: those whose loss costs callers most go
//! first.
//!
//! Load pattern: for seconds, more requests arrive than the upstreams can run, and most of those that
//! wait will not be served. The order is by priority, then requests that must start soon, then the
//! customers' weighted fair shares, then sessions that return after a rejection, then less work. A group
//! of requests that is passed over too often gets a turn out of order.

use std::{
    cmp::Ordering,
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    coordination::admission::{
        Admission, Arrival, WaiterId,
        queue::{Rank, rank},
    },
    state::objects::CustomerName,
};

/// Time to the latest start below which a request must start soon.
pub(crate) const START_SOON: Duration = Duration::from_secs(1);

/// Number of starts of which a waiting route, customer or session gets at least one.
const STARTS_PER_TURN: u32 = 20;

/// Minimum number of starts from one turn out of order to the next, so that the order still decides
/// about most starts if many groups wait.
const STARTS_BETWEEN_TURNS: u32 = 4;

/// Maximum number of waiting requests, which bounds the time to find the first.
const MAX_WAITING: usize = 256;

/// What the order of precedence depends on beside customer, priority and deadline.
#[derive(Clone, Copy, Debug)]
pub struct Traits {
    /// Hash of the route.
    pub route: u64,
    /// Hash of the session.
    pub session: u64,
    /// Expected time for which it holds a slot.
    pub work: Duration,
    /// When it must start to be served before its deadline.
    pub latest_start: Instant,
    /// Whether its session was rejected before and has come back.
    pub returning: bool,
}

impl Traits {
    /// Returns the traits of a request that are not known otherwise.
    pub(super) fn of(arrival: &Arrival) -> Self {
        Self {
            route: 0,
            session: 0,
            work: Duration::ZERO,
            latest_start: arrival.deadline,
            returning: false,
        }
    }

    /// Whether the request must start soon.
    pub fn is_tight(&self, now: Instant) -> bool {
        self.latest_start.saturating_duration_since(now) < START_SOON
    }
}

/// Where a request stands in the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of waiting requests that precede it.
    pub ahead: usize,
    /// Expected time for which these hold a slot, in total.
    pub work_ahead: Duration,
}

/// Requests that are passed over together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    Route(u64),
    Customer(CustomerName),
    Session(u64),
}

/// How often groups with waiting requests have been passed over.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    passed: HashMap<Group, u32>,
    /// Starts since a route or customer got a turn out of order.
    since_turn: u32,
    /// Starts since a session got one.
    since_session_turn: u32,
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct Entry<'a> {
    customer: &'a CustomerName,
    virtual_start: f64,
    rank: Rank,
    traits: Traits,
}

impl Entry<'_> {
    fn id(&self) -> WaiterId {
        self.rank.2
    }

    fn groups(&self) -> [Group; 3] {
        [
            Group::Route(self.traits.route),
            Group::Customer(self.customer.clone()),
            Group::Session(self.traits.session),
        ]
    }

    /// Compares by precedence; the smaller one goes first.
    fn compare(&self, other: &Self, now: Instant) -> Ordering {
        let (a, b) = (&self.traits, &other.traits);
        let by_priority = self.rank.0.cmp(&other.rank.0);
        by_priority
            .then(b.is_tight(now).cmp(&a.is_tight(now)))
            .then(self.virtual_start.total_cmp(&other.virtual_start))
            .then(b.returning.cmp(&a.returning))
            .then(a.work.cmp(&b.work))
            .then(self.rank.cmp(&other.rank))
    }
}

impl Admission {
    /// Adds a request that waits in the order of precedence; returns `false` if the queue is full.
    pub fn enqueue(&mut self, arrival: &Arrival, traits: Traits) -> bool {
        if self.is_full() {
            return false;
        }
        self.evict_idle();
        self.queue(arrival).waiting.insert(rank(arrival), traits);
        true
    }

    /// Returns whether no more requests can wait.
    pub fn is_full(&self) -> bool {
        self.waiting() >= MAX_WAITING
    }

    /// Returns the request that would start last.
    pub fn last(&self, now: Instant) -> Option<WaiterId> {
        let last = self.entries().max_by(|a, b| a.compare(b, now));
        last.map(|entry| entry.id())
    }

    /// Returns where a request would stand, or stands, in the order.
    pub fn position(&self, arrival: &Arrival, traits: Traits, now: Instant) -> Position {
        let queue = self.queues.get(&arrival.customer);
        let entry = Entry {
            customer: &arrival.customer,
            virtual_start: queue.map_or(self.virtual_time, |q| q.virtual_start(self.virtual_time)),
            rank: rank(arrival),
            traits,
        };
        let mut position = Position::default();
        for other in self.entries() {
            if other.compare(&entry, now).is_lt() {
                position.ahead += 1;
                position.work_ahead += other.traits.work;
            }
        }
        position
    }

    /// Returns the request that starts next among those that `may_start`.
    pub fn head(&self, now: Instant, may_start: impl Fn(WaiterId) -> bool) -> Option<WaiterId> {
        let entries = self
            .entries()
            .filter(|entry| entry.traits.latest_start >= now && may_start(entry.id()));
        let entries: Vec<Entry<'_>> = entries.collect();
        let due = self.turns.due(&entries);
        let is_due =
            |entry: &&Entry<'_>| due.as_ref().is_none_or(|due| entry.groups().contains(due));
        let first = entries.iter().filter(is_due);
        let first = first.min_by(|a, b| a.compare(b, now));
        first.map(Entry::id)
    }

    /// Removes a waiting request that starts, and charges its customer.
    pub fn start(&mut self, id: WaiterId) {
        let entries: Vec<Entry<'_>> = self.entries().collect();
        let Some(started) = entries.iter().find(|entry| entry.id() == id).copied() else {
            return;
        };
        let mut turns = self.turns.clone();
        turns.record_start(&started, &entries);
        let min_start = entries
            .iter()
            .map(|entry| entry.virtual_start)
            .fold(f64::INFINITY, f64::min);
        let (customer, rank) = (started.customer.clone(), started.rank);
        let units = self.units(started.traits.work);
        self.turns = turns;
        self.virtual_time = self.virtual_time.max(min_start);
        self.charge(&customer, units);
        if let Some(queue) = self.queues.get_mut(&customer) {
            queue.waiting.remove(&rank);
        }
    }

    /// Charges a customer for a request that starts without waiting.
    pub fn start_at_once(&mut self, arrival: &Arrival, work: Duration) {
        self.evict_idle();
        let units = self.units(work);
        self.queue(arrival);
        self.charge(&arrival.customer, units);
    }

    /// Records for how long a request has held its slot.
    pub fn record_hold(&mut self, held: Duration) {
        self.hold.add(held);
    }

    /// Returns the mean time for which a request holds its slot.
    pub fn mean_hold(&self) -> Duration {
        self.hold.mean()
    }

    /// Returns the cost of work, in requests of mean length.
    fn units(&self, work: Duration) -> f64 {
        work.as_secs_f64() / self.hold.mean().as_secs_f64().max(1e-4)
    }

    fn entries(&self) -> impl Iterator<Item = Entry<'_>> {
        self.queues.iter().flat_map(|(customer, queue)| {
            let virtual_start = queue.virtual_start(self.virtual_time);
            queue.waiting.iter().map(move |(rank, traits)| Entry {
                customer,
                virtual_start,
                rank: *rank,
                traits: *traits,
            })
        })
    }
}

impl Turns {
    /// Returns the group that gets the next start, if one has been passed over too often. Sessions, which
    /// may be many, come after routes and customers.
    fn due(&self, waiting: &[Entry<'_>]) -> Option<Group> {
        let is_session = |group: &Group| matches!(group, Group::Session(_));
        let group = match self.since_turn + 1 >= STARTS_BETWEEN_TURNS {
            true => self.longest_passed(waiting, |group| !is_session(group)),
            false => None,
        };
        group.or_else(|| match self.since_session_turn + 1 >= STARTS_PER_TURN {
            true => self.longest_passed(waiting, is_session),
            false => None,
        })
    }

    fn longest_passed(
        &self,
        waiting: &[Entry<'_>],
        is_kind: impl Fn(&Group) -> bool,
    ) -> Option<Group> {
        let groups = waiting.iter().flat_map(Entry::groups).filter(is_kind);
        let passed = groups.map(|group| (self.passed(&group), group));
        let longest = passed.reduce(|a, b| if b.0 > a.0 { b } else { a })?;
        (longest.0 + 1 >= STARTS_PER_TURN).then_some(longest.1)
    }

    fn passed(&self, group: &Group) -> u32 {
        self.passed.get(group).copied().unwrap_or_default()
    }

    /// Counts a start for the groups that wait; groups without waiting requests are removed.
    fn record_start(&mut self, started: &Entry<'_>, waiting: &[Entry<'_>]) {
        let started_groups = started.groups();
        let is_turn = |group: &Group| self.passed(group) + 1 >= STARTS_PER_TURN;
        let [route, customer, session] = &started_groups;
        let is_group_turn = is_turn(route) || is_turn(customer);
        let is_session_turn = is_turn(session);
        self.since_turn = if is_group_turn {
            0
        } else {
            self.since_turn.saturating_add(1)
        };
        self.since_session_turn = match is_session_turn {
            true => 0,
            false => self.since_session_turn.saturating_add(1),
        };
        let others = waiting.iter().filter(|entry| entry.id() != started.id());
        let passed = others.flat_map(Entry::groups).map(|group| {
            let count = match started_groups.contains(&group) {
                true => 0,
                false => self.passed(&group) + 1,
            };
            (group, count)
        });
        self.passed = passed.collect();
    }
}
