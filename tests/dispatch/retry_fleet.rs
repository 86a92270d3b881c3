//! The retries of whole fleets in virtual time, while daemons restart and stand still.
//!
//! Load pattern: all upstreams of a service fail, at times or throughout, and each request is retried as often as the
//! budget of its daemon allows.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{Dispatcher, heartbeat::TableState};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use stand_in::gateway::{
    retry_audit::{RetryBound, WindowUse, worst_window},
    upstream::Arrival,
};

use crate::support::{LIMITS, daemon, heartbeat};

/// Time of a run, six windows.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time between two ticks of a daemon.
const TICK: Duration = Duration::from_millis(250);
/// Requests per second for each daemon.
const RATE_PER_DAEMON: f64 = 4.0;
/// Attempts that a route allows.
const MAX_ATTEMPTS: usize = 3;
/// Mean time between two disruptions of a daemon.
const DISRUPTION_INTERVAL: Duration = Duration::from_secs(12);
/// Length of a pause in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 1_000..9_000;

struct Daemon {
    dispatcher: Dispatcher,
    /// Until when it stands still.
    paused_until: Instant,
    /// Requests that wait in its sockets.
    unread: Vec<String>,
}

/// What upstreams fail.
#[derive(Clone, Copy, Debug)]
enum Failures {
    /// All requests.
    All,
    /// All requests for a time, and none for a time as long.
    Episodes(Duration),
}

impl Failures {
    fn fails(self, elapsed: Duration) -> bool {
        match self {
            Self::All => true,
            Self::Episodes(length) => {
                (elapsed.as_secs_f64() / length.as_secs_f64()) as u64 % 2 == 1
            }
        }
    }
}

/// Starts a daemon that knows all others, as after reading their records.
fn start(count: usize, slack_from: Instant, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(daemon("front-0"), "a".into(), LIMITS, 1);
    for n in 1..count {
        let heartbeat = heartbeat(&format!("front-{n}"), TableState::Reachable);
        let address = ([127, 1, (n / 256) as u8, (n % 256) as u8], 9_000).into();
        dispatcher.receive_heartbeat(heartbeat, address, now);
    }
    dispatcher.set_slack_from(slack_from);
    dispatcher.tick(now);
    dispatcher
}

/// Runs a fleet whose daemons are killed and paused at random; returns its use of the budget.
fn run(count: usize, failures: Failures, seed: u64) -> WindowUse {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
    let begin = Instant::now();
    let mut fleet: Vec<Daemon> = (0..count)
        .map(|_| Daemon {
            dispatcher: start(count, begin, begin),
            paused_until: begin,
            unread: Vec::new(),
        })
        .collect();
    let (mut sent, mut arrivals) = (Vec::new(), Vec::new());
    let requests = TICK.as_secs_f64() * RATE_PER_DAEMON;
    let disrupted = TICK.as_secs_f64() / DISRUPTION_INTERVAL.as_secs_f64();
    let mut elapsed = Duration::ZERO;
    while elapsed < RUN_TIME {
        elapsed += TICK;
        let now = begin + elapsed;
        for (n, daemon) in fleet.iter_mut().enumerate() {
            if rng.random_bool(requests) {
                daemon.unread.push(format!("{n}-{}", sent.len()));
                sent.push(now);
            }
            if now < daemon.paused_until {
                continue;
            }
            if rng.random_bool(disrupted) {
                match rng.random_bool(0.5) {
                    true => {
                        let slack_from = now + LIMITS.retries.window;
                        daemon.dispatcher = start(count, slack_from, now);
                        daemon.unread.clear();
                    }
                    false => {
                        let pause = Duration::from_millis(rng.random_range(PAUSES_MS));
                        daemon.paused_until = now + pause;
                        continue;
                    }
                }
            }
            for id in std::mem::take(&mut daemon.unread) {
                daemon.dispatcher.record_request("desk", now);
                let arrival = Arrival { id, at: now };
                arrivals.push(arrival.clone());
                let mut attempts = 1;
                while failures.fails(elapsed)
                    && attempts < MAX_ATTEMPTS
                    && daemon.dispatcher.reserve_retry("desk", now)
                {
                    daemon.dispatcher.spend_retry("desk", now);
                    arrivals.push(arrival.clone());
                    attempts += 1;
                }
            }
            daemon.dispatcher.tick(now);
        }
    }
    let bound = RetryBound {
        ratio: LIMITS.retries.ratio,
        slack: LIMITS.retries.slack,
        window: LIMITS.retries.window,
    };
    worst_window(sent, arrivals, &bound)
}

fn check(count: usize, seeds: std::ops::Range<u64>) {
    let episodes = Failures::Episodes(Duration::from_secs(13));
    for failures in [Failures::All, episodes] {
        for seed in seeds.clone() {
            let worst = run(count, failures, seed);
            let fraction = worst.fraction();
            assert!(
                fraction <= 1.0,
                "{count} {failures:?} seed {seed}: {worst:?}"
            );
            assert!(
                fraction > 0.5,
                "{count} {failures:?} seed {seed}: {worst:?}"
            );
        }
    }
}

/// Restarts handed out the slack anew, and pauses the ratio of the requests that were sent meanwhile.
#[test]
fn retries_stay_within_the_limit_while_daemons_restart_and_pause() {
    check(8, 0..20);
    check(86, 0..1);
}
