//! Weighted fair queues of customers, with priorities, deadlines and early refusal.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::{
    coordination::{admission::hold_time::HoldTime, decisions::RequestId},
    state::objects::CustomerName,
};

/// The lead in virtual time, in requests of weight 1, that a high priority may gain.
const MAX_PRIORITY_LEAD: f64 = 8.0;

/// The shortest time after which a refused caller is asked back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The greatest number of customers with a record; idle ones are forgotten first.
const MAX_CUSTOMERS: usize = 1_024;

/// Asks for a place in one of a daemon's pools.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// The request.
    pub request_id: RequestId,
    /// The customer.
    pub customer: CustomerName,
    /// The priority; larger goes first.
    pub priority: u8,
    /// When the answer is no longer of use.
    pub deadline: Instant,
}

/// Identifies a waiting or admitted request at one daemon.
pub type WaiterId = u64;

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id at this daemon; never used twice.
    pub id: WaiterId,
    /// The customer.
    pub customer: CustomerName,
    /// The customer's weight.
    pub weight: u32,
    /// The greatest number of the customer's requests that wait.
    pub queue: u32,
    /// The priority; larger goes first.
    pub priority: u8,
    /// When the answer is no longer of use.
    pub deadline: Instant,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The customer or the pool is not in the configuration.
    Unknown,
    /// Its customer's queue is full.
    QueueFull,
    /// It would not be served before its deadline.
    Deadline,
}

/// A refusal, final and at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused={cause} retry_after_ms={}", retry_after.as_millis())]
pub struct Refused {
    /// Why.
    pub cause: RefusalCause,
    /// When to come back.
    pub retry_after: Duration,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It may run now.
    Now,
    /// It waits; a [`QueueAction`] follows.
    Queued,
    /// It is refused.
    Refused(Refused),
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// It may run now.
    Run(WaiterId),
    /// It can't be served before its deadline any more.
    Refuse(WaiterId, Refused),
}

/// The order of one customer's waiting requests: priority, then deadline, then arrival.
type Rank = (Reverse<u8>, Instant, WaiterId);

#[derive(Debug, Default)]
struct CustomerQueue {
    weight: f64,
    virtual_finish: f64,
    waiting: BTreeSet<Rank>,
}

impl CustomerQueue {
    fn virtual_start(&self, virtual_time: f64) -> f64 {
        self.virtual_finish.max(virtual_time)
    }
}

/// The queues of one pool of places.
#[derive(Debug, Default)]
pub struct Admission {
    max_running: u32,
    running: u32,
    virtual_time: f64,
    queues: BTreeMap<CustomerName, CustomerQueue>,
    hold: HoldTime,
}

impl Admission {
    /// Sets the number of requests that may run at once.
    pub fn set_max_running(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    /// The requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|q| q.waiting.len()).sum()
    }

    /// Takes in a request.
    pub fn arrive(&mut self, now: Instant, arrival: &Arrival) -> Admit {
        self.evict_idle();
        let idle = self.running < self.max_running && self.waiting() == 0;
        let wait = self.predicted_wait(arrival);
        let queue = self.queue(arrival);
        if idle {
            self.charge(&arrival.customer);
            self.running += 1;
            return Admit::Now;
        }
        if queue.waiting.len() >= arrival.queue as usize {
            return refuse(RefusalCause::QueueFull, wait / 2);
        }
        let remaining = arrival.deadline.saturating_duration_since(now);
        let needed = wait + self.hold.upper_bound();
        if needed > remaining {
            return refuse(RefusalCause::Deadline, needed.saturating_sub(remaining));
        }
        self.queue(arrival).waiting.insert(rank(arrival));
        Admit::Queued
    }

    /// A waiting request was given up by its caller.
    pub fn cancel(&mut self, arrival: &Arrival) {
        if let Some(queue) = self.queues.get_mut(&arrival.customer) {
            queue.waiting.remove(&rank(arrival));
        }
    }

    /// A running request has ended after it held its place for `held`.
    pub fn release(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        self.hold.add(held);
    }

    /// Fills free places and refuses what can't be served in time any more.
    pub fn dispatch(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.refuse_late(now);
        while self.running < self.max_running {
            let Some((customer, id)) = self.pop_next() else {
                break;
            };
            self.charge(&customer);
            self.running += 1;
            actions.push(QueueAction::Run(id));
        }
        actions
    }

    /// Takes the next request: high priorities first while their customer is not far ahead of its
    /// share, then the customer that is furthest behind.
    fn pop_next(&mut self) -> Option<(CustomerName, WaiterId)> {
        let backlogged = || self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        let min_start = backlogged()
            .map(|(_, q)| q.virtual_start(self.virtual_time))
            .fold(f64::INFINITY, f64::min);
        let sort_key = |queue: &CustomerQueue| {
            let virtual_start = queue.virtual_start(self.virtual_time);
            let within_lead = virtual_start <= min_start + MAX_PRIORITY_LEAD / queue.weight;
            let head = queue.waiting.first().map_or(0, |rank| rank.0.0);
            (Reverse(if within_lead { head } else { 0 }), virtual_start)
        };
        let (name, _) = backlogged().min_by(|(_, a), (_, b)| {
            let (a, b) = (sort_key(a), sort_key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let name = name.clone();
        self.virtual_time = self.virtual_time.max(min_start);
        let queue = self.queues.get_mut(&name)?;
        let (_, _, id) = queue.waiting.pop_first()?;
        Some((name, id))
    }

    fn charge(&mut self, customer: &CustomerName) {
        let virtual_time = self.virtual_time;
        if let Some(queue) = self.queues.get_mut(customer) {
            queue.virtual_finish = queue.virtual_start(virtual_time) + 1.0 / queue.weight;
        }
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<QueueAction> {
        let hold = self.hold.mean();
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|(_, deadline, id)| {
                let late = now + hold > *deadline;
                if late {
                    let refused = refused(RefusalCause::Deadline, hold);
                    actions.push(QueueAction::Refuse(*id, refused));
                }
                !late
            });
        }
        actions
    }

    /// The wait of an arrival behind its own customer's requests and others' shares.
    fn predicted_wait(&self, arrival: &Arrival) -> Duration {
        let own = self.queues.get(&arrival.customer);
        let rank = rank(arrival);
        let ahead = own.map_or(0, |q| q.waiting.range(..rank).count());
        let weight = f64::from(arrival.weight.max(1));
        let others: f64 = self
            .queues
            .iter()
            .filter(|(name, q)| **name != arrival.customer && !q.waiting.is_empty())
            .map(|(_, q)| q.weight)
            .sum();
        let share = weight / (weight + others);
        self.hold.wait(ahead + 1, self.max_running, share)
    }

    fn queue(&mut self, arrival: &Arrival) -> &mut CustomerQueue {
        let queue = self.queues.entry(arrival.customer.clone()).or_default();
        queue.weight = f64::from(arrival.weight.max(1));
        queue
    }

    fn evict_idle(&mut self) {
        if self.queues.len() >= MAX_CUSTOMERS {
            let virtual_time = self.virtual_time;
            self.queues
                .retain(|_, q| !q.waiting.is_empty() || q.virtual_finish > virtual_time);
        }
    }
}

fn rank(arrival: &Arrival) -> Rank {
    (Reverse(arrival.priority), arrival.deadline, arrival.id)
}

fn refused(cause: RefusalCause, after: Duration) -> Refused {
    Refused {
        cause,
        retry_after: after.max(MIN_RETRY_AFTER),
    }
}

fn refuse(cause: RefusalCause, after: Duration) -> Admit {
    Admit::Refused(refused(cause, after))
}
