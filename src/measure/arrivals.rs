//! Open-loop arrivals: a Poisson process that is generated from a seed before the run starts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::measure::{
    scenario::Scenario,
    traffic::{self, Traffic},
};

/// Exponent that skews the uniform distribution of difficulty towards easy requests.
const DIFFICULTY_EXPONENT: f64 = 1.5;

/// Approximate maximum length of a prompt.
const MAX_PROMPT_BYTES: f64 = 1_600.0;

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time of arrival since the start of the run.
    pub(super) at: Duration,
    pub(super) index: u64,
    pub(super) traffic: Traffic,
    pub(super) prompt: String,
}

/// Generates the arrivals of a run; the result is the same for equal arguments.
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

/// Returns the traffic whose weight interval contains `draw`.
fn choose_traffic(mix: &[Traffic], mut draw: f64) -> Traffic {
    for kind in mix {
        draw -= kind.weight;
        if draw < 0.0 {
            return *kind;
        }
    }
    mix[mix.len() - 1]
}

/// Generates a prompt with its difficulty and answer length for the engine stand-in.
///
/// The prompt's length is correlated with its difficulty, but does not determine it.
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
