//! Engines of unequal speed under a load that leaves little capacity unused.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::engine_speed::{ModelPaces, Slowness};

use crate::fleet::{Fleet, Load, Policy, prompt_of};

/// Ratios of slowness of the engines, in equal numbers.
const SLOWNESS: [f64; 3] = [0.6, 1.0, 1.6];
/// Latency objective to the first event.
const OBJECTIVE: Duration = Duration::from_secs(2);
/// Prefill time of a prompt on an average engine.
const PREFILL_TIME: Duration = Duration::from_millis(345);
/// Tokens of such a prompt.
const TOKENS: u32 = 23_000;
/// Fraction of the engines' capacity that the load needs.
const UTILIZATION: f64 = 0.95;
/// Time after the start during which the speeds are not known yet.
const LEARNING_TIME: Duration = Duration::from_secs(15);
const LOAD_DURATION: Duration = Duration::from_secs(40);

/// Slow engines collected a backlog while fast ones were idle, so that long prompts were late.
#[test]
fn long_prompts_are_late_in_at_most_7_percent_on_engines_of_three_speeds() {
    const ENGINES: usize = 24;
    let start = Instant::now();
    let mut fleet = Fleet::new(16, ENGINES, start);
    fleet.set_slowness(&SLOWNESS);
    let speed: f64 = SLOWNESS.iter().map(|ratio| 1.0 / ratio).sum::<f64>() / 3.0;
    let load = Load {
        pause: PREFILL_TIME.div_f64(UTILIZATION * speed * ENGINES as f64),
        duration: LOAD_DURATION,
    };
    let mut requests = 0;
    let (mut late, mut all) = (0, 0);
    fleet.play(
        Policy::Daemons,
        load,
        |_| {
            requests += 1;
            prompt_of(&[(requests, TOKENS)])
        },
        |now, sent| {
            if now >= start + LEARNING_TIME {
                all += 1;
                late += u32::from(sent.prefilled_at - now > OBJECTIVE);
            }
        },
    );
    assert!(late * 100 <= all * 7, "{late} of {all} late");
}

#[test]
fn a_single_stream_changes_the_estimate_by_a_bounded_amount() {
    let mut slowness = Slowness::default();
    slowness.record(100.0);
    assert!(slowness.ratio() <= 1.5, "{}", slowness.ratio());
}

/// The pace of a large model says nothing about an engine that also runs a small one.
#[test]
fn paces_are_compared_by_model() {
    let mut paces = ModelPaces::default();
    paces.record("small", Duration::from_millis(10));
    assert_eq!(paces.record("large", Duration::from_millis(100)), 1.0);
    assert!(paces.record("small", Duration::from_millis(20)) > 1.9);
}
