//! How long upstreams usually take to begin a response, and when an attempt counts as late.
//!
//! Load pattern: a service is slower than its objective, always or for a while, and nothing is broken. If the objective
//! alone decided, each request would be sent to several upstreams one after the other, which get a multiple of
//! their load just when they are slow. If one upstream is slow or silent among others, its requests are late by
//! what the others take.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use platform::ServiceName;

use crate::coordination::dispatch::{Dispatcher, assignment::Assignment, cold};

/// Fraction of the latency objective after which an attempt may be late.
const OBJECTIVE_FRACTION: f64 = 0.8;
/// Multiple of the expected wait that an attempt may take in addition.
const EXPECTED_FACTOR: u32 = 4;
/// Multiple of the usual time of a service after which an attempt is late.
const USUAL_FACTOR: f64 = 1.5;
/// Quantile of an upstream's times that counts as its usual time.
const USUAL_QUANTILE: f64 = 0.9;
/// Number of times below which an upstream's usual time is not known.
const MIN_SAMPLES: u32 = 3;
/// Maximum number of routes whose times are kept for an upstream.
const MAX_ROUTES: usize = 16;
/// Time after which the older half of the samples is forgotten.
const WINDOW: Duration = Duration::from_secs(10);
/// Fraction of a service's upstreams that are late at a time from which on the service counts as slow.
const SLOW_FRACTION: f64 = 0.5;
/// Maximum number of further attempts per request while a service is slow.
const MAX_EXTRA_FRACTION: f64 = 0.03;
/// Number of further attempts of slow services that are saved up at most.
const MAX_SAVED_EXTRA: f64 = 3.0;
/// Number of buckets of a histogram; the last one is for all longer times.
const BUCKETS: usize = 40;
/// Upper bound of the first bucket in seconds.
const FIRST_BUCKET_S: f64 = 0.008;
/// Ratio between the upper bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 1.25;

/// Hash of a route's name.
type RouteHash = u32;

/// The times that one upstream took for the requests of each route.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    routes: BTreeMap<RouteHash, Sketch>,
    /// Whether an attempt was late and no response has begun since.
    is_late: bool,
}

/// The further attempts that slow services may get.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttempts(HashMap<ServiceName, f64>);

impl ExtraAttempts {
    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str) {
        let saved = match self.0.get_mut(service) {
            Some(saved) => saved,
            None => self.0.entry(service.into()).or_default(),
        };
        *saved = (*saved + MAX_EXTRA_FRACTION).min(MAX_SAVED_EXTRA);
    }

    /// Takes a further attempt if one is left.
    fn take(&mut self, service: &str) -> bool {
        let Some(saved) = self.0.get_mut(service).filter(|saved| **saved >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }
}

impl ResponseTimes {
    /// Records the time after which a response began.
    pub fn record_response(&mut self, route: RouteHash, took: Duration, now: Instant) {
        self.is_late = false;
        self.record(route, took, now);
    }

    fn record(&mut self, route: RouteHash, took: Duration, now: Instant) {
        if !self.routes.contains_key(&route) && self.routes.len() >= MAX_ROUTES {
            let stalest = self.routes.iter().min_by_key(|(_, sketch)| sketch.since);
            let stalest = stalest.map(|(route, _)| *route);
            self.routes.retain(|route, _| Some(*route) != stalest);
        }
        let sketch = self.routes.entry(route).or_insert_with(|| Sketch::new(now));
        sketch.record(took, now);
    }

    /// Returns the time that nearly all recent responses of a route took; `None` if there were too few.
    pub fn usual(&self, route: RouteHash, now: Instant) -> Option<Duration> {
        self.routes.get(&route)?.usual(now)
    }
}

/// Histograms of the times in the current window and in the one before.
#[derive(Clone, Debug)]
struct Sketch {
    since: Instant,
    current: [u16; BUCKETS],
    previous: [u16; BUCKETS],
}

impl Sketch {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            current: [0; BUCKETS],
            previous: [0; BUCKETS],
        }
    }

    fn record(&mut self, took: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age >= WINDOW {
            let ended = std::mem::replace(&mut self.current, [0; BUCKETS]);
            self.previous = if age < WINDOW * 2 {
                ended
            } else {
                [0; BUCKETS]
            };
            self.since = now;
        }
        let count = &mut self.current[bucket(took)];
        *count = count.saturating_add(1);
    }

    fn usual(&self, now: Instant) -> Option<Duration> {
        if now.saturating_duration_since(self.since) >= WINDOW * 2 {
            return None;
        }
        let counts = self.current.iter().zip(&self.previous);
        let counts = counts.map(|(current, previous)| u32::from(*current) + u32::from(*previous));
        let total: u32 = counts.clone().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let rank = f64::from(total) * USUAL_QUANTILE;
        let mut seen = 0;
        let mut counts = counts;
        let bucket = counts.position(|count| {
            seen += count;
            f64::from(seen) >= rank
        });
        bucket.map(upper_bound)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the number of buckets"
)]
fn bucket(time: Duration) -> usize {
    let steps = (time.as_secs_f64() / FIRST_BUCKET_S)
        .log(BUCKET_FACTOR)
        .ceil();
    steps.clamp(0.0, (BUCKETS - 1) as f64) as usize
}

fn upper_bound(bucket: usize) -> Duration {
    let steps = i32::try_from(bucket).unwrap_or(i32::MAX);
    Duration::from_secs_f64(FIRST_BUCKET_S * BUCKET_FACTOR.powi(steps))
}

impl Dispatcher {
    /// Returns how long an attempt may take before it counts as late.
    pub fn late_after(
        &self,
        assignment: &Assignment,
        objective: Duration,
        now: Instant,
    ) -> Duration {
        let expected = assignment.expected_first_event() * EXPECTED_FACTOR;
        let by_objective = objective.mul_f64(OBJECTIVE_FRACTION) + expected;
        let usual = self.usual_time(&assignment.service, assignment.route, now);
        usual.map_or(by_objective, |usual| {
            by_objective.max(usual.mul_f64(USUAL_FACTOR))
        })
    }

    /// Returns whether another attempt may be made of a request whose attempt is late. If most upstreams of the service
    /// are late, another one helps nobody and few are made.
    pub fn may_try_another(&mut self, assignment: &Assignment, now: Instant) -> bool {
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            upstream.times.is_late = true;
        }
        let service = &assignment.service;
        let listed = self.listed(service, now).count();
        let late = self.listed(service, now).filter(|u| u.times.is_late);
        let is_slow = cold::count(late.count()) > cold::count(listed) * SLOW_FRACTION;
        !is_slow || self.extra_attempts.take(service)
    }

    /// Records that an attempt has been late and was given up.
    pub fn record_late(&mut self, assignment: &Assignment, waited: Duration, now: Instant) {
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            upstream.times.record(assignment.route, waited, now);
        }
    }

    /// Returns the usual time of the upstreams of a service for a route: the median of their usual times, so that
    /// it does not follow a few slow ones.
    fn usual_time(&self, service: &str, route: RouteHash, now: Instant) -> Option<Duration> {
        let listed = self.listed(service, now);
        let mut usual: Vec<Duration> = listed
            .filter_map(|upstream| upstream.times.usual(route, now))
            .collect();
        usual.sort_unstable();
        let middle = usual.len().checked_sub(1)? / 2;
        usual.get(middle).copied()
    }
}
