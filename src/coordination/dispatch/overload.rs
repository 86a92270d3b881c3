//! Which requests are admitted while a service's upstreams are full, in agreement with all daemons.
//!
//! Load pattern: more requests arrive at the fleet than the upstreams can run, and each daemon of a large
//! fleet sees only a few of them. A queue of its own cannot tell which are worth a slot, as another daemon
//! holds more urgent ones. All daemons add up the same counts and derive the same level: the priority from
//! which on requests are rejected, and the fraction of that priority that is admitted.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use platform::ServiceName;
use serde::{Deserialize, Serialize};

use crate::coordination::{admission::Traits, dispatch::as_millis};

/// Time after a service was seen full for which its counts are used and reported. With the age of a
/// heartbeat, a level must end within 1 s after capacity is available.
const FULL_RETENTION: Duration = Duration::from_millis(700);
/// Span in which arrivals and starts are counted.
const COUNT_SPAN: Duration = Duration::from_secs(1);
/// Number of intervals of that span.
const INTERVALS: u32 = 10;
/// Admitted load as a multiple of the starts that were seen. Without headroom, a level that admits too
/// little would take the fewer starts that follow from it as the capacity.
const HEADROOM: f64 = 1.1;
/// Number of priorities that are told apart.
pub const PRIORITIES: usize = 10;
/// Span of the recent requests with which a new one is compared.
const SAMPLE_SPAN: Duration = Duration::from_secs(3);
/// Maximum number of these requests.
const MAX_SAMPLES: usize = 256;
/// Number of classes of work for each doubling; requests of the same class count as equal.
const WORK_CLASSES_PER_DOUBLING: f64 = 2.0;

/// One daemon's demand for an overloaded service and what it could start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadReport {
    /// The service.
    pub service: ServiceName,
    /// Time in milliseconds since the upstreams were last seen full.
    pub full_age_ms: u32,
    /// Requests that it runs.
    pub running: u32,
    /// Work in milliseconds of the requests that it started in the last second.
    pub started_ms: u32,
    /// Work in milliseconds of the requests that arrived in the last second, by priority from the
    /// highest; zeros at the end are left out.
    pub arrived_ms: Vec<u32>,
}

/// What is admitted while a service's upstreams are full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// Requests of a lower priority are rejected.
    pub priority: u8,
    /// Fraction of this priority's demand that is admitted.
    pub fraction: f64,
    /// Demand as a multiple of the capacity.
    pub pressure: f64,
    /// Age of the oldest counts that it is derived from.
    pub age: Duration,
}

impl OverloadReport {
    /// Returns the work of the arrivals that a level admits.
    pub(super) fn admitted_ms(&self, level: Option<&AdmissionLevel>) -> f64 {
        let admitted = |(priority, ms): (u8, &u32)| match level {
            Some(level) if priority > level.priority => 0.0,
            Some(level) if priority == level.priority => f64::from(*ms) * level.fraction,
            _ => f64::from(*ms),
        };
        (0..).zip(&self.arrived_ms).map(admitted).sum()
    }
}

/// Derives the level from reports and their ages; `None` if all of the demand can be served.
pub fn admission_level<'a>(
    reports: impl Iterator<Item = (&'a OverloadReport, Duration)>,
) -> Option<AdmissionLevel> {
    let mut demand = [0.0; PRIORITIES];
    let mut capacity = 0.0;
    let mut oldest = Duration::ZERO;
    for (report, age) in reports {
        let full_age = age + Duration::from_millis(report.full_age_ms.into());
        if full_age > FULL_RETENTION {
            continue;
        }
        oldest = oldest.max(age);
        // Few long requests may have started in one second although all slots are in use.
        let in_use = f64::from(report.running) * 1_000.0;
        capacity += f64::from(report.started_ms).max(in_use);
        for (sum, arrived) in demand.iter_mut().zip(&report.arrived_ms) {
            *sum += f64::from(*arrived);
        }
    }
    let pressure = demand.iter().sum::<f64>() / capacity.max(1.0);
    let mut left = capacity * HEADROOM;
    for (priority, demand) in (0..).zip(demand) {
        if demand > left {
            return Some(AdmissionLevel {
                priority,
                fraction: left / demand,
                pressure,
                age: oldest,
            });
        }
        left -= demand;
    }
    None
}

/// A request that arrived recently.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Hash of the customer.
    pub customer: u64,
    /// Hash of the session.
    pub session: u64,
    /// Whether it must start soon.
    pub tight: bool,
    /// Whether its session was rejected before and has come back.
    pub returning: bool,
    /// Expected time for which it holds a slot.
    pub work: Duration,
}

impl RequestSample {
    /// Describes a request.
    pub fn new(priority: u8, customer: u64, traits: &Traits, now: Instant) -> Self {
        Self {
            priority,
            customer,
            session: traits.session,
            tight: traits.is_tight(now),
            returning: traits.returning,
            work: traits.work,
        }
    }

    fn work_ms(&self) -> f64 {
        self.work.as_secs_f64().max(1e-3) * 1e3
    }

    /// Order among the requests of one customer; a smaller one goes first.
    fn class(&self) -> (bool, i64) {
        let doublings = self.work_ms().log2() * WORK_CLASSES_PER_DOUBLING;
        (!self.returning, doublings.round() as i64)
    }

    /// A number from 0 to 1 that is the same on all daemons.
    fn draw(&self) -> f64 {
        (self.session >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// This daemon's counts for one service.
#[derive(Debug, Default)]
pub struct OverloadCounts {
    full_at: Option<Instant>,
    intervals: VecDeque<Interval>,
    samples: VecDeque<(Instant, RequestSample)>,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    begun_at: Instant,
    arrived_ms: [f64; PRIORITIES],
    started_ms: f64,
}

impl OverloadCounts {
    /// Counts a request that arrives.
    pub fn record_arrival(&mut self, sample: RequestSample, now: Instant) {
        let priority = usize::from(sample.priority).min(PRIORITIES - 1);
        self.interval(now).arrived_ms[priority] += sample.work_ms();
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, sample));
    }

    /// Counts a request that starts.
    pub fn record_start(&mut self, work: Duration, now: Instant) {
        self.interval(now).started_ms += work.as_secs_f64() * 1e3;
    }

    /// Takes back a start that an upstream has refused.
    pub fn withdraw_start(&mut self, work: Duration, now: Instant) {
        let interval = self.interval(now);
        interval.started_ms -= work.as_secs_f64() * 1e3;
    }

    /// Records that the upstreams are full.
    pub fn record_full(&mut self, now: Instant) {
        self.full_at = Some(now);
    }

    /// Returns whether requests that must start soon arrived recently.
    pub fn has_tight(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SAMPLE_SPAN;
        let mut newest_first = self.samples.iter().rev();
        newest_first.any(|(at, sample)| sample.tight && is_recent(*at))
    }

    /// Returns whether the upstreams were full recently.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_at
            .is_some_and(|at| now.saturating_duration_since(at) <= FULL_RETENTION)
    }

    /// Returns the report; `None` if the upstreams have not been full recently.
    pub fn report(
        &self,
        service: &ServiceName,
        running: u32,
        now: Instant,
    ) -> Option<OverloadReport> {
        let full_age = now.saturating_duration_since(self.full_at?);
        if full_age > FULL_RETENTION {
            return None;
        }
        let recent = self.intervals.iter().filter(|i| i.is_recent(now));
        let mut started_ms = 0.0;
        let mut arrived = [0.0; PRIORITIES];
        for interval in recent {
            started_ms += interval.started_ms;
            for (sum, ms) in arrived.iter_mut().zip(interval.arrived_ms) {
                *sum += ms;
            }
        }
        let last = arrived.iter().rposition(|ms| *ms > 0.0);
        let arrived = &arrived[..last.map_or(0, |last| last + 1)];
        Some(OverloadReport {
            service: service.clone(),
            full_age_ms: as_millis(full_age),
            running,
            started_ms: started_ms as u32,
            arrived_ms: arrived.iter().map(|ms| *ms as u32).collect(),
        })
    }

    /// Returns whether a level admits a request, compared with the recent ones of its priority: first
    /// those that must start soon, then the customers' fair shares, in each of these returning sessions
    /// and then less work. Equal requests are told apart by the hash of the session.
    pub fn admits(&self, level: &AdmissionLevel, request: &RequestSample, now: Instant) -> bool {
        if request.priority != level.priority {
            return request.priority < level.priority;
        }
        let recent = self.samples.iter().filter(|(at, sample)| {
            now.saturating_duration_since(*at) < SAMPLE_SPAN && sample.priority == request.priority
        });
        let (tight, others): (Vec<_>, Vec<_>) =
            recent.map(|(_, s)| *s).partition(|sample| sample.tight);
        let budget = level.fraction * (total(&tight) + total(&others));
        match request.tight {
            true => fits(&tight, budget, request),
            false => fits(&others, budget - total(&tight), request),
        }
    }

    fn interval(&mut self, now: Instant) -> &mut Interval {
        let length = COUNT_SPAN / INTERVALS;
        while self.intervals.front().is_some_and(|i| !i.is_recent(now)) {
            self.intervals.pop_front();
        }
        let is_current = |i: &Interval| now.saturating_duration_since(i.begun_at) < length;
        if !self.intervals.back().is_some_and(is_current) {
            self.intervals.push_back(Interval {
                begun_at: now,
                arrived_ms: [0.0; PRIORITIES],
                started_ms: 0.0,
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}

impl Interval {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.begun_at) < COUNT_SPAN
    }
}

fn total(samples: &[RequestSample]) -> f64 {
    samples.iter().map(RequestSample::work_ms).sum()
}

/// Returns whether a request is in the part of its customer's demand that the budget covers.
fn fits(samples: &[RequestSample], budget: f64, request: &RequestSample) -> bool {
    let mut demands: HashMap<u64, f64> = HashMap::new();
    for sample in samples {
        *demands.entry(sample.customer).or_default() += sample.work_ms();
    }
    let share = fair_share(demands.values().copied().collect(), budget);
    let class = request.class();
    let mut before = 0.0;
    let mut equal = 0.0;
    for sample in samples.iter().filter(|s| s.customer == request.customer) {
        match sample.class().cmp(&class) {
            std::cmp::Ordering::Less => before += sample.work_ms(),
            std::cmp::Ordering::Equal => equal += sample.work_ms(),
            std::cmp::Ordering::Greater => {}
        }
    }
    before + request.draw() * equal < share
}

/// Returns the largest share such that customers that get at most this much use up the budget.
fn fair_share(mut demands: Vec<f64>, budget: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = budget;
    let mut customers = demands.len();
    for demand in demands {
        let share = left / customers as f64;
        if demand > share {
            return share;
        }
        left -= demand;
        customers -= 1;
    }
    f64::INFINITY
}

/// Encodes the last field of a message without any bytes if it is empty.
pub(super) mod optional_tail {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::OverloadReport;

    /// Writes the reports, or nothing.
    pub(in super::super) fn serialize<S: Serializer>(
        reports: &[OverloadReport],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match reports.is_empty() {
            true => serializer.serialize_unit(),
            false => reports.serialize(serializer),
        }
    }

    /// Reads the reports; a message that ends before them has none.
    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<OverloadReport>, D::Error> {
        Ok(Vec::deserialize(deserializer).unwrap_or_default())
    }
}
