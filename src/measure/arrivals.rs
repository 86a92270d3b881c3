//! Open-loop arrivals: Poisson in time, drawn from a seed before the run begins.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::measure::{
    scenario::Scenario,
    traffic::{self, Traffic},
};

/// How much more often easy requests come than hard ones.
const DIFFICULTY_EXPONENT: f64 = 1.5;

/// The greatest length of a prompt in bytes.
const MAX_PROMPT_BYTES: f64 = 1_600.0;

/// One request to be sent.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) index: u64,
    pub(super) traffic: Traffic,
    pub(super) prompt: String,
}

/// The arrivals of a run; equal for equal seeds.
pub(super) fn arrivals(
    scenario: Scenario,
    seed: u64,
    rate: f64,
    duration: Duration,
) -> Vec<Arrival> {
    let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let mix = traffic::for_scenario(scenario);
    let total: f64 = mix.iter().map(|k| k.weight).sum();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        if at >= duration {
            return arrivals;
        }
        let index = arrivals.len() as u64;
        let traffic = choose_traffic(mix, rng.random_range(0.0..total));
        let prompt = prompt(&mut rng, &traffic, index);
        arrivals.push(Arrival {
            at,
            index,
            traffic,
            prompt,
        });
    }
}

fn choose_traffic(mix: &[Traffic], mut draw: f64) -> Traffic {
    for kind in mix {
        draw -= kind.weight;
        if draw < 0.0 {
            return *kind;
        }
    }
    mix[mix.len() - 1]
}

/// Longer prompts tend to be harder, but not strictly.
fn prompt(rng: &mut Xoroshiro128PlusPlus, traffic: &Traffic, index: u64) -> String {
    let uniform: f64 = rng.random();
    let difficulty = traffic.max_difficulty * uniform.powf(DIFFICULTY_EXPONENT);
    let (min, max) = traffic.tokens;
    let tokens = rng.random_range(min..=max);
    let length_factor = 0.5 * uniform + 0.5 * rng.random::<f64>();
    let bytes = (MAX_PROMPT_BYTES * length_factor * length_factor) as usize;
    let mut prompt = format!("case={index} difficulty={difficulty:.3} tokens={tokens}");
    while prompt.len() < bytes {
        prompt.push_str(" weighbridge");
    }
    prompt
}
