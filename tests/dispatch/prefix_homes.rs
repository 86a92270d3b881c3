//! Tests that a large fleet keeps shared prompt prefixes cached on few engines, and that a prefix
//! which is too hot for one engine spreads.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{homes::Homes, prefix};
use platform::headers::Prompt;
use rand::Rng;

use crate::fleet::{Fleet, Load, Policy, TIME_PER_TOKEN, prompt_of};

/// Tokens that all requests share, that the requests of one subject share, and of one request.
const SEGMENT_TOKENS: [u32; 3] = [2_500, 10_800, 3_700];
/// Number of subjects per engine.
const SUBJECTS_PER_ENGINE: usize = 11;
/// Requests per second and engine.
const RATE_PER_ENGINE: f64 = 2.0;
/// How long the load lasts, after the time in which each subject is first asked for.
const LOAD_DURATION: Duration = Duration::from_secs(24);
/// Part of the load that is not evaluated, as nothing is cached yet.
const FIRST_USE_TIME: Duration = Duration::from_secs(12);

/// What a load showed.
struct Measured {
    /// Fraction of the shared tokens that did not have to be processed again.
    kept: f64,
    /// 99th percentile of the time from the request to the end of its prefill.
    late: Duration,
}

/// Plays requests of many subjects; a fraction of `hot` belongs to one subject.
fn play(policy: Policy, daemons: usize, engines: usize, hot: f64) -> Measured {
    let start = Instant::now();
    let mut fleet = Fleet::new(daemons, engines, start);
    let load = Load {
        pause: Duration::from_secs(1).div_f64(RATE_PER_ENGINE * engines as f64),
        duration: LOAD_DURATION,
    };
    let shared_tokens = f64::from(SEGMENT_TOKENS[0] + SEGMENT_TOKENS[1]);
    let mut requests = 0;
    let (mut shared, mut kept) = (0.0, 0.0);
    let mut times = Vec::new();
    fleet.play(
        policy,
        load,
        |rng| {
            let subject = match rng.random_bool(hot) {
                true => 0,
                false => rng.random_range(1..engines * SUBJECTS_PER_ENGINE),
            };
            requests += 1;
            subject_prompt(subject as u64, requests)
        },
        |now, sent| {
            if now > start + FIRST_USE_TIME {
                let processed = sent.prefill_time.div_duration_f64(TIME_PER_TOKEN);
                shared += shared_tokens;
                kept += shared_tokens - (processed - f64::from(SEGMENT_TOKENS[2]));
                times.push(sent.prefilled_at - now);
            }
        },
    );
    times.sort();
    Measured {
        kept: kept / shared,
        late: times[times.len() * 99 / 100],
    }
}

fn subject_prompt(subject: u64, request: u64) -> Prompt {
    let [common, own, unshared] = SEGMENT_TOKENS;
    prompt_of(&[
        (1, common),
        (1_000 + subject, own),
        (1_000_000 + request, unshared),
    ])
}

/// Each daemon had its own home for a prefix, and four fifths of the shared tokens were processed
/// again.
#[test]
fn shared_prefixes_stay_cached_in_large_fleets() {
    for (daemons, engines) in [(8, 12), (83, 90), (195, 99)] {
        let measured = play(Policy::Daemons, daemons, engines, 0.0);
        assert!(
            measured.kept >= 0.6,
            "{daemons} daemons keep {:.3}",
            measured.kept
        );
    }
}

/// A prefix that is requested more often than one engine can serve does not queue up there.
#[test]
fn hot_prefix_spreads_in_a_large_fleet() {
    let (random, measured) = (
        play(Policy::Random, 83, 90, 0.3),
        play(Policy::Daemons, 83, 90, 0.3),
    );
    assert!(measured.kept >= 0.6, "{:.3}", measured.kept);
    assert!(
        measured.late < random.late,
        "99th percentile {:?}, random {:?}",
        measured.late,
        random.late
    );
}

#[test]
fn homes_change_only_with_their_engines() {
    let blocks = prefix::chain("small", &subject_prompt(7, 1));
    let homes = Homes::find(&blocks, 0..90);
    let other = (0..90).find(|engine| !homes.contains(*engine));
    let without_other = Homes::find(&blocks, (0..90).filter(|engine| Some(*engine) != other));
    assert_eq!(homes, without_other);
    let first = homes.in_use(Duration::from_millis(100), |_| Duration::ZERO);
    let home = (0..90).find(|engine| first.contains(*engine));
    let moved = Homes::find(&blocks, (0..90).filter(|engine| Some(*engine) != home));
    let kept = (0..90).filter(|engine| homes.contains(*engine) && moved.contains(*engine));
    assert_eq!(kept.count(), 2);
}

#[test]
fn next_home_is_used_while_the_ones_before_are_overloaded() {
    let blocks = prefix::chain("small", &subject_prompt(7, 1));
    let homes = Homes::find(&blocks, 0..90);
    let saved = Duration::from_millis(200);
    let count = |backlog| {
        let in_use = homes.in_use(saved, |_| backlog);
        (0..90).filter(|engine| in_use.contains(*engine)).count()
    };
    assert_eq!(count(Duration::from_millis(150)), 1);
    assert_eq!(count(Duration::from_millis(250)), 3);
}
