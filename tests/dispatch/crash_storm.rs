//! Replays a fleet whose upstreams crash, in virtual time: under requests that share a segment of their
//! prompts, or for reasons of their own.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::poison::{
    PoisonTracker, StopSource, Suspects, fingerprint, suspects,
};
use platform::headers::{Prompt, PromptSegment};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

/// Number of seeds of each case.
const SEEDS: u64 = 20;
const DAEMONS: usize = 8;
const UPSTREAMS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const RUN_LENGTH: Duration = Duration::from_secs(30);
/// When crashes begin.
const ONSET: Duration = Duration::from_secs(5);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Time from a crash until the upstream is back as another incarnation.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Requests in each step, on average.
const SOUND_PER_STEP: f64 = 0.6;
const CRASHING_PER_STEP: f64 = 0.03;
const MAX_ATTEMPTS: u32 = 3;
/// Probability that a run is dropped for one of a larger model as soon as it has begun.
const DROP_PROBABILITY: f64 = 0.4;
/// Segment that crashes the upstreams.
const CRASHING: u64 = 0xbad;
/// Number of crashes after which the fleet must act, and the time in which it must.
const CRASHES: usize = 5;
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Number of crashing requests that may reach upstreams after that.
const MAX_LATE_ARRIVALS: usize = 3;

#[derive(Clone)]
struct Request {
    suspects: Suspects,
    daemon: usize,
    crashing: bool,
    attempts: u32,
    dropped_before: bool,
}

struct Run {
    request: Request,
    upstream: usize,
    sent_at: Instant,
    begins: Instant,
    ends: Instant,
    begun: bool,
}

struct Upstream {
    restarts: u64,
    back_at: Option<Instant>,
    crashes_at: Option<Instant>,
}

struct Fleet {
    rng: Xoshiro128PlusPlus,
    start: Instant,
    now: Instant,
    daemons: Vec<PoisonTracker>,
    upstreams: Vec<Upstream>,
    runs: Vec<Run>,
    requests: u64,
    /// Position of the crashing segment in its prompts.
    depth: usize,
    /// When crashes begin.
    onset: Duration,
    /// Number of routes, each with a first segment of its own.
    routes: u64,
    crashes: Vec<Instant>,
    crashing_arrivals: Vec<Instant>,
    /// Sound requests of the route with crashing ones, by whether they were refused.
    sound: BTreeMap<bool, Vec<Instant>>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
        let start = Instant::now();
        let depth = rng.random_range(0..3);
        let upstream = || Upstream {
            restarts: 0,
            back_at: None,
            crashes_at: None,
        };
        Self {
            rng,
            start,
            now: start,
            daemons: (0..DAEMONS).map(|_| PoisonTracker::default()).collect(),
            upstreams: (0..UPSTREAMS).map(|_| upstream()).collect(),
            runs: Vec::new(),
            requests: 0,
            depth,
            onset: ONSET,
            routes: 3,
            crashes: Vec::new(),
            crashing_arrivals: Vec::new(),
            sound: BTreeMap::new(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Draws a request: a segment of its route, one of a subject, one of a smaller group, its own.
    fn draw_request(&mut self, crashing: bool) -> Request {
        self.requests += 1;
        let route = if crashing {
            0
        } else {
            self.rng.random_range(0..self.routes)
        };
        let subject = 100 + 100 * route + self.rng.random_range(0..10);
        let group = 10_000 + 100 * subject + self.rng.random_range(0..5);
        let mut segments = vec![1 + route, subject, group];
        if crashing {
            segments[self.depth] = CRASHING;
        }
        segments.push(0x1000_0000 + self.requests);
        let segments = segments
            .into_iter()
            .map(|id| PromptSegment { id, tokens: 9 });
        let prompt = Prompt {
            segments: segments.collect(),
            ..Prompt::default()
        };
        let body = self.requests.to_le_bytes();
        Request {
            suspects: suspects(fingerprint(Some("t1"), "/a/", [&body]), Some(&prompt)),
            daemon: self.rng.random_range(0..DAEMONS),
            crashing,
            attempts: 0,
            dropped_before: false,
        }
    }

    fn id(&self, upstream: usize) -> String {
        format!("u{upstream}-{}", self.upstreams[upstream].restarts)
    }

    fn incarnation(&self, upstream: usize) -> u64 {
        fingerprint(None, &self.id(upstream), [b""])
    }

    /// Sends a request to an upstream that accepts connections, unless it is refused.
    fn send(&mut self, mut request: Request) {
        let is_first = request.attempts == 0;
        let is_refused = self.daemons[request.daemon]
            .poison(&request.suspects)
            .is_some();
        if is_first && !request.crashing {
            self.sound.entry(is_refused).or_default().push(self.now);
        }
        if is_refused || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        for _ in 0..4 {
            let upstream = self.rng.random_range(0..UPSTREAMS);
            if self.upstreams[upstream].back_at.is_some() {
                let id = self.id(upstream);
                self.daemons[request.daemon].upstream_stopped(&id, StopSource::Own, self.now);
                continue;
            }
            request.attempts += 1;
            if request.crashing {
                self.crashing_arrivals.push(self.now);
            }
            let begins = self.now + Duration::from_millis(self.rng.random_range(50..400));
            let ends = begins + Duration::from_millis(self.rng.random_range(100..2_000));
            self.runs.push(Run {
                request,
                upstream,
                sent_at: self.now,
                begins,
                ends,
                begun: false,
            });
            return;
        }
    }

    fn begin_runs(&mut self) {
        let mut again = Vec::new();
        for index in (0..self.runs.len()).rev() {
            let run = &self.runs[index];
            if run.begun || run.begins > self.now {
                continue;
            }
            let (upstream, daemon) = (run.upstream, run.request.daemon);
            let (id, incarnation) = (self.id(upstream), self.incarnation(upstream));
            let (suspects, sent_at) = (
                self.runs[index].request.suspects.clone(),
                self.runs[index].sent_at,
            );
            let id = id.as_str().into();
            self.daemons[daemon].run_began(&id, incarnation, &suspects, sent_at, self.now);
            if self.runs[index].request.crashing {
                let delay = Duration::from_millis(self.rng.random_range(20..90));
                let crash = &mut self.upstreams[upstream].crashes_at;
                *crash = Some(crash.map_or(self.now + delay, |at| at.min(self.now + delay)));
            }
            self.runs[index].begun = true;
            let is_dropped =
                !self.runs[index].request.dropped_before && self.rng.random_bool(DROP_PROBABILITY);
            if is_dropped {
                let mut request = self.runs.swap_remove(index).request;
                request.dropped_before = true;
                again.push(request);
            }
        }
        let now = self.now;
        for run in self.runs.extract_if(.., |run| run.ends <= now) {
            self.daemons[run.request.daemon].run_completed(&run.request.suspects, now);
        }
        for request in again {
            self.send(request);
        }
    }

    fn crash(&mut self, upstream: usize) {
        let (id, incarnation) = (self.id(upstream), self.incarnation(upstream));
        self.crashes.push(self.now);
        self.upstreams[upstream].crashes_at = None;
        self.upstreams[upstream].back_at = Some(self.now + DOWN_TIME);
        let broken: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.upstream == upstream)
            .collect();
        for run in &broken {
            let tracker = &mut self.daemons[run.request.daemon];
            tracker.connection_broken(
                &id.as_str().into(),
                incarnation,
                &run.request.suspects,
                self.now,
            );
        }
        for run in broken {
            self.send(run.request);
        }
    }

    fn step_upstreams(&mut self) {
        for upstream in 0..UPSTREAMS {
            let state = &mut self.upstreams[upstream];
            if state.back_at.is_some_and(|at| at <= self.now) {
                state.back_at = None;
                state.restarts += 1;
            }
            if state.back_at.is_none() && state.crashes_at.is_some_and(|at| at <= self.now) {
                self.crash(upstream);
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        let reports: Vec<_> = self.daemons.iter().map(|d| d.reports(self.now)).collect();
        for (receiver, tracker) in self.daemons.iter_mut().enumerate() {
            for (sender, report) in reports.iter().enumerate() {
                if sender != receiver {
                    tracker.merge(report, self.now);
                }
            }
            tracker.expire(self.now);
        }
    }

    fn arrivals(&mut self, per_step: f64) -> usize {
        usize::from(self.rng.random_bool(per_step))
    }

    /// Plays a run; `disturb` is called in each step after the onset.
    fn play(&mut self, mut disturb: impl FnMut(&mut Self)) {
        let mut next_heartbeat = self.now;
        while self.elapsed() < RUN_LENGTH {
            self.now += STEP;
            self.step_upstreams();
            self.begin_runs();
            for _ in 0..self.arrivals(SOUND_PER_STEP) {
                let request = self.draw_request(false);
                self.send(request);
            }
            if self.elapsed() > self.onset {
                disturb(self);
            }
            if self.now >= next_heartbeat {
                self.exchange_heartbeats();
                next_heartbeat = self.now + HEARTBEAT_PERIOD;
            }
        }
    }

    /// Returns how many crashing requests arrived too late.
    fn late_arrivals(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES - 1) else {
            return 0;
        };
        let arrivals = self.crashing_arrivals.iter();
        arrivals.filter(|at| **at > *fifth + REACTION_TIME).count()
    }

    /// Returns the share of sound requests that were refused after a time.
    fn refused_share(&self, since: Instant) -> f64 {
        let count = |refused| {
            let sent = self.sound.get(&refused).into_iter().flatten();
            sent.filter(|at| **at >= since).count() as f64
        };
        let (refused, sent) = (count(true), count(false));
        refused / (refused + sent).max(1.0)
    }
}

fn send_crashing(fleet: &mut Fleet) {
    for _ in 0..fleet.arrivals(CRASHING_PER_STEP) {
        let request = fleet.draw_request(true);
        fleet.send(request);
    }
}

/// Asserts what must hold while crashing requests come.
fn assert_contained(fleet: &Fleet, seed: u64) {
    let late = fleet.late_arrivals();
    assert!(late <= MAX_LATE_ARRIVALS, "seed {seed}: {late} late");
    let decisive = fleet.crashes.len().min(CRASHES);
    assert!(decisive > 0, "seed {seed}: no crash");
    let last = fleet.crashes[decisive - 1];
    let refused = fleet.refused_share(last + REACTION_TIME * 2);
    assert!(
        refused < 0.5,
        "seed {seed}: {refused} of sound requests refused"
    );
}

#[test]
fn crashing_segment_is_contained() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play(send_crashing);
        assert_contained(&fleet, seed);
    }
}

/// All requests share their first segment, and the daemons have just started: nothing is known to be
/// sound. Requests with that segment were refused for good.
#[test]
fn first_segment_of_all_requests_stays_in_use_from_the_start() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.depth = 1 + fleet.depth % 2;
        fleet.onset = Duration::ZERO;
        fleet.routes = 1;
        fleet.play(send_crashing);
        let last = fleet.crashes[fleet.crashes.len().min(CRASHES) - 1];
        let refused = fleet.refused_share(last + REACTION_TIME * 2);
        assert!(refused <= 0.05, "seed {seed}: {refused} refused");
        assert_contained(&fleet, seed);
    }
}

/// What a daemon knows is lost at its restart; the others tell it.
#[test]
fn crashing_segment_is_contained_while_daemons_restart() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play(|fleet| {
            send_crashing(fleet);
            if fleet.rng.random_bool(0.005) {
                let daemon = fleet.rng.random_range(0..DAEMONS);
                fleet.daemons[daemon] = PoisonTracker::default();
            }
        });
        assert_contained(&fleet, seed);
    }
}

/// Up to a third of the upstreams crash together, again and again.
#[test]
fn crashes_without_cause_refuse_no_request() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play(|fleet| {
            if fleet.rng.random_bool(0.003) {
                for upstream in 0..UPSTREAMS / 3 {
                    let at = &mut fleet.upstreams[upstream];
                    at.crashes_at = at.back_at.is_none().then_some(fleet.now);
                }
            }
        });
        assert!(!fleet.crashes.is_empty(), "seed {seed}");
        let refused = fleet.refused_share(fleet.start);
        assert!(refused == 0.0, "seed {seed}: {refused} refused");
    }
}
