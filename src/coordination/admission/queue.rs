//! Weighted fair queues of customers, with priorities, deadlines and early refusal.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::{
    coordination::{
        admission::{
            hold_time::HoldTime,
            precedence::{Traits, Turns},
        },
        decisions::RequestId,
    },
    state::objects::CustomerName,
};

/// Maximum lead in virtual time gained by a high priority, in requests of weight 1.
const MAX_PRIORITY_LEAD: f64 = 8.0;

/// Minimum Retry-After of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Number of customer queues from which idle ones are evicted on each arrival.
const MAX_CUSTOMERS: usize = 1_024;

/// A request for a slot in one of the daemon's pools.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// The request.
    pub request_id: RequestId,
    /// The customer.
    pub customer: CustomerName,
    /// The priority; higher values go first.
    pub priority: u8,
    /// The request's deadline.
    pub deadline: Instant,
}

/// Identifies a waiting or admitted request at one daemon.
pub type WaiterId = u64;

/// A request that arrives at the queue.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id, unique at this daemon.
    pub id: WaiterId,
    /// The customer.
    pub customer: CustomerName,
    /// The customer's weight in fair queueing.
    pub weight: u32,
    /// Maximum number of waiting requests of the customer.
    pub queue: u32,
    /// The priority; higher values go first.
    pub priority: u8,
    /// The request's deadline.
    pub deadline: Instant,
}

/// The cause for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The customer or the pool is not in the configuration.
    Unknown,
    /// The customer's queue is full.
    QueueFull,
    /// The request would not be served before its deadline.
    Deadline,
}

/// The refusal of a request by admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused={cause} retry_after_ms={}", retry_after.as_millis())]
pub struct Refused {
    /// The cause.
    pub cause: RefusalCause,
    /// Delay before the caller may retry.
    pub retry_after: Duration,
}

/// The decision about an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It may run now.
    Now,
    /// It waits; a [`QueueAction`] follows unless it is cancelled.
    Queued,
    /// It is refused.
    Refused(Refused),
}

/// The next step for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// It may run now.
    Run(WaiterId),
    /// It can no longer be served before its deadline.
    Refuse(WaiterId, Refused),
}

/// The order of one customer's waiting requests: priority, then deadline, then arrival.
pub(super) type Rank = (Reverse<u8>, Instant, WaiterId);

#[derive(Debug, Default)]
pub(super) struct CustomerQueue {
    pub(super) weight: f64,
    virtual_finish: f64,
    pub(super) waiting: BTreeMap<Rank, Traits>,
}

impl CustomerQueue {
    pub(super) fn virtual_start(&self, virtual_time: f64) -> f64 {
        self.virtual_finish.max(virtual_time)
    }
}

/// The customers' queues for one pool of slots.
#[derive(Debug, Default)]
pub struct Admission {
    max_running: u32,
    running: u32,
    pub(super) virtual_time: f64,
    pub(super) queues: BTreeMap<CustomerName, CustomerQueue>,
    pub(super) hold: HoldTime,
    /// Which groups of waiting requests have been passed over, in the order of precedence.
    pub(super) turns: Turns,
}

impl Admission {
    /// Sets the maximum number of requests that run at once.
    pub fn set_max_running(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|q| q.waiting.len()).sum()
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, now: Instant, arrival: &Arrival) -> Admit {
        self.evict_idle();
        let idle = self.running < self.max_running && self.waiting() == 0;
        let wait = self.predicted_wait(arrival);
        let queue = self.queue(arrival);
        if idle {
            self.charge(&arrival.customer, 1.0);
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
        let traits = Traits::of(arrival);
        self.queue(arrival).waiting.insert(rank(arrival), traits);
        Admit::Queued
    }

    /// Removes a waiting request that its caller has abandoned.
    pub fn cancel(&mut self, arrival: &Arrival) {
        if let Some(queue) = self.queues.get_mut(&arrival.customer) {
            queue.waiting.remove(&rank(arrival));
        }
    }

    /// Releases the slot of a request that held it for `held`.
    pub fn release(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        self.hold.add(held);
    }

    /// Fills free slots and refuses requests that can no longer meet their deadlines.
    pub fn dispatch(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.refuse_late(now);
        while self.running < self.max_running {
            let Some((customer, id)) = self.pop_next() else {
                break;
            };
            self.charge(&customer, 1.0);
            self.running += 1;
            actions.push(QueueAction::Run(id));
        }
        actions
    }

    /// Removes the next request: high priorities first while their customer is not far ahead of its
    /// share, then the customer with the lowest virtual start time.
    fn pop_next(&mut self) -> Option<(CustomerName, WaiterId)> {
        let backlogged = || self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        let min_start = backlogged()
            .map(|(_, q)| q.virtual_start(self.virtual_time))
            .fold(f64::INFINITY, f64::min);
        let sort_key = |queue: &CustomerQueue| {
            let virtual_start = queue.virtual_start(self.virtual_time);
            let within_lead = virtual_start <= min_start + MAX_PRIORITY_LEAD / queue.weight;
            let head = queue.waiting.keys().next().map_or(0, |rank| rank.0.0);
            (Reverse(if within_lead { head } else { 0 }), virtual_start)
        };
        let (name, _) = backlogged().min_by(|(_, a), (_, b)| {
            let (a, b) = (sort_key(a), sort_key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let name = name.clone();
        self.virtual_time = self.virtual_time.max(min_start);
        let queue = self.queues.get_mut(&name)?;
        let ((_, _, id), _) = queue.waiting.pop_first()?;
        Some((name, id))
    }

    /// Charges a customer for a start that costs `units`.
    pub(super) fn charge(&mut self, customer: &CustomerName, units: f64) {
        let virtual_time = self.virtual_time;
        if let Some(queue) = self.queues.get_mut(customer) {
            queue.virtual_finish = queue.virtual_start(virtual_time) + units / queue.weight;
        }
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<QueueAction> {
        let hold = self.hold.mean();
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|(_, deadline, id), _| {
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

    /// Predicts the wait of an arrival from its customer's queue and the weights of the others.
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

    pub(super) fn queue(&mut self, arrival: &Arrival) -> &mut CustomerQueue {
        let queue = self.queues.entry(arrival.customer.clone()).or_default();
        queue.weight = f64::from(arrival.weight.max(1));
        queue
    }

    pub(super) fn evict_idle(&mut self) {
        if self.queues.len() >= MAX_CUSTOMERS {
            let virtual_time = self.virtual_time;
            self.queues
                .retain(|_, q| !q.waiting.is_empty() || q.virtual_finish > virtual_time);
        }
    }
}

pub(super) fn rank(arrival: &Arrival) -> Rank {
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
