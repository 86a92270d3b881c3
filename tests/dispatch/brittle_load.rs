//! Simulates callers of a fleet before brittle upstreams with a capacity of 40 requests a second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, NoSlotReason, Placement, PlacementRequest, health::AttemptOutcome,
    heartbeat::Readiness,
};
use http::{HeaderMap, StatusCode};
use platform::{
    UpstreamId,
    headers::{RateLimit, ResponseHead},
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use serde_json::json;

use crate::{
    fleet::peer_address,
    support::{LIMITS, address, configuration, daemon, order, request, upstream_with},
};

/// Requests that all upstreams together can run in a second.
pub(crate) const CAPACITY: f64 = 40.0;
/// Time for which requests are counted.
pub(crate) const COUNTED_TIME: Duration = Duration::from_secs(20);

/// Upstreams that have the capacity together.
const UPSTREAMS: usize = 3;
const SLOTS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(300);
/// Refusals that an upstream bears in a second.
const MAX_REFUSALS: u32 = 3;
/// Time from the first answer of a brittle upstream until it may fail.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Interval between two looks of a waiting request for a slot.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a request waits, at most.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
const MAX_ATTEMPTS: usize = 2;

/// What became of the requests of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sent: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) crashes: usize,
}

struct Waiting {
    session: u64,
    daemon: usize,
    arrived_at: Instant,
    retries_at: Instant,
    tried: Vec<UpstreamId>,
    is_counted: bool,
}

struct Running {
    daemon: usize,
    upstream: usize,
    assignment: Assignment,
    ends_at: Instant,
    is_counted: bool,
}

struct Load {
    daemons: Vec<Dispatcher>,
    waiting: VecDeque<Waiting>,
    running: Vec<Running>,
    refused_at: Vec<Vec<Instant>>,
    outcome: Outcome,
    /// Number of daemons that have died, the first ones.
    dead: usize,
    /// Time since the start from which requests are counted.
    counted_from: Duration,
    start: Instant,
    now: Instant,
}

/// Time from the death of daemons until their shares must be used by others.
const DETECTION_TIME: Duration = Duration::from_secs(4);

/// Sends `load` requests a second through all daemons, `batch` of them at the same time.
pub(crate) fn run(size: usize, load: u32, batch: u32) -> Outcome {
    run_with(size, 0, UPSTREAMS, load, batch)
}

/// The same with this many times the upstreams.
pub(crate) fn run_with_upstreams(size: usize, times: usize, load: u32) -> Outcome {
    run_with(size, 0, UPSTREAMS * times, load, 1)
}

/// The same, while the first `deaths` daemons die; requests are counted once that must be known.
pub(crate) fn run_with_deaths(size: usize, deaths: usize, load: u32) -> Outcome {
    run_with(size, deaths, UPSTREAMS, load, 1)
}

fn run_with(size: usize, deaths: usize, upstreams: usize, load: u32, batch: u32) -> Outcome {
    let now = Instant::now();
    let mut fleet = Load {
        daemons: (0..size).map(|n| new_daemon(n, upstreams, now)).collect(),
        waiting: VecDeque::new(),
        running: Vec::new(),
        refused_at: vec![Vec::new(); upstreams],
        outcome: Outcome::default(),
        dead: 0,
        counted_from: CONTACT_TIME,
        start: now,
        now,
    };
    fleet.exchange_heartbeats();
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(7);
    let interval = Duration::from_secs_f64(f64::from(batch) / f64::from(load));
    let (mut next_batch, mut next_heartbeat) = (now, now);
    if deaths > 0 {
        fleet.counted_from += DETECTION_TIME;
    }
    let counted_until = fleet.counted_from + COUNTED_TIME;
    let mut session = 0;
    while fleet.elapsed() < counted_until + MAX_WAIT + RUN_TIME {
        if fleet.elapsed() >= CONTACT_TIME && fleet.dead < deaths {
            fleet.kill(deaths);
        }
        if fleet.now >= next_heartbeat {
            next_heartbeat += HEARTBEAT_PERIOD;
            fleet.exchange_heartbeats();
        }
        while fleet.now >= next_batch && fleet.elapsed() < counted_until {
            for _ in 0..batch {
                session += 1;
                fleet.arrive(session, rng.random_range(fleet.dead..size));
            }
            // Single requests come at random times.
            let factor = if batch == 1 {
                2.0 * rng.random::<f64>()
            } else {
                1.0
            };
            next_batch += interval.mul_f64(factor);
        }
        fleet.end_runs();
        fleet.place_waiting();
        fleet.now += STEP;
    }
    fleet.outcome
}

fn new_daemon(n: usize, upstreams: usize, now: Instant) -> Dispatcher {
    let rows: Vec<_> = (0..upstreams)
        .map(|u| {
            let fields = [("slots", json!(SLOTS)), ("service", json!("desk"))];
            upstream_with(&format!("u{u}"), u as u64 + 1, &fields)
        })
        .collect();
    let me = daemon(&format!("front-{n}"));
    let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, n as u64);
    order(&mut dispatcher, &configuration(1), now);
    dispatcher.registry.replace(&rows, now);
    dispatcher
}

fn brittle_head() -> ResponseHead {
    ResponseHead {
        max_refusals: Some(RateLimit::PerKilosecond(MAX_REFUSALS * 1_000)),
        ..ResponseHead::decode(StatusCode::OK, &HeaderMap::new(), None)
    }
}

impl Load {
    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now;
        for n in self.dead..self.daemons.len() {
            let told = self.daemons[n].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
            for other in (self.dead..self.daemons.len()).filter(|other| *other != n) {
                self.daemons[other].receive_heartbeat(told.clone(), peer_address(n), now);
            }
        }
        for daemon in &mut self.daemons {
            daemon.tick(now);
        }
    }

    /// Kills daemons; the upstreams release their slots.
    fn kill(&mut self, deaths: usize) {
        self.dead = deaths;
        self.running.retain(|run| run.daemon >= deaths);
        self.waiting.retain(|waiting| waiting.daemon >= deaths);
    }

    fn arrive(&mut self, session: u64, daemon: usize) {
        let is_counted = self.elapsed() >= self.counted_from;
        self.outcome.sent += usize::from(is_counted);
        self.waiting.push_back(Waiting {
            session,
            daemon,
            arrived_at: self.now,
            retries_at: self.now,
            tried: Vec::new(),
            is_counted,
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        for mut run in self.running.extract_if(.., |run| run.ends_at <= now) {
            let daemon = &mut self.daemons[run.daemon];
            daemon.record_announcements(&run.assignment, &brittle_head(), now);
            daemon.response_started(&mut run.assignment, RUN_TIME);
            daemon.release(&run.assignment, AttemptOutcome::Served, now);
            self.outcome.served += usize::from(run.is_counted);
        }
    }

    fn place_waiting(&mut self) {
        let now = self.now;
        for mut waiting in std::mem::take(&mut self.waiting) {
            if now - waiting.arrived_at > MAX_WAIT || waiting.tried.len() >= MAX_ATTEMPTS {
                continue;
            }
            if waiting.retries_at <= now && self.place(&mut waiting) {
                continue;
            }
            self.waiting.push_back(waiting);
        }
    }

    /// Tries to place a request; returns whether an upstream runs it.
    fn place(&mut self, waiting: &mut Waiting) -> bool {
        let now = self.now;
        let desk = PlacementRequest {
            service: "desk",
            route: "open",
            tried: &waiting.tried,
            ..request(waiting.session)
        };
        let daemon = &mut self.daemons[waiting.daemon];
        let assignment = match daemon.select_upstream(&desk, now) {
            Placement::Assigned(assignment) => *assignment,
            Placement::Refuse(NoSlotReason::NoShare, _) => {
                let holder = daemon.choose_delegate_for("desk", &[], now);
                let holder = holder.map(|h| usize::from(h.address.port() - peer_address(0).port()));
                let Some(holder) = holder.filter(|holder| *holder >= self.dead) else {
                    waiting.retries_at = now + WAIT_INTERVAL;
                    return false;
                };
                waiting.daemon = holder;
                return self.place(waiting);
            }
            _ => {
                waiting.retries_at = now + WAIT_INTERVAL;
                return false;
            }
        };
        let upstream: usize = assignment.upstream[1..].parse().expect("an index");
        let in_use = self.running.iter().filter(|r| r.upstream == upstream);
        if in_use.count() >= SLOTS {
            daemon.record_announcements(&assignment, &brittle_head(), now);
            daemon.release(&assignment, AttemptOutcome::Refused, now);
            waiting.tried.push(assignment.upstream);
            self.refuse(upstream);
            return false;
        }
        self.running.push(Running {
            daemon: waiting.daemon,
            upstream,
            assignment,
            ends_at: now + RUN_TIME,
            is_counted: waiting.is_counted,
        });
        true
    }

    fn refuse(&mut self, upstream: usize) {
        let (now, elapsed) = (self.now, self.elapsed());
        self.outcome.refused += 1;
        let refused_at = &mut self.refused_at[upstream];
        refused_at.push(now);
        refused_at.retain(|at| now - *at < Duration::from_secs(1));
        if refused_at.len() > MAX_REFUSALS as usize && elapsed >= CONTACT_TIME {
            self.outcome.crashes += 1;
            refused_at.clear();
        }
    }
}
