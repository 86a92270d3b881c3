//! Many daemons that hear of each other's load late, before engines that each read one prompt at a
//! time: they must not all send to the engine that looked idle a moment ago.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Ask, Dispatcher, Ticket,
    health::Ended,
    peers::{PeerId, Readiness},
    window::Seat,
};
use platform::headers::{Prompt, PromptPart};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use serde_json::json;

use crate::support::{LIMITS, address, configuration, daemon, order, place, row, upstream_with};

/// The tokens of a prompt.
const TOKENS: u32 = 3_000;
/// The time to read a prompt, as daemons guess it at first.
const READING: Duration = Duration::from_millis(45);
/// The time from the end of reading to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// How long an answer takes after the prompt was read.
const WRITING: Duration = Duration::from_millis(800);
/// The part of the engines' time that is spent on reading.
const USE: f64 = 0.7;
/// How long the load lasts.
const LENGTH: Duration = Duration::from_secs(8);

/// The port of the first daemon.
const FIRST_PORT: u16 = 10_000;

/// Who chooses an engine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The daemons.
    Daemons,
    /// Nobody: it is drawn.
    Random,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat(usize),
    Begun(usize),
    Finished(usize),
    Request,
}

struct Fleet {
    daemons: Vec<Dispatcher>,
    /// When each engine has read all prompts that it was sent.
    free_at: Vec<Instant>,
    tickets: Vec<Option<(usize, Ticket, Instant)>>,
    rng: Xoshiro128PlusPlus,
}

impl Fleet {
    fn new(daemons: usize, engines: usize, start: Instant) -> Self {
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
        Self {
            daemons,
            free_at: vec![start; engines],
            tickets: Vec::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(1),
        }
    }

    /// Sends one request; returns when its prompt has been read.
    fn request(&mut self, policy: Policy, now: Instant) -> Instant {
        let n = self.tickets.len();
        let prompt = Prompt {
            parts: vec![PromptPart {
                id: n as u64,
                tokens: TOKENS,
            }],
            tokens: TOKENS,
            max_output_tokens: 50,
        };
        let engine = match policy {
            Policy::Random => self.rng.random_range(0..self.free_at.len()),
            Policy::Daemons => {
                let ask = Ask {
                    service: "pool",
                    route: "ask",
                    session: n as u64,
                    model: Some("small"),
                    prompt: Some(&prompt),
                    body_bytes: 100,
                    tried: &[],
                };
                let daemon = self.rng.random_range(0..self.daemons.len());
                let ticket = place(&mut self.daemons[daemon], &ask, now);
                let engine = ticket.upstream.parse().expect("a number");
                self.tell(daemon, &ticket, now);
                self.tickets.push(Some((daemon, ticket, now)));
                engine
            }
        };
        let read = self.free_at[engine].max(now) + READING;
        self.free_at[engine] = read;
        read
    }

    fn tell(&mut self, from: usize, ticket: &Ticket, now: Instant) {
        let Some(notice) = self.daemons[from].notice(ticket) else {
            return;
        };
        for receiver in self.daemons[from].notice_receivers(ticket, now) {
            let n = usize::from(receiver.port() - FIRST_PORT);
            self.daemons[n].hear_notice(notice, now);
        }
    }

    fn heartbeat(&mut self, from: usize, now: Instant) {
        self.daemons[from].tick(now);
        let said = self.daemons[from].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
        for (n, daemon) in self.daemons.iter_mut().enumerate() {
            if n != from {
                daemon.hear(said.clone(), peer_address(from), now);
            }
        }
    }
}

/// Where the datagrams of a daemon come from.
fn peer_address(daemon: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(daemon).expect("few daemons");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The mean and the 99th percentile of the times that prompts waited to be read.
fn waits(policy: Policy, daemons: usize, engines: usize) -> (Duration, Duration) {
    let start = Instant::now();
    let mut fleet = Fleet::new(daemons, engines, start);
    let pause = READING.div_f64(USE * engines as f64);
    let mut events = BinaryHeap::from([Reverse((start, Event::Request))]);
    for n in 0..daemons {
        events.push(Reverse((
            start + Duration::from_millis(7) * n as u32,
            Event::Heartbeat(n),
        )));
    }
    let mut waits = Vec::new();
    while let Some(Reverse((now, event))) = events.pop() {
        if now > start + LENGTH {
            break;
        }
        match event {
            Event::Request => {
                let read = fleet.request(policy, now);
                waits.push(read - now - READING);
                if policy == Policy::Daemons {
                    let begun = Event::Begun(fleet.tickets.len() - 1);
                    events.push(Reverse((read + FIRST_EVENT, begun)));
                }
                let factor = -fleet.rng.random::<f64>().ln();
                events.push(Reverse((now + pause.mul_f64(factor), Event::Request)));
            }
            Event::Begun(n) => {
                let (daemon, ticket, sent) = fleet.tickets[n].as_mut().expect("running");
                fleet.daemons[*daemon].begun(ticket, now - *sent);
                events.push(Reverse((now + WRITING, Event::Finished(n))));
            }
            Event::Finished(n) => {
                let (daemon, ticket, _) = fleet.tickets[n].take().expect("running");
                fleet.daemons[daemon].finish(&ticket, Ended::Served, now);
            }
            Event::Heartbeat(n) => {
                if policy == Policy::Daemons {
                    fleet.heartbeat(n, now);
                }
                let period = fleet.daemons[n].peers.period();
                events.push(Reverse((now + period, Event::Heartbeat(n))));
            }
        }
    }
    waits.sort();
    let mean = waits.iter().sum::<Duration>() / waits.len() as u32;
    (mean, waits[waits.len() * 99 / 100])
}

/// Daemons that only hear of each other's load by heartbeats did worse than chance.
#[test]
fn prompts_wait_a_quarter_of_what_chance_gives() {
    for (daemons, engines) in [(8, 9), (20, 24), (40, 48)] {
        let (mean, late) = waits(Policy::Daemons, daemons, engines);
        let (random_mean, random_late) = waits(Policy::Random, daemons, engines);
        let text = format!("{daemons} daemons: {mean:?}, by chance {random_mean:?}");
        assert!(mean < random_mean / 4, "{text}");
        assert!(
            late < random_late / 4,
            "99 in 100 {late:?}, {random_late:?}"
        );
    }
}

/// What is told of each prompt does not grow with the fleet, and each engine is used alike.
#[test]
fn each_engine_is_shared_by_few_daemons() {
    for (daemons, engines) in [(85, 112), (74, 90), (340, 1_800)] {
        let shares = (0..engines).map(|index| {
            (0..daemons)
                .filter(|rank| {
                    Seat {
                        rank: *rank,
                        daemons,
                    }
                    .uses(index, engines)
                })
                .count()
        });
        let shares: Vec<usize> = shares.collect();
        let (least, most) = (shares.iter().min(), shares.iter().max());
        assert!(least >= Some(&1) && most <= Some(&12), "{least:?} {most:?}");
    }
}

#[test]
fn daemon_that_leaves_shifts_the_others_by_one_engine() {
    let engines = 112;
    let used = |rank, daemons| {
        (0..engines)
            .filter(|index| Seat { rank, daemons }.uses(*index, engines))
            .collect::<BTreeSet<_>>()
    };
    for rank in 0..40 {
        let kept = used(rank, 85).intersection(&used(rank, 84)).count();
        assert!(kept >= 11, "daemon {rank} keeps {kept} of 12");
    }
}

/// An engine that stands still keeps what it was sent.
#[test]
fn engine_that_stands_still_is_not_taken_for_idle() {
    let start = Instant::now();
    let mut fleet = Fleet::new(1, 2, start);
    let mut sent = [0; 2];
    for n in 0..40 {
        let now = start + READING * n;
        fleet.request(Policy::Daemons, now);
        let (daemon, mut ticket, _) = fleet.tickets.pop().flatten().expect("sent");
        let engine: usize = ticket.upstream.parse().expect("a number");
        sent[engine] += 1;
        if engine == 0 {
            fleet.daemons[daemon].begun(&mut ticket, READING + FIRST_EVENT);
            fleet.daemons[daemon].finish(&ticket, Ended::Served, now);
        }
    }
    assert!(sent[1] <= 3, "{sent:?}");
}

/// Notices go by the engines that can be chosen, not by all that are listed.
#[test]
fn notices_reach_all_who_use_an_engine_while_a_domain_is_evacuated() {
    let now = Instant::now();
    let mut fleet = Fleet::new(20, 40, now);
    let fields = [
        ("slots", json!(1_000)),
        ("zone", json!("b")),
        ("born", json!(2)),
    ];
    let far = |n: u64| upstream_with(&n.to_string(), 2, &fields);
    let far: Vec<_> = (0..40).step_by(3).map(far).collect();
    let evacuate = row("evacuate/b", 3, Some(json!({})));
    for daemon in &mut fleet.daemons {
        daemon.registry.apply(&far, now);
        order(daemon, &evacuate, now);
    }
    for n in 0..20 {
        fleet.heartbeat(n, now);
    }
    for _ in 0..2_000 {
        fleet.request(Policy::Daemons, now);
    }
    let sent: Vec<(usize, Ticket)> = fleet
        .tickets
        .into_iter()
        .flatten()
        .map(|t| (t.0, t.1))
        .collect();
    for (from, ticket) in &sent {
        let receivers = fleet.daemons[*from].notice_receivers(ticket, now);
        let users = sent
            .iter()
            .filter(|(_, other)| other.upstream == ticket.upstream);
        for (user, _) in users.filter(|(user, _)| user != from) {
            assert!(
                receivers.contains(&peer_address(*user)),
                "{user} uses {}",
                ticket.upstream
            );
        }
    }
}
