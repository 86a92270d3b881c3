//! A simulated fleet of daemons in front of engines that are offered twice their capacity.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::{
    admission::WaiterId,
    dispatch::{
        Assignment, Dispatcher, Placement, PlacementRequest,
        health::AttemptOutcome,
        heartbeat::Readiness,
        waiting::{AdmissionRequest, Admitted},
    },
};
use platform::{UpstreamId, headers::Prompt};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use serde_json::json;

use crate::{
    fleet::{peer_address, prompt_of},
    support::{LIMITS, address, configuration, daemon, order, upstream_with},
};

/// Slots of each engine.
pub(crate) const SLOTS: u32 = 16;
/// Requests that an engine queues beyond its slots.
const ENGINE_QUEUE: usize = 3;
/// Time that an engine takes for a token of a response.
const TIME_PER_TOKEN: Duration = Duration::from_millis(20);
/// Tokens of a response of average length.
pub(crate) const TOKENS: u32 = 100;
/// Maximum number of engines that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Minimum time between two starts of waiting requests that heartbeats cause.
const PUMP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two ticks of a daemon.
const TICK: Duration = Duration::from_millis(250);

/// One kind of requests.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) customer: &'static str,
    pub(crate) priority: u8,
    /// Arrivals per second in the whole fleet.
    pub(crate) rate: f64,
    pub(crate) tokens: u32,
    pub(crate) deadline: Duration,
    /// When its requests arrive.
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// How a fleet is built.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Load of the first daemon as a multiple of another one's.
    pub(crate) first_daemon: f64,
    /// Whether the two halves of the fleet do not hear each other.
    pub(crate) halved: bool,
    /// Time between heartbeats, if it is not the usual one.
    pub(crate) heartbeat_period: Option<Duration>,
    pub(crate) classes: Vec<Class>,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Pending,
    Served,
    Late,
    Rejected(Duration),
    Failed,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) daemon: usize,
    pub(crate) arrived: Duration,
    /// When it was served or given up.
    pub(crate) ended: Duration,
    pub(crate) fate: Fate,
    waiter: Option<WaiterId>,
    tried: Vec<UpstreamId>,
    assignment: Option<Assignment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    LatestStart(usize),
    Finished(usize, usize),
    Heartbeat(usize),
    Tick(usize),
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: u32,
    queue: BTreeMap<(u8, usize), ()>,
}

pub(crate) struct Run {
    scene: Scene,
    start: Instant,
    daemons: Vec<Dispatcher>,
    /// When each daemon last tried to start waiting requests.
    pumped_at: Vec<Instant>,
    engines: Vec<Engine>,
    pub(crate) requests: Vec<Request>,
    waiters: HashMap<(usize, WaiterId), usize>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Busy time of the engines by end of the request.
    pub(crate) busy: Vec<(Duration, Duration)>,
    rng: Xoshiro128PlusPlus,
    prompts: Vec<Prompt>,
}

impl Run {
    /// Plays a scene to its end.
    pub(crate) fn play(scene: Scene) -> Self {
        let mut run = Self::new(scene);
        let end = run.start + run.scene.duration;
        while let Some(Reverse((now, event))) = run.events.pop() {
            if now > end {
                break;
            }
            run.handle(event, now);
        }
        run
    }

    fn new(scene: Scene) -> Self {
        let start = Instant::now();
        let rows: Vec<_> = (0..scene.engines)
            .map(|n| upstream_with(&n.to_string(), 1, &[("slots", json!(SLOTS))]))
            .collect();
        let daemons = (0..scene.daemons).zip(scene.seed..).map(|(n, seed)| {
            let me = daemon(&format!("front-{n}"));
            let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, seed);
            order(&mut dispatcher, &configuration(1), start);
            dispatcher.registry.replace(&rows, start);
            dispatcher
        });
        let prompts = scene.classes.iter().map(|class| Prompt {
            max_output_tokens: class.tokens,
            ..prompt_of(&[])
        });
        let mut run = Self {
            start,
            pumped_at: vec![start; scene.daemons],
            daemons: daemons.collect(),
            engines: vec![Engine::default(); scene.engines],
            requests: Vec::new(),
            waiters: HashMap::new(),
            events: BinaryHeap::new(),
            busy: Vec::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(scene.seed),
            prompts: prompts.collect(),
            scene,
        };
        // All daemons have heard each other before the load begins.
        for n in 0..run.daemons.len() {
            run.heartbeat(n, start);
        }
        for n in 0..run.daemons.len() {
            let first = run.period(n).mul_f64(run.rng.random());
            run.push(start + first, Event::Heartbeat(n));
            let first = TICK.mul_f64(run.rng.random());
            run.push(start + first, Event::Tick(n));
        }
        for class in 0..run.scene.classes.len() {
            let from = run.scene.classes[class].from;
            run.push_arrival(class, start + from);
        }
        run
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn push_arrival(&mut self, class: usize, after: Instant) {
        let Class { rate, until, .. } = self.scene.classes[class];
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        let at = after + Duration::from_secs_f64(pause);
        if at < self.start + until {
            self.push(at, Event::Arrival(class));
        }
    }

    fn period(&self, daemon: usize) -> Duration {
        let usual = self.daemons[daemon].peers.heartbeat_period();
        self.scene.heartbeat_period.unwrap_or(usual)
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival(class) => {
                self.push_arrival(class, now);
                self.arrive(class, now);
            }
            Event::LatestStart(request) => {
                if let Some(id) = self.requests[request].waiter {
                    self.place_waiting(request, id, now);
                }
            }
            Event::Finished(request, attempt) => self.finish(request, attempt, now),
            Event::Heartbeat(n) => {
                self.heartbeat(n, now);
                self.push(now + self.period(n), Event::Heartbeat(n));
            }
            Event::Tick(n) => {
                self.daemons[n].tick(now);
                self.pump(n, now);
                self.review(n, now);
                self.push(now + TICK, Event::Tick(n));
            }
        }
    }

    fn heartbeat(&mut self, from: usize, now: Instant) {
        let message =
            self.daemons[from].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
        let half = self.daemons.len() / 2;
        for n in 0..self.daemons.len() {
            let is_cut = self.scene.halved && (n < half) != (from < half);
            if n != from && !is_cut {
                self.daemons[n].receive_heartbeat(message.clone(), peer_address(from), now);
                if now >= self.pumped_at[n] + PUMP_INTERVAL {
                    self.pump(n, now);
                }
            }
        }
    }

    /// Draws the daemon that a request reaches.
    fn draw_daemon(&mut self) -> usize {
        let others = (self.daemons.len() - 1) as f64;
        let draw = self.rng.random::<f64>() * (self.scene.first_daemon + others);
        match draw < self.scene.first_daemon {
            true => 0,
            false => ((draw - self.scene.first_daemon) as usize + 1).min(self.daemons.len() - 1),
        }
    }

    fn arrive(&mut self, class: usize, now: Instant) {
        let daemon = self.draw_daemon();
        self.requests.push(Request {
            class,
            daemon,
            arrived: now - self.start,
            ended: now - self.start,
            fate: Fate::Pending,
            waiter: None,
            tried: Vec::new(),
            assignment: None,
        });
        self.admit(self.requests.len() - 1, now);
    }

    fn with_request<T>(
        &mut self,
        n: usize,
        now: Instant,
        act: impl FnOnce(&mut Dispatcher, &AdmissionRequest<'_>) -> T,
    ) -> T {
        let request = &self.requests[n];
        let class = &self.scene.classes[request.class];
        let deadline = self.start + request.arrived + class.deadline;
        let route = ["ask", "ask-long"][usize::from(class.priority.min(1))];
        let admission = AdmissionRequest {
            placement: PlacementRequest {
                service: "pool",
                route,
                session: xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes()),
                model: Some("small"),
                prompt: Some(&self.prompts[request.class]),
                body_bytes: 100,
                tried: &request.tried,
                remaining: deadline.saturating_duration_since(now),
            },
            customer: class.customer,
            priority: class.priority,
            sent_before: !request.tried.is_empty(),
            has_run: false,
        };
        act(&mut self.daemons[request.daemon], &admission)
    }

    fn admit(&mut self, n: usize, now: Instant) {
        let admitted = self.with_request(n, now, |d, request| d.admit(request, now));
        self.apply(n, admitted, now);
    }

    fn place_waiting(&mut self, n: usize, id: WaiterId, now: Instant) -> bool {
        let admitted = self.with_request(n, now, |d, request| d.place_waiting(id, request, now));
        self.apply(n, admitted, now)
    }

    /// Returns whether the request no longer waits.
    fn apply(&mut self, n: usize, admitted: Admitted, now: Instant) -> bool {
        let elapsed = now - self.start;
        self.requests[n].ended = elapsed;
        let waited = self.requests[n].waiter;
        if let (Some(id), false) = (waited, matches!(admitted, Admitted::Waiting(..))) {
            self.waiters.remove(&(self.requests[n].daemon, id));
        }
        match admitted {
            Admitted::Placed(Placement::Assigned(assignment)) => {
                self.requests[n].waiter = None;
                self.send(n, *assignment, now);
            }
            Admitted::Placed(_) => {
                self.requests[n].waiter = None;
                self.requests[n].fate = Fate::Failed;
            }
            Admitted::Rejected(rejection) => {
                self.requests[n].waiter = None;
                self.requests[n].fate = Fate::Rejected(rejection.retry_after);
            }
            Admitted::Waiting(id, _) => {
                let is_new = self.requests[n].waiter.replace(id).is_none();
                if is_new {
                    self.waiters.insert((self.requests[n].daemon, id), n);
                    let daemon = &self.daemons[self.requests[n].daemon];
                    let latest = daemon.latest_start("pool", id).expect("it waits");
                    let after = latest + Duration::from_millis(1);
                    self.push(after, Event::LatestStart(n));
                }
                return false;
            }
        }
        true
    }

    /// Starts the waiting requests of a daemon for which there is room.
    fn pump(&mut self, daemon: usize, now: Instant) {
        self.pumped_at[daemon] = now;
        let mut next = self.daemons[daemon].wake_waiting("pool", now);
        while let Some(id) = next {
            let n = self.waiters[&(daemon, id)];
            let has_left = self.place_waiting(n, id, now);
            let following = self.daemons[daemon].next_waiting("pool", now);
            next = following.filter(|following| has_left || *following != id);
        }
    }

    /// Looks at each waiting request of a daemon, as its task does a few times a second.
    fn review(&mut self, daemon: usize, now: Instant) {
        let waiting = self
            .waiters
            .iter()
            .filter(|((owner, id), n)| *owner == daemon && self.requests[**n].waiter == Some(*id));
        let mut waiting: Vec<(usize, WaiterId)> = waiting.map(|((_, id), n)| (*n, *id)).collect();
        waiting.sort_unstable();
        for (n, id) in waiting {
            self.place_waiting(n, id, now);
        }
    }

    fn send(&mut self, n: usize, assignment: Assignment, now: Instant) {
        let engine: usize = assignment.upstream.parse().expect("a number");
        let class = &self.scene.classes[self.requests[n].class];
        let priority = class.priority;
        self.requests[n].tried.push(assignment.upstream.clone());
        self.requests[n].assignment = Some(assignment);
        if self.engines[engine].running < SLOTS {
            self.run(n, engine, now);
        } else if self.engines[engine].queue.len() < ENGINE_QUEUE {
            self.engines[engine].queue.insert((priority, n), ());
            let deadline = self.start + self.requests[n].arrived + class.deadline;
            let attempt = self.requests[n].tried.len();
            self.push(deadline, Event::Finished(n, attempt));
        } else {
            self.release(n, AttemptOutcome::Refused, now);
            if self.requests[n].tried.len() < MAX_ATTEMPTS {
                self.admit(n, now);
            } else {
                self.requests[n].fate = Fate::Failed;
            }
        }
    }

    fn run(&mut self, n: usize, engine: usize, now: Instant) {
        self.engines[engine].running += 1;
        let class = &self.scene.classes[self.requests[n].class];
        let run_time = TIME_PER_TOKEN * class.tokens;
        let deadline = self.start + self.requests[n].arrived + class.deadline;
        let end = (now + run_time).min(deadline);
        self.requests[n].fate = match now + run_time <= deadline {
            true => Fate::Served,
            false => Fate::Late,
        };
        self.busy
            .push((end - self.start, end.saturating_duration_since(now)));
        let attempt = self.requests[n].tried.len();
        self.push(end, Event::Finished(n, attempt));
        let daemon = self.requests[n].daemon;
        let request = &mut self.requests[n];
        if let Some(assignment) = request.assignment.as_mut() {
            let age = assignment.age(now);
            self.daemons[daemon].response_started(assignment, age);
        }
    }

    fn finish(&mut self, n: usize, attempt: usize, now: Instant) {
        let request = &self.requests[n];
        if request.tried.len() != attempt || request.assignment.is_none() {
            return;
        }
        let engine: usize = request.tried[attempt - 1].parse().expect("a number");
        let priority = self.scene.classes[request.class].priority;
        if self.engines[engine].queue.remove(&(priority, n)).is_some() {
            self.requests[n].fate = Fate::Late;
        } else {
            self.engines[engine].running -= 1;
            if let Some(((_, next), ())) = self.engines[engine].queue.pop_first() {
                self.run(next, engine, now);
            }
        }
        self.requests[n].ended = now - self.start;
        let outcome = match self.requests[n].fate {
            Fate::Served => AttemptOutcome::Served,
            _ => AttemptOutcome::Abandoned,
        };
        self.release(n, outcome, now);
        self.pump(self.requests[n].daemon, now);
    }

    fn release(&mut self, n: usize, outcome: AttemptOutcome, now: Instant) {
        let request = &mut self.requests[n];
        if let Some(assignment) = request.assignment.take() {
            self.daemons[request.daemon].release(&assignment, outcome, now);
        }
    }

    /// Returns the fraction of a class's requests that were served, among those that arrived in a span
    /// and were decided.
    pub(crate) fn served(&self, class: usize, from: Duration, until: Duration) -> f64 {
        let arrived = self
            .requests
            .iter()
            .filter(|r| r.class == class && r.arrived >= from && r.arrived < until);
        let (served, all) = arrived.fold((0_u32, 0_u32), |(served, all), r| {
            (served + u32::from(r.fate == Fate::Served), all + 1)
        });
        f64::from(served) / f64::from(all.max(1))
    }

    /// Returns the fraction of the engines' capacity that served requests used in a span.
    pub(crate) fn used(&self, from: Duration, until: Duration) -> f64 {
        let busy: f64 = self
            .busy
            .iter()
            .map(|(end, time)| {
                let begin = end.saturating_sub(*time).max(from);
                (*end).min(until).saturating_sub(begin).as_secs_f64()
            })
            .sum();
        let slots = self.scene.engines as f64 * f64::from(SLOTS);
        busy / (slots * (until - from).as_secs_f64())
    }
}
