//! Daemons whose connections to upstreams are accepted but carry no data, in virtual time.
//!
//! Guards against two failures: a daemon with such links that goes on sending its callers' requests into
//! them, and a daemon that takes slow or busy upstreams for a loss of its links.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, Placement, Quality,
    health::AttemptOutcome,
    heartbeat::Readiness,
    reachability::{Loss, ProbeTarget},
};

use crate::support::{LIMITS, address, configuration, daemon, order, request, upstream_with};

/// Time from the onset until callers of a cut daemon must be served like others (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time from the end until all daemons serve for themselves again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Maximum number of probes of a daemon in a second.
const MAX_PROBES_PER_SECOND: usize = 8;
/// Least share of the rate at which other daemons serve first attempts.
const MIN_SERVED_SHARE: f64 = 0.95;

const UPSTREAMS: u64 = 6;
const STEP: Duration = Duration::from_millis(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks, rounds of probes and heartbeats.
const PERIOD: Duration = Duration::from_millis(250);
/// Time after which an attempt without an answer is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a probe without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// How upstreams answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Upstreams {
    Fast,
    /// The first one never answers anything.
    OneSlow,
    /// All answer requests after this time, and probes as well, as they wait for a slot.
    Busy(Duration),
}

impl Upstreams {
    fn answer_time(self, id: &str) -> Option<Duration> {
        match self {
            Self::Fast => Some(ANSWER_TIME),
            Self::OneSlow => (id != "u1").then_some(ANSWER_TIME),
            Self::Busy(time) => Some(time),
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

struct Daemon {
    dispatcher: Dispatcher,
    is_silent: bool,
    /// Time between two requests.
    interval: Duration,
    attempts: Vec<Attempt>,
    probes: Vec<Probe>,
    probed_at: Vec<Instant>,
    next_round: Instant,
    was_cut_off: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
    delegated: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

struct Fleet {
    daemons: Vec<Daemon>,
    upstreams: Upstreams,
    start: Instant,
    now: Instant,
    sessions: u64,
}

impl Fleet {
    fn new(size: usize, upstreams: Upstreams) -> Self {
        let now = Instant::now();
        let rows: Vec<_> = (1..=UPSTREAMS)
            .map(|n| upstream_with(&format!("u{n}"), n, &[("slots", 1_000.into())]))
            .collect();
        let daemons = (0..size).map(|n| {
            let me = daemon(&format!("front-{n}"));
            let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, n as u64 + 1);
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
        fleet.exchange_heartbeats();
        fleet
    }

    fn is_due(&self, interval: Duration) -> bool {
        let elapsed = (self.now - self.start).as_millis();
        elapsed.is_multiple_of(interval.as_millis())
    }

    fn exchange_heartbeats(&mut self) {
        for n in 0..self.daemons.len() {
            let number = u8::try_from(n + 1).expect("few daemons");
            let told = self.daemons[n].dispatcher.heartbeat(
                address(number),
                Readiness::Ready,
                Duration::ZERO,
                self.now,
            );
            for other in (0..self.daemons.len()).filter(|other| *other != n) {
                let receiver = &mut self.daemons[other].dispatcher;
                receiver.receive_heartbeat(told.clone(), address(number), self.now);
            }
        }
    }

    /// Lets time pass; returns what became of the first attempts sent in it by each daemon.
    fn run(&mut self, time: Duration) -> Vec<Count> {
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
                self.exchange_heartbeats();
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
        let time = upstreams.answer_time(&assignment.upstream);
        let time = time.filter(|_| !daemon.is_silent);
        count.served += u32::from(time.is_some());
        let timeout = match upstreams {
            Upstreams::Busy(_) => CONTACT_TIME,
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
            let time = upstreams.answer_time(&target.upstream);
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

    fn failure_rates(&self, now: Instant) -> f64 {
        let all = self.dispatcher.registry.all();
        all.map(|u| u.health.failure_rate(now)).fold(0.0, f64::max)
    }
}

/// Silences the links of the first `cut` daemons and checks the bounds.
fn check_cut(size: usize, cut: usize) {
    let mut fleet = Fleet::new(size, Upstreams::Fast);
    fleet.run(Duration::from_secs(3));
    for daemon in &mut fleet.daemons[..cut] {
        daemon.is_silent = true;
    }
    fleet.run(CONTACT_TIME);
    let counts = fleet.run(Duration::from_secs(6));
    let others = counts[cut..].iter().map(|c| c.share()).sum::<f64>() / (size - cut) as f64;
    for count in &counts[..cut] {
        assert!(
            count.share() >= MIN_SERVED_SHARE * others,
            "{count:?} {others}"
        );
    }
    for daemon in &mut fleet.daemons {
        assert!(daemon.was_cut_off == daemon.is_silent);
        daemon.is_silent = false;
    }
    fleet.run(RECOVERY_TIME);
    for count in fleet.run(Duration::from_secs(3)) {
        assert_eq!((count.served, count.delegated), (count.sent, 0));
    }
    let now = fleet.now;
    for daemon in &mut fleet.daemons {
        let probes = &daemon.probed_at;
        let within = |from: &Instant| {
            let is_in = |at: &&Instant| **at >= *from && **at - *from < Duration::from_secs(1);
            probes.iter().filter(is_in).count()
        };
        let busiest = probes.iter().map(within).max().unwrap_or_default();
        assert!(busiest <= MAX_PROBES_PER_SECOND, "{busiest} probes");
        assert!(daemon.failure_rates(now) < 0.01, "own loss counts");
        assert!(daemon.dispatcher.take_presumed_cold().is_empty());
        assert!(daemon.dispatcher.poison.take_findings().is_empty());
    }
}

/// A daemon that sends its requests into silent links served none of them.
#[test]
fn daemons_with_silent_links_are_served_by_others() {
    for (size, cut) in [(3, 1), (3, 2), (24, 8), (24, 16)] {
        check_cut(size, cut);
    }
}

/// Failures into silent links count against no upstream when the links work again.
#[test]
fn own_loss_leaves_no_failure_rate() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(2));
    fleet.daemons[0].is_silent = true;
    fleet.run(Duration::from_secs(6));
    fleet.daemons[0].is_silent = false;
    while fleet.daemons[0].dispatcher.reachability.is_cut_off() {
        fleet.run(PERIOD);
    }
    assert!(fleet.daemons[0].was_cut_off);
    let rate = fleet.daemons[0].failure_rates(fleet.now);
    assert!(rate < 0.01, "{rate}");
}

/// An upstream that answers nothing is not a loss of the links.
#[test]
fn one_slow_upstream_is_not_taken_for_a_cut() {
    for size in [3, 24] {
        let mut fleet = Fleet::new(size, Upstreams::OneSlow);
        fleet.run(Duration::from_secs(15));
        assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
    }
}

/// Upstreams whose first events take seconds are not a loss of the links, neither of busy daemons nor of
/// one that sends a request now and then.
#[test]
fn busy_upstreams_are_not_taken_for_a_cut() {
    for (size, seconds) in [(3, 2), (3, 3), (24, 3)] {
        let mut fleet = Fleet::new(size, Upstreams::Busy(Duration::from_secs(seconds)));
        fleet.daemons[0].interval = Duration::from_millis(1_900);
        fleet.run(Duration::from_secs(20));
        assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
    }
}

/// If all daemons lose all upstreams, no other daemon can serve, and nobody takes the loss for its own.
#[test]
fn upstreams_that_are_silent_to_all_daemons_are_not_an_own_loss() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(2));
    for daemon in &mut fleet.daemons {
        daemon.is_silent = true;
    }
    fleet.run(Duration::from_secs(8));
    assert!(fleet.daemons.iter().all(|daemon| !daemon.was_cut_off));
}

/// Calm daemons send no probes.
#[test]
fn calm_daemons_send_no_probes() {
    let mut fleet = Fleet::new(3, Upstreams::Fast);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.daemons.iter().all(|d| d.probed_at.is_empty()));
}
