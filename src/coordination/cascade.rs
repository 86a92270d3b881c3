//! Ranks versions: lowest expected cost among those that are expected to be good enough.

use std::{cmp::Ordering, time::Duration};

use crate::{
    coordination::routing::Reason,
    state::objects::{MicroCost, VersionName},
};

/// Maximum gap to the best version's pass probability at which a cheaper version is acceptable.
const PASS_TOLERANCE: f64 = 0.02;

/// A version that is eligible for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The version.
    pub version: &'a VersionName,
    /// The cost of a thousand generated tokens.
    pub cost: MicroCost,
    /// The estimated probability that its response is good enough.
    pub pass_probability: f64,
    /// A plausible upper bound of that probability; keeps versions with unlucky ratings in use.
    pub pass_upper_bound: f64,
    /// A time within which it completes most requests; zero while unknown.
    pub completion_time: Duration,
    /// The version that it replaces, if it is on trial in a rollout.
    pub replaces: Option<&'a VersionName>,
}

/// Whether a response can be rated and the request escalated before delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The first response is delivered without rating.
    SingleAttempt,
    /// Responses are rated, and the request is escalated while time remains.
    Cascade {
        /// Time until the deadline.
        remaining: Duration,
        /// Duration of a rating.
        rating: Duration,
    },
}

/// Expected values for a cascade that starts with one candidate.
#[derive(Clone, Copy, Debug)]
struct Plan {
    cost: f64,
    pass_probability: f64,
    pass_upper_bound: f64,
    time: Duration,
}

impl Plan {
    fn single(candidate: &Candidate<'_>) -> Self {
        Self {
            cost: candidate.cost as f64,
            pass_probability: candidate.pass_probability,
            pass_upper_bound: candidate.pass_upper_bound,
            time: candidate.completion_time,
        }
    }

    fn then(self, rating: Duration, next: Self) -> Self {
        Self {
            cost: self.cost + (1.0 - self.pass_probability) * next.cost,
            pass_probability: self.pass_probability
                + (1.0 - self.pass_probability) * next.pass_probability,
            pass_upper_bound: self.pass_upper_bound
                + (1.0 - self.pass_upper_bound) * next.pass_upper_bound,
            time: self.time + rating + next.time,
        }
    }
}

/// Orders the candidates by preference; the first one is tried first.
///
/// A version that is being rolled out goes directly before the one that it replaces.
pub fn rank<'a>(
    candidates: Vec<Candidate<'a>>,
    strategy: &Strategy,
) -> Vec<(Candidate<'a>, Reason)> {
    let candidate_versions: Vec<_> = candidates.iter().map(|c| c.version).collect();
    let (trials, established): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|c| {
        c.replaces
            .is_some_and(|old| candidate_versions.contains(&old))
    });
    let mut ranked = rank_established(established, strategy);
    for trial in trials {
        let index = ranked
            .iter()
            .position(|(c, _)| Some(c.version) == trial.replaces)
            .unwrap_or(ranked.len());
        ranked.insert(index, (trial, Reason::Rollout));
    }
    ranked
}

fn rank_established<'a>(
    mut candidates: Vec<Candidate<'a>>,
    strategy: &Strategy,
) -> Vec<(Candidate<'a>, Reason)> {
    candidates.sort_by(|a, b| a.cost.cmp(&b.cost).then(a.version.cmp(b.version)));
    let best = candidates
        .iter()
        .map(|c| c.pass_probability)
        .fold(0.0, f64::max);
    let plans = plans(&candidates, strategy);
    let target = best - PASS_TOLERANCE;
    let meeting_reason = match strategy {
        Strategy::SingleAttempt => Reason::CheapestMeetingTarget,
        Strategy::Cascade { .. } => Reason::LeastExpectedCost,
    };
    let mut ranked: Vec<_> = candidates.into_iter().zip(plans).collect();
    ranked.sort_by(|(_, a), (_, b)| prefer(a, b, target));
    ranked
        .into_iter()
        .map(|(candidate, plan)| {
            let reason = if plan.pass_upper_bound >= target {
                meeting_reason
            } else {
                Reason::BestPassProbability
            };
            (candidate, reason)
        })
        .collect()
}

fn prefer(a: &Plan, b: &Plan, target: f64) -> Ordering {
    let by_pass = b.pass_probability.total_cmp(&a.pass_probability);
    match (a.pass_upper_bound >= target, b.pass_upper_bound >= target) {
        (true, true) => a.cost.total_cmp(&b.cost).then(by_pass),
        (true, false) => Ordering::Less,
        (false, true) => Ordering::Greater,
        (false, false) => by_pass.then(a.cost.total_cmp(&b.cost)),
    }
}

/// Returns the best plan that starts with each candidate; `candidates` are sorted by cost.
fn plans(candidates: &[Candidate<'_>], strategy: &Strategy) -> Vec<Plan> {
    let mut plans: Vec<Plan> = candidates.iter().map(Plan::single).collect();
    let Strategy::Cascade { remaining, rating } = *strategy else {
        return plans;
    };
    for first in (0..candidates.len()).rev() {
        let single = plans[first];
        let next = plans[first + 1..]
            .iter()
            .map(|next| single.then(rating, *next))
            .filter(|plan| plan.time <= remaining)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        if let Some(plan) = next {
            plans[first] = plan;
        }
    }
    plans
}
