//! A simulated fleet of daemons in front of engines that process one prompt at a time.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, PlacementRequest,
    health::AttemptOutcome,
    heartbeat::{PeerId, Readiness},
};
use platform::headers::{Prompt, PromptSegment};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use serde_json::json;

use crate::support::{
    LIMITS, address, assign, configuration, daemon, order, request, upstream_with,
};

/// Prefill time per token of most models, equal to the daemons' initial estimate.
pub(crate) const TIME_PER_TOKEN: Duration = Duration::from_micros(15);
/// The same for the model `large`.
const LARGE_TIME_PER_TOKEN: Duration = Duration::from_micros(45);
/// Time from the end of the prefill to the first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);
/// Time to generate the response after the first event.
const GENERATION_TIME: Duration = Duration::from_millis(800);
/// Time between two events of a stream on an engine of average speed.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between the first heartbeats of two daemons.
const HEARTBEAT_OFFSET: Duration = Duration::from_millis(7);
/// Port of the first daemon.
const FIRST_PORT: u16 = 10_000;

/// How an engine is selected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By the daemons.
    Daemons,
    /// At random.
    Random,
}

/// Requests that arrive at random times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Mean time between two requests.
    pub(crate) pause: Duration,
    pub(crate) duration: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat(usize),
    Loads(usize),
    ResponseStarted(usize),
    Finished(usize),
    Request,
}

/// One prompt that was sent to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// When the engine has processed the prompt.
    pub(crate) prefilled_at: Instant,
    /// Time that the engine spends on the part that it does not have cached.
    pub(crate) prefill_time: Duration,
}

/// An engine that processes one prompt after another and keeps all prefixes.
#[derive(Clone, Debug)]
struct Engine {
    free_at: Instant,
    /// How much longer than an average engine it takes for the same work.
    slowness: f64,
    /// Models and segments.
    cached: BTreeSet<(&'static str, u64)>,
}

pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Dispatcher>,
    engines: Vec<Engine>,
    pub(crate) assignments: Vec<Option<(usize, Assignment, Instant)>>,
    pub(crate) rng: Xoshiro128PlusPlus,
}

impl Fleet {
    pub(crate) fn new(daemons: usize, engines: usize, start: Instant) -> Self {
        let rows: Vec<_> = (0..engines)
            .map(|n| upstream_with(&n.to_string(), 1, &[("slots", json!(1_000))]))
            .collect();
        let daemons = (0..daemons)
            .zip(1..)
            .map(|(n, seed)| {
                let me: PeerId = daemon(&format!("front-{n}"));
                let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, seed);
                order(&mut dispatcher, &configuration(1), start);
                dispatcher.registry.replace(&rows, start);
                dispatcher
            })
            .collect();
        let engine = Engine {
            free_at: start,
            slowness: 1.0,
            cached: BTreeSet::new(),
        };
        Self {
            daemons,
            engines: vec![engine; engines],
            assignments: Vec::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(1),
        }
    }

    /// Gives the engines these ratios of slowness in turn.
    pub(crate) fn set_slowness(&mut self, ratios: &[f64]) {
        let ratios = ratios.iter().cycle();
        for (engine, ratio) in self.engines.iter_mut().zip(ratios) {
            engine.slowness = *ratio;
        }
    }

    /// Plays a load; `prompt` returns the prompt of each request, and `observe` sees when and how it
    /// was sent.
    pub(crate) fn play(
        &mut self,
        policy: Policy,
        load: Load,
        mut prompt: impl FnMut(&mut Xoshiro128PlusPlus) -> Prompt,
        mut observe: impl FnMut(Instant, Sent),
    ) {
        let start = self.engines[0].free_at;
        let mut events = BinaryHeap::from([Reverse((start, Event::Request))]);
        for (n, offset) in (0..self.daemons.len()).zip(0..) {
            let first = start + HEARTBEAT_OFFSET * offset;
            events.push(Reverse((first, Event::Heartbeat(n))));
            events.push(Reverse((first, Event::Loads(n))));
        }
        while let Some(Reverse((now, event))) = events.pop() {
            if now > start + load.duration {
                break;
            }
            match event {
                Event::Request => {
                    let prompt = prompt(&mut self.rng);
                    let sent = self.request(policy, &prompt, now);
                    observe(now, sent);
                    if policy == Policy::Daemons {
                        let started = Event::ResponseStarted(self.assignments.len() - 1);
                        events.push(Reverse((sent.prefilled_at + FIRST_EVENT_DELAY, started)));
                    }
                    let factor = -self.rng.random::<f64>().ln();
                    events.push(Reverse((now + load.pause.mul_f64(factor), Event::Request)));
                }
                Event::ResponseStarted(n) => {
                    let (daemon, assignment, sent) = self.assignments[n].as_mut().expect("running");
                    self.daemons[*daemon].response_started(assignment, now - *sent);
                    events.push(Reverse((now + GENERATION_TIME, Event::Finished(n))));
                }
                Event::Finished(n) => {
                    let (daemon, assignment, _) = self.assignments[n].take().expect("running");
                    let engine: usize = assignment.upstream.parse().expect("a number");
                    let per_event = EVENT_INTERVAL.mul_f64(self.engines[engine].slowness);
                    self.daemons[daemon].record_pace(&assignment, per_event, now);
                    self.daemons[daemon].release(&assignment, AttemptOutcome::Served, now);
                }
                Event::Loads(n) => {
                    if policy == Policy::Daemons {
                        self.send_loads(n, now);
                    }
                    let interval = self.daemons[n].load_update_interval();
                    events.push(Reverse((now + interval, Event::Loads(n))));
                }
                Event::Heartbeat(n) => {
                    if policy == Policy::Daemons {
                        self.heartbeat(n, now);
                    }
                    let period = self.daemons[n].peers.heartbeat_period();
                    events.push(Reverse((now + period, Event::Heartbeat(n))));
                }
            }
        }
    }

    /// Sends one request to the model `small`.
    pub(crate) fn request(&mut self, policy: Policy, prompt: &Prompt, now: Instant) -> Sent {
        match policy {
            Policy::Random => {
                let engine = self.rng.random_range(0..self.engines.len());
                self.engines[engine].process("small", prompt, now)
            }
            Policy::Daemons => {
                let daemon = self.rng.random_range(0..self.daemons.len());
                self.request_to(daemon, "small", prompt, now)
            }
        }
    }

    /// Sends one request to a model by way of a daemon.
    pub(crate) fn request_to(
        &mut self,
        daemon: usize,
        model: &'static str,
        prompt: &Prompt,
        now: Instant,
    ) -> Sent {
        let placement_request = placement_request(model, prompt, self.assignments.len() as u64);
        let assignment = assign(&mut self.daemons[daemon], &placement_request, now);
        let engine: usize = assignment.upstream.parse().expect("a number");
        self.send_notices(daemon, &assignment, now);
        self.assignments.push(Some((daemon, assignment, now)));
        self.engines[engine].process(model, prompt, now)
    }

    fn send_notices(&mut self, from: usize, assignment: &Assignment, now: Instant) {
        let Some(notice) = self.daemons[from].notice(assignment) else {
            return;
        };
        for receiver in self.daemons[from].notice_receivers(assignment, now) {
            let n = usize::from(receiver.port() - FIRST_PORT);
            self.daemons[n].receive_notice(notice, now);
        }
    }

    fn send_loads(&mut self, from: usize, now: Instant) {
        for (receiver, update) in self.daemons[from].load_updates(now) {
            let n = usize::from(receiver.port() - FIRST_PORT);
            self.daemons[n].receive_load_update(&update, now);
        }
    }

    pub(crate) fn heartbeat(&mut self, from: usize, now: Instant) {
        self.daemons[from].tick(now);
        let heartbeat_message =
            self.daemons[from].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
        for (n, daemon) in self.daemons.iter_mut().enumerate() {
            if n != from {
                daemon.receive_heartbeat(heartbeat_message.clone(), peer_address(from), now);
            }
        }
    }
}

impl Engine {
    fn process(&mut self, model: &'static str, prompt: &Prompt, now: Instant) -> Sent {
        let mut cached = 0;
        for segment in &prompt.segments {
            if !self.cached.insert((model, segment.id)) {
                cached += segment.tokens;
            }
        }
        let time_per_token = match model {
            "large" => LARGE_TIME_PER_TOKEN,
            _ => TIME_PER_TOKEN,
        };
        let prefill_time = (time_per_token * (prompt.tokens - cached)).mul_f64(self.slowness);
        self.free_at = self.free_at.max(now) + prefill_time;
        Sent {
            prefilled_at: self.free_at,
            prefill_time,
        }
    }
}

/// A request for a model.
pub(crate) fn placement_request<'a>(
    model: &'static str,
    prompt: &'a Prompt,
    session: u64,
) -> PlacementRequest<'a> {
    PlacementRequest {
        model: Some(model),
        prompt: Some(prompt),
        ..request(session)
    }
}

/// A prompt of segments with these ids and sizes in tokens.
pub(crate) fn prompt_of(segments: &[(u64, u32)]) -> Prompt {
    let segments = segments.iter().map(|(id, tokens)| PromptSegment {
        id: *id,
        tokens: *tokens,
    });
    let segments: Vec<PromptSegment> = segments.collect();
    Prompt {
        tokens: segments.iter().map(|segment| segment.tokens).sum(),
        segments,
        max_output_tokens: 50,
    }
}

/// Source address of a daemon's datagrams.
pub(crate) fn peer_address(daemon: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(daemon).expect("few daemons");
    SocketAddr::from(([127, 0, 0, 1], port))
}
