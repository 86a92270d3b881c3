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
    pub(super) number: u64,
    pub(super) traffic: Traffic,
    pub(super) prompt: String,
}

/// The arrivals of a run; equal for equal seeds.
pub(super) fn arrivals(scenario: Scenario, seed: u64, rate: f64, length: Duration) -> Vec<Arrival> {
    let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let kinds = traffic::of(scenario);
    let total: f64 = kinds.iter().map(|k| k.weight).sum();
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / rate);
        if at >= length {
            return arrivals;
        }
        let number = arrivals.len() as u64;
        let traffic = kind(kinds, rng.random_range(0.0..total));
        let prompt = prompt(&mut rng, &traffic, number);
        arrivals.push(Arrival {
            at,
            number,
            traffic,
            prompt,
        });
    }
}

fn kind(kinds: &[Traffic], mut lot: f64) -> Traffic {
    for kind in kinds {
        lot -= kind.weight;
        if lot < 0.0 {
            return *kind;
        }
    }
    kinds[kinds.len() - 1]
}

/// Longer prompts tend to be harder, but not strictly.
fn prompt(rng: &mut Xoroshiro128PlusPlus, traffic: &Traffic, number: u64) -> String {
    let unit: f64 = rng.random();
    let difficulty = traffic.hardest * unit.powf(DIFFICULTY_EXPONENT);
    let (least, greatest) = traffic.tokens;
    let tokens = rng.random_range(least..=greatest);
    let mixed = 0.5 * unit + 0.5 * rng.random::<f64>();
    let bytes = (MAX_PROMPT_BYTES * mixed * mixed) as usize;
    let mut prompt = format!("case={number} difficulty={difficulty:.3} tokens={tokens}");
    while prompt.len() < bytes {
        prompt.push_str(" weighbridge");
    }
    prompt
}
