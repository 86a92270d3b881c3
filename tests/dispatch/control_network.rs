//! A fleet in virtual time that exchanges its control messages over a network without delay, and counts
//! what each daemon sends by kind of message and by kind of content.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::dispatch::{
        Assignment, Dispatcher,
        fanout::Fanout,
        health::AttemptOutcome,
        heartbeat::{Heartbeat, Readiness},
    },
    protocol::codec,
};
use platform::{headers::Prompt, table::Row};
use serde::Serialize;
use serde_json::json;

use crate::{
    fleet::{peer_address, placement_request, prompt_of},
    support::{LIMITS, address, assign, configuration, daemon, order, upstream_with},
};

/// Failure domains of the fleet.
pub(crate) const DOMAINS: usize = 5;
/// Engines for each daemon.
const ENGINES_PER_DAEMON: usize = 10;
/// Slots of an engine.
const SLOTS: u32 = 24;
/// Time between two requests to a daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(125);
/// Time from a request to its first event, and to its end.
const RESPONSE_TIMES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(1_500)];
/// Time between two ticks of a daemon, longer than in a gateway because a tick goes through all engines.
const TICK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time over which the first load updates are spread.
const LOADS_OFFSET: Duration = Duration::from_millis(250);
/// Bytes of a datagram's tag and of the origin's address in a forwarded one.
const TAG_BYTES: usize = 1;
const ORIGIN_BYTES: usize = 8;
/// Subjects for each engine; the requests of one subject share a prefix.
const SUBJECTS_PER_ENGINE: usize = 11;
/// Tokens of the shared prefix, and of the rest of a prompt.
const SEGMENT_TOKENS: [u32; 2] = [6_000, 1_000];

/// What was sent, in bytes by kind of content and in datagrams by kind of message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) datagrams: BTreeMap<&'static str, usize>,
    pub(crate) bytes: BTreeMap<&'static str, usize>,
}

impl Traffic {
    /// Returns the bytes of all kinds.
    pub(crate) fn total(&self) -> usize {
        self.bytes.values().sum()
    }

    fn count(&mut self, kind: &'static str, contents: &[(&'static str, usize)], times: usize) {
        *self.datagrams.entry(kind).or_default() += times;
        for (content, bytes) in contents {
            *self.bytes.entry(content).or_default() += bytes * times;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Started(usize),
    Finished(usize),
    Tick(usize),
    Heartbeat(usize),
    Loads(usize),
    Request(usize),
}

/// A fleet and its network.
pub(crate) struct ControlNetwork {
    pub(crate) daemons: Vec<Dispatcher>,
    pub(crate) now: Instant,
    /// Sent by all daemons.
    pub(crate) traffic: Traffic,
    /// Daemons that neither send nor receive.
    pub(crate) crashed: Vec<bool>,
    /// Whether datagrams from one daemon to another are lost.
    pub(crate) is_cut: fn(usize, usize) -> bool,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    assignments: Vec<Option<(usize, Assignment)>>,
    engines: usize,
}

impl ControlNetwork {
    /// Starts daemons that have heard of each other.
    pub(crate) fn new(size: usize) -> Self {
        let now = Instant::now();
        let engines = size * ENGINES_PER_DAEMON;
        let rows: Vec<Row> = (0..engines).map(engine).collect();
        let mut network = Self {
            daemons: (0..size).map(|n| new_daemon(n, &rows, now)).collect(),
            now,
            traffic: Traffic::default(),
            crashed: vec![false; size],
            is_cut: |_, _| false,
            events: BinaryHeap::new(),
            assignments: Vec::new(),
            engines,
        };
        for n in 0..size {
            let heartbeat = network.heartbeat(n);
            for receiver in (0..size).filter(|receiver| *receiver != n) {
                network.receive(receiver, n, heartbeat.clone());
            }
        }
        for n in 0..size {
            let offset = n as f64 / size as f64;
            let interval = network.daemons[n].peers.part_interval();
            network.schedule(TICK_INTERVAL.mul_f64(offset), Event::Tick(n));
            network.schedule(interval.mul_f64(offset), Event::Heartbeat(n));
            network.schedule(REQUEST_INTERVAL.mul_f64(offset), Event::Request(n));
            network.schedule(LOADS_OFFSET.mul_f64(offset), Event::Loads(n));
        }
        network
    }

    /// Plays the load for a time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, event)));
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(n) => {
                self.daemons[n].tick(self.now);
                self.schedule(TICK_INTERVAL, event);
            }
            Event::Heartbeat(n) | Event::Loads(n) | Event::Request(n) if self.crashed[n] => {}
            Event::Heartbeat(n) => {
                let fanout = self.daemons[n].next_fanout(self.now);
                self.send_heartbeat(n, &fanout);
                self.schedule(self.daemons[n].peers.part_interval(), event);
            }
            Event::Loads(n) => {
                self.send_loads(n);
                self.schedule(self.daemons[n].load_update_interval(), event);
            }
            Event::Request(n) => {
                self.request(n);
                self.schedule(REQUEST_INTERVAL, event);
            }
            Event::Started(request) => {
                let (n, assignment) = self.assignments[request].as_mut().expect("running");
                self.daemons[*n].response_started(assignment, RESPONSE_TIMES[0]);
            }
            Event::Finished(request) => {
                let (n, assignment) = self.assignments[request].take().expect("running");
                self.daemons[n].release(&assignment, AttemptOutcome::Served, self.now);
            }
        }
    }

    fn request(&mut self, n: usize) {
        let number = self.assignments.len();
        let prompt = subject_prompt(number, self.engines * SUBJECTS_PER_ENGINE);
        let request = placement_request("small", &prompt, number as u64);
        let assignment = assign(&mut self.daemons[n], &request, self.now);
        self.send_notices(n, &assignment);
        self.assignments.push(Some((n, assignment)));
        self.schedule(RESPONSE_TIMES[0], Event::Started(number));
        self.schedule(RESPONSE_TIMES[1], Event::Finished(number));
    }

    fn send_notices(&mut self, from: usize, assignment: &Assignment) {
        let Some(notice) = self.daemons[from].notice(assignment) else {
            return;
        };
        let receivers = self.daemons[from].notice_receivers(assignment, self.now);
        let contents = [("notices", TAG_BYTES + encoded(&notice))];
        self.traffic
            .count("prompt_sent", &contents, receivers.len());
        for to in receivers.into_iter().map(daemon_at) {
            if self.reaches(from, to) {
                self.daemons[to].receive_notice(notice, self.now);
            }
        }
    }

    fn send_loads(&mut self, n: usize) {
        for (receiver, update) in self.daemons[n].load_updates(self.now) {
            let contents = [("loads", TAG_BYTES + encoded(&update))];
            self.traffic.count("loads", &contents, 1);
            let to = daemon_at(receiver);
            if self.reaches(n, to) {
                self.daemons[to].receive_load_update(&update, self.now);
            }
        }
    }

    fn send_heartbeat(&mut self, n: usize, fanout: &Fanout) {
        let heartbeat = self.heartbeat(n);
        let contents = contents(&heartbeat, TAG_BYTES);
        let direct = fanout.direct.len();
        self.traffic.count("heartbeat", &contents, direct);
        let to_forward = fanout.forwarders.len();
        self.traffic
            .count("heartbeat_to_forward", &contents, to_forward);
        for to in fanout.direct.iter().copied().map(daemon_at) {
            if self.reaches(n, to) {
                self.receive(to, n, heartbeat.clone());
            }
        }
        for forwarder in fanout.forwarders.iter().copied().map(daemon_at) {
            if self.reaches(n, forwarder) {
                self.forward(forwarder, n, &heartbeat);
            }
        }
    }

    fn forward(&mut self, forwarder: usize, origin: usize, heartbeat: &Heartbeat) {
        let receivers = self.daemons[forwarder].forward_receivers();
        let contents = contents(heartbeat, TAG_BYTES + ORIGIN_BYTES);
        self.traffic
            .count("forwarded_heartbeat", &contents, receivers.len());
        for to in receivers.into_iter().map(daemon_at) {
            if self.reaches(forwarder, to) {
                self.receive(to, origin, heartbeat.clone());
            }
        }
        self.receive(forwarder, origin, heartbeat.clone());
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let now = self.now;
        self.daemons[n].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now)
    }

    fn receive(&mut self, receiver: usize, origin: usize, heartbeat: Heartbeat) {
        let from = peer_address(origin);
        self.daemons[receiver].receive_heartbeat(heartbeat, from, self.now);
    }

    /// Returns whether a datagram arrives.
    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.crashed[to] && !(self.is_cut)(from, to)
    }

    /// Returns the daemons that have not crashed.
    pub(crate) fn survivors(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|n| !self.crashed[*n])
            .collect()
    }

    /// Returns how many other daemons one of them takes for live.
    pub(crate) fn live_count(&self, n: usize) -> usize {
        self.daemons[n].peers.live(self.now).count()
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }
}

/// Returns the encoded size of a heartbeat by kind of content; `envelope` is the size of the rest.
fn contents(heartbeat: &Heartbeat, envelope: usize) -> [(&'static str, usize); 5] {
    let parts = [
        (
            "loads",
            encoded(&heartbeat.loads) + encoded(&heartbeat.busy),
        ),
        ("liveness", encoded(&heartbeat.liveness)),
        ("rollouts", encoded(&heartbeat.rollouts)),
        ("suspects", encoded(&heartbeat.suspects)),
    ];
    let known: usize = parts.iter().map(|(_, bytes)| bytes).sum();
    let [loads, liveness, rollouts, suspects] = parts;
    let rest = ("rest", envelope + encoded(heartbeat) - known);
    [loads, liveness, rollouts, suspects, rest]
}

fn encoded(value: &impl Serialize) -> usize {
    codec::encode(value).expect("encoded").len()
}

fn engine(n: usize) -> Row {
    let zone = format!("domain-{}", n % DOMAINS);
    let fields = [("slots", json!(SLOTS)), ("zone", json!(zone))];
    upstream_with(&format!("engine-{n}"), 1, &fields)
}

fn new_daemon(n: usize, rows: &[Row], now: Instant) -> Dispatcher {
    let mut me = daemon(&format!("front-{n}"));
    // Of the size of a start time in milliseconds.
    me.incarnation = 1_700_000_000_000;
    let domain = format!("domain-{}", n % DOMAINS).into();
    let mut dispatcher = Dispatcher::new(me, domain, LIMITS, n as u64);
    order(&mut dispatcher, &configuration(1), now);
    dispatcher.registry.replace(rows, now);
    dispatcher
}

/// Returns the prompt of a request; the requests of a subject share a prefix.
fn subject_prompt(number: usize, subjects: usize) -> Prompt {
    // Multiplication by a prime spreads the subjects over all daemons.
    let subject = (number * 7_919) % subjects;
    let [shared, own] = SEGMENT_TOKENS;
    prompt_of(&[
        (1_000 + subject as u64, shared),
        (1_000_000 + number as u64, own),
    ])
}

fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port() - peer_address(0).port())
}
