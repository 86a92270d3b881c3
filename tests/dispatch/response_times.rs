//! Services that are slower than their objective, and upstreams that stand out, at a steady load.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, PlacementRequest, health::AttemptOutcome,
};
use platform::UpstreamId;

use crate::support::{assign, ready, request, upstream_with};

/// Latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(1_500);
/// Time in which an upstream that is not slow begins its response.
const FAST: Duration = Duration::from_millis(100);
/// Time after which a request is given up.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(120);
/// Requests of each daemon in a second.
const RATE: f64 = 4.0;
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;

/// A request and its attempts.
struct Sent {
    daemon: usize,
    begun: Duration,
    attempts: Vec<Assignment>,
    tried: Vec<UpstreamId>,
    took: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    /// The attempt with this index is late.
    Late(usize),
    /// The attempt with this index has its response.
    Responds(usize),
}

/// What callers and upstreams saw.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    runs: usize,
    /// Times of the requests from a time on, in order; those that were not served took the deadline.
    times: Vec<Duration>,
}

impl Outcome {
    fn extra_runs(&self) -> f64 {
        self.runs as f64 / self.requests as f64 - 1.0
    }

    fn quantile(&self, q: f64) -> Duration {
        let rank = (self.times.len() as f64 * q) as usize;
        self.times[rank.min(self.times.len() - 1)]
    }
}

fn attempt(dispatcher: &mut Dispatcher, tried: &[UpstreamId], now: Instant) -> Assignment {
    let request = PlacementRequest {
        service: "desk",
        route: "open",
        tried,
        remaining: DEADLINE,
        ..request(1)
    };
    assign(dispatcher, &request, now)
}

/// Plays a steady load of plain requests through daemons that know nothing of each other; a request whose attempt is late
/// gets another one, and the first response wins. `service_time` is the time that an upstream takes for requests that
/// arrive at a time after the start; `None` if it never answers.
fn play(
    daemons: usize,
    upstreams: usize,
    service_time: impl Fn(usize, Duration) -> Option<Duration>,
) -> Outcome {
    let start = Instant::now();
    let rows: Vec<_> = (0..upstreams)
        .map(|n| {
            let fields = [("service", "desk".into()), ("slots", 1_000.into())];
            upstream_with(&format!("u{n}"), n as u64 + 1, &fields)
        })
        .collect();
    let mut fleet: Vec<Dispatcher> = (0..daemons).map(|_| ready(&rows, start)).collect();
    let count = (LOAD_TIME.as_secs_f64() * RATE * daemons as f64) as usize;
    let mut sent: Vec<Sent> = (0..count)
        .map(|n| Sent {
            daemon: n % daemons,
            begun: LOAD_TIME.mul_f64(n as f64 / count as f64),
            attempts: Vec::new(),
            tried: Vec::new(),
            took: None,
        })
        .collect();
    let mut events: BinaryHeap<Reverse<(Duration, usize, Event)>> = sent
        .iter()
        .enumerate()
        .map(|(n, sent)| Reverse((sent.begun, n, Event::Arrives)))
        .collect();
    let mut outcome = Outcome {
        requests: count,
        ..Outcome::default()
    };
    while let Some(Reverse((at, n, event))) = events.pop() {
        let request = &mut sent[n];
        let dispatcher = &mut fleet[request.daemon];
        let now = start + at;
        if request.took.is_some() || at - request.begun >= DEADLINE {
            continue;
        }
        match event {
            Event::Responds(index) => {
                request.took = Some(at - request.begun);
                for (i, assignment) in request.attempts.iter_mut().enumerate() {
                    let age = assignment.age(now);
                    let outcome = if i == index {
                        dispatcher.response_started(assignment, age);
                        AttemptOutcome::Served
                    } else if i < index {
                        dispatcher.record_late(assignment, age, now);
                        AttemptOutcome::Failed
                    } else {
                        AttemptOutcome::Abandoned
                    };
                    dispatcher.release(assignment, outcome, now);
                }
            }
            Event::Late(_) if request.attempts.len() >= MAX_ATTEMPTS.min(upstreams) => {}
            Event::Late(index) if !dispatcher.may_try_another(&request.attempts[index], now) => {
                let late_after = dispatcher.late_after(&request.attempts[index], OBJECTIVE, now);
                events.push(Reverse((at + late_after, n, event)));
            }
            Event::Arrives | Event::Late(_) => {
                if event == Event::Arrives {
                    dispatcher.record_request("desk", now);
                }
                let assignment = attempt(dispatcher, &request.tried, now);
                let upstream = assignment.upstream[1..].parse().expect("a number");
                let index = request.attempts.len();
                if let Some(time) = service_time(upstream, at) {
                    events.push(Reverse((at + time, n, Event::Responds(index))));
                }
                let late_after = dispatcher.late_after(&assignment, OBJECTIVE, now);
                events.push(Reverse((at + late_after, n, Event::Late(index))));
                request.tried.push(assignment.upstream.clone());
                request.attempts.push(assignment);
                outcome.runs += 1;
            }
        }
    }
    outcome.times = sent.iter().map(|s| s.took.unwrap_or(DEADLINE)).collect();
    outcome.times.sort_unstable();
    outcome
}

/// Requests to a service that always takes longer than its objective ran 2.9 times each, and took as much longer.
#[test]
fn slow_service_runs_requests_once() {
    for daemons in [3, 8, 86] {
        for factor in [1.3, 2.0, 4.0] {
            let work = OBJECTIVE.mul_f64(factor);
            let outcome = play(daemons, 3, |_, _| Some(work));
            let seen = format!(
                "{daemons} daemons, {work:?}: {:.3} extra, 0.99 within {:?}",
                outcome.extra_runs(),
                outcome.quantile(0.99)
            );
            assert!(outcome.extra_runs() <= 0.05, "{seen}");
            assert!(outcome.quantile(0.99) <= work.mul_f64(1.2), "{seen}");
        }
    }
}

/// A service that slowed down for a while got a multiple of its load.
#[test]
fn service_that_slows_down_and_recovers_gets_few_extra_runs() {
    let (from, to) = (LOAD_TIME / 3, LOAD_TIME * 2 / 3);
    for daemons in [3, 8, 86] {
        for factor in [1.3, 2.0, 4.0] {
            let slow = OBJECTIVE.mul_f64(factor);
            let time = |_, at: Duration| Some(if (from..to).contains(&at) { slow } else { FAST });
            let outcome = play(daemons, 3, time);
            let extra = outcome.extra_runs();
            assert!(extra <= 0.05, "{daemons} daemons, {slow:?}: {extra:.3}");
        }
    }
}

/// Upstreams among fast ones that are slow, or never answer, cost a caller no more than the time after which each attempt on
/// them is late by the objective, and the time of a fast one.
#[test]
fn upstream_that_stands_out_delays_requests_as_little_as_before() {
    let late = OBJECTIVE.mul_f64(0.8);
    for daemons in [3, 8, 86] {
        for (upstreams, odd) in [(2, 1), (20, 1), (9, 3)] {
            for slow in [Some(OBJECTIVE * 2), Some(OBJECTIVE * 4), None] {
                let time = |upstream, _| if upstream < odd { slow } else { Some(FAST) };
                let outcome = play(daemons, upstreams, time);
                let longest = outcome.quantile(1.0);
                let late_attempts = odd.min(MAX_ATTEMPTS - 1) as u32;
                let seen =
                    format!("{daemons} daemons, {odd} of {upstreams}, {slow:?}: {longest:?}");
                assert!(longest <= late * late_attempts + FAST * 2, "{seen}");
            }
        }
    }
}
