//! Simulates daemons, some of whose links to upstreams accept connections but carry no data.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, Placement, Quality,
    health::AttemptOutcome,
    heartbeat::{Heartbeat, Readiness},
    reachability::{Loss, ProbeTarget},
};

use crate::{
    fleet::peer_address,
    support::{LIMITS, address, configuration, daemon, order, request, upstream_with},
};

/// Number of upstreams.
const UPSTREAMS: u64 = 6;
/// Number of failure domains.
const DOMAINS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
/// Time between two requests to a daemon.
pub(crate) const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks and rounds of probes.
pub(crate) const PERIOD: Duration = Duration::from_millis(250);
/// Time after which an attempt without an answer is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a probe without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// The same while upstreams are busy with long prompts.
const BUSY_TIMEOUT: Duration = Duration::from_secs(6);
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// How upstreams answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Upstreams {
    Fast,
    /// The first one never answers anything.
    OneSlow,
    /// All answer requests after this time, and probes as well, as they wait for a slot.
    Busy(Duration),
    /// All answer requests after 1 to 5 s, by upstream and time, and probes at once.
    Uneven,
}

impl Upstreams {
    /// Returns the time to answer the `n`-th request of the fleet.
    fn answer_time(self, id: &str, n: u64) -> Option<Duration> {
        match self {
            Self::Uneven => Some(Duration::from_millis(1_000 + n * 7_919 % 4_000)),
            Self::Fast => Some(ANSWER_TIME),
            Self::OneSlow => (id != "u1").then_some(ANSWER_TIME),
            Self::Busy(time) => Some(time),
        }
    }

    fn probe_time(self, id: &str) -> Option<Duration> {
        match self {
            Self::Uneven => Some(ANSWER_TIME),
            _ => self.answer_time(id, 0),
        }
    }
}

struct Attempt {
    assignment: Assignment,
    sent_at: Instant,
    answers_at: Option<Instant>,
    ends_at: Instant,
}

struct Probe {
    target: ProbeTarget,
    sent_at: Instant,
    ends_at: Instant,
    result: Result<(), Loss>,
}

/// A daemon, its attempts and its probes.
pub(crate) struct Daemon {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) is_silent: bool,
    /// Time between two requests.
    pub(crate) interval: Duration,
    attempts: Vec<Attempt>,
    probes: Vec<Probe>,
    pub(crate) probed_at: Vec<Instant>,
    next_round: Instant,
    next_heartbeat: Instant,
    pub(crate) was_cut_off: bool,
}

/// What became of first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) sent: u32,
    pub(crate) served: u32,
    pub(crate) delegated: u32,
}

impl Count {
    pub(crate) fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

/// Daemons that exchange heartbeats without delay and send requests to the same upstreams.
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Daemon>,
    upstreams: Upstreams,
    start: Instant,
    pub(crate) now: Instant,
    sessions: u64,
}

impl Fleet {
    pub(crate) fn new(size: usize, upstreams: Upstreams) -> Self {
        let now = Instant::now();
        let rows: Vec<_> = (1..=UPSTREAMS)
            .map(|n| upstream_with(&format!("u{n}"), n, &[("slots", 1_000.into())]))
            .collect();
        let daemons = (0..size).map(|n| {
            let me = daemon(&format!("front-{n}"));
            let domain = format!("d{}", n % DOMAINS);
            let mut dispatcher = Dispatcher::new(me, domain.into(), LIMITS, n as u64 + 1);
            order(&mut dispatcher, &configuration(1), now);
            dispatcher.registry.replace(&rows, now);
            Daemon {
                dispatcher,
                is_silent: false,
                interval: REQUEST_INTERVAL,
                attempts: Vec::new(),
                probes: Vec::new(),
                probed_at: Vec::new(),
                next_round: now,
                next_heartbeat: now,
                was_cut_off: false,
            }
        });
        let mut fleet = Self {
            daemons: daemons.collect(),
            upstreams,
            start: now,
            now,
            sessions: 0,
        };
        for n in 0..size {
            let heartbeat = fleet.heartbeat(n);
            for receiver in (0..size).filter(|receiver| *receiver != n) {
                fleet.receive(receiver, n, heartbeat.clone());
            }
        }
        fleet
    }

    fn is_due(&self, interval: Duration) -> bool {
        let elapsed = (self.now - self.start).as_millis();
        elapsed.is_multiple_of(interval.as_millis())
    }

    pub(crate) fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let dispatcher = &mut self.daemons[n].dispatcher;
        dispatcher.heartbeat(address(1), Readiness::Ready, Duration::ZERO, self.now)
    }

    fn receive(&mut self, receiver: usize, origin: usize, heartbeat: Heartbeat) {
        let receiver = &mut self.daemons[receiver].dispatcher;
        receiver.receive_heartbeat(heartbeat, peer_address(origin), self.now);
    }

    /// Sends a periodic heartbeat to the next part of the fleet, as the gateway does.
    fn send_heartbeat(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        daemon.next_heartbeat = self.now + daemon.dispatcher.peers.part_interval();
        let fanout = daemon.dispatcher.next_fanout(self.now);
        let heartbeat = self.heartbeat(n);
        for direct in fanout.direct {
            self.receive(daemon_at(direct), n, heartbeat.clone());
        }
        for forwarder in fanout.forwarders {
            let forwarder = daemon_at(forwarder);
            let receivers = self.daemons[forwarder].dispatcher.forward_receivers();
            for receiver in receivers {
                self.receive(daemon_at(receiver), n, heartbeat.clone());
            }
            self.receive(forwarder, n, heartbeat.clone());
        }
    }

    /// Lets time pass; returns what became of the first attempts sent in it by each daemon.
    pub(crate) fn run(&mut self, time: Duration) -> Vec<Count> {
        let mut counts = vec![Count::default(); self.daemons.len()];
        let end = self.now + time;
        while self.now < end {
            for (n, count) in counts.iter_mut().enumerate() {
                if self.is_due(self.daemons[n].interval) {
                    self.send(n, count);
                }
            }
            let (now, upstreams) = (self.now, self.upstreams);
            for daemon in &mut self.daemons {
                daemon.end_attempts(now);
                daemon.run_probes(upstreams, now);
            }
            if self.is_due(PERIOD) {
                for daemon in &mut self.daemons {
                    daemon.dispatcher.tick(now);
                }
            }
            for n in 0..self.daemons.len() {
                if self.daemons[n].next_heartbeat <= now {
                    self.send_heartbeat(n);
                }
            }
            self.now += STEP;
        }
        counts
    }

    fn send(&mut self, n: usize, count: &mut Count) {
        let (now, upstreams) = (self.now, self.upstreams);
        self.sessions += 1;
        count.sent += 1;
        let daemon = &mut self.daemons[n];
        if daemon.dispatcher.reachability.is_cut_off()
            && let Some(delegate) = daemon.dispatcher.choose_delegate(&[], now)
        {
            let number = delegate.name.trim_start_matches("front-");
            let number: usize = number.parse().expect("a number");
            count.delegated += 1;
            count.served += u32::from(!self.daemons[number].is_silent);
            return;
        }
        let placed = daemon
            .dispatcher
            .select_upstream(&request(self.sessions), now);
        let Placement::Assigned(assignment) = placed else {
            return;
        };
        let time = upstreams.answer_time(&assignment.upstream, self.sessions);
        let time = time.filter(|_| !daemon.is_silent);
        count.served += u32::from(time.is_some());
        let timeout = match upstreams {
            Upstreams::Busy(_) | Upstreams::Uneven => BUSY_TIMEOUT,
            _ => ATTEMPT_TIMEOUT,
        };
        daemon.attempts.push(Attempt {
            assignment: *assignment,
            sent_at: now,
            answers_at: time.map(|time| now + time),
            ends_at: now + timeout,
        });
    }
}

impl Daemon {
    fn end_attempts(&mut self, now: Instant) {
        let is_over = |attempt: &mut Attempt| {
            attempt.answers_at.is_some_and(|at| at <= now) || attempt.ends_at <= now
        };
        let over: Vec<Attempt> = self.attempts.extract_if(.., is_over).collect();
        for mut attempt in over {
            let is_answered = attempt.answers_at.is_some() && !self.is_silent;
            let dispatcher = &mut self.dispatcher;
            let (outcome, quality) = match is_answered {
                true => (AttemptOutcome::Served, Quality::Good),
                false => (AttemptOutcome::Failed, Quality::Failed),
            };
            if is_answered {
                let upstream = attempt.assignment.upstream.clone();
                dispatcher.upstream_reached(&upstream, attempt.sent_at, now);
                dispatcher.response_started(&mut attempt.assignment, now - attempt.sent_at);
            }
            dispatcher.record_quality(&attempt.assignment, quality, now);
            dispatcher.release(&attempt.assignment, outcome, now);
        }
    }

    fn run_probes(&mut self, upstreams: Upstreams, now: Instant) {
        let ended: Vec<Probe> = self
            .probes
            .extract_if(.., |probe| probe.ends_at <= now)
            .collect();
        if !ended.is_empty() {
            self.next_round = now + PERIOD;
        }
        for probe in ended {
            let result = probe.result;
            self.dispatcher
                .probe_ended(&probe.target.upstream, result, probe.sent_at, now);
        }
        self.was_cut_off |= self.dispatcher.reachability.is_cut_off();
        if !self.probes.is_empty() || now < self.next_round {
            return;
        }
        self.next_round = now + PERIOD;
        for target in self.dispatcher.probe_targets(now) {
            let time = upstreams.probe_time(&target.upstream);
            let time = time.filter(|time| !self.is_silent && *time < PROBE_TIMEOUT);
            self.probed_at.push(now);
            self.probes.push(Probe {
                target,
                sent_at: now,
                ends_at: now + time.unwrap_or(PROBE_TIMEOUT),
                result: time.map(|_| ()).ok_or(Loss::Silent),
            });
        }
    }

    pub(crate) fn failure_rates(&self, now: Instant) -> f64 {
        let all = self.dispatcher.registry.all();
        all.map(|u| u.health.failure_rate(now)).fold(0.0, f64::max)
    }
}

fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port() - peer_address(0).port())
}
