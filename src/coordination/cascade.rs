//! The order in which versions are tried: least expected cost that still answers well enough.

use std::{cmp::Ordering, time::Duration};

use crate::{
    coordination::routing::Reason,
    state::objects::{MicroCost, VersionName},
};

/// The pass probability that a version must have to answer without being rated first.
const ONCE_PASS_TARGET: f64 = 0.9;

/// How far below the best version's pass probability a cheaper one may lie.
const PASS_TOLERANCE: f64 = 0.02;

/// A version that may answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The version.
    pub version: &'a VersionName,
    /// What a thousand generated tokens cost.
    pub cost: MicroCost,
    /// The probability that its answer is good enough.
    pub pass: f64,
    /// The highest such probability that is still likely; it keeps unlucky versions in use.
    pub hoped: f64,
    /// The time within which its whole answer comes; zero while unknown.
    pub whole: Duration,
    /// Set while it is rolled out: the version whose place it takes.
    pub replaces: Option<&'a VersionName>,
}

/// Whether an answer can be rated and followed by a better one before it is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// It can't: the first answer is delivered.
    Once,
    /// It can, as far as the time suffices.
    Cascade {
        /// The time left until the deadline.
        remaining: Duration,
        /// The time that a rating takes.
        rating: Duration,
    },
}

/// What is expected of a cascade that begins with one candidate.
#[derive(Clone, Copy, Debug)]
struct Plan {
    cost: f64,
    pass: f64,
    hoped: f64,
    time: Duration,
}

impl Plan {
    fn alone(candidate: &Candidate<'_>) -> Self {
        Self {
            cost: candidate.cost as f64,
            pass: candidate.pass,
            hoped: candidate.hoped,
            time: candidate.whole,
        }
    }

    fn then(self, rating: Duration, next: Self) -> Self {
        Self {
            cost: self.cost + (1.0 - self.pass) * next.cost,
            pass: self.pass + (1.0 - self.pass) * next.pass,
            hoped: self.hoped + (1.0 - self.hoped) * next.hoped,
            time: self.time + rating + next.time,
        }
    }
}

/// Orders the candidates by preference, the first to be tried now.
///
/// A version that is rolled out goes right before the one that it replaces.
pub fn rank<'a>(candidates: Vec<Candidate<'a>>, goal: &Goal) -> Vec<(Candidate<'a>, Reason)> {
    let named: Vec<_> = candidates.iter().map(|c| c.version).collect();
    let (trials, settled): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|c| c.replaces.is_some_and(|old| named.contains(&old)));
    let mut ranked = rank_settled(settled, goal);
    for trial in trials {
        let place = ranked
            .iter()
            .position(|(c, _)| Some(c.version) == trial.replaces)
            .unwrap_or(ranked.len());
        ranked.insert(place, (trial, Reason::Rollout));
    }
    ranked
}

fn rank_settled<'a>(
    mut candidates: Vec<Candidate<'a>>,
    goal: &Goal,
) -> Vec<(Candidate<'a>, Reason)> {
    candidates.sort_by(|a, b| a.cost.cmp(&b.cost).then(a.version.cmp(b.version)));
    let best = candidates.iter().map(|c| c.pass).fold(0.0, f64::max);
    let plans = plans(&candidates, goal);
    let (target, meeting) = match goal {
        Goal::Once => (
            ONCE_PASS_TARGET.min(best - PASS_TOLERANCE),
            Reason::CheapestMeetingTarget,
        ),
        Goal::Cascade { .. } => (best - PASS_TOLERANCE, Reason::LeastExpectedCost),
    };
    let mut ranked: Vec<_> = candidates.into_iter().zip(plans).collect();
    ranked.sort_by(|(_, a), (_, b)| prefer(a, b, target));
    ranked
        .into_iter()
        .map(|(candidate, plan)| {
            let reason = if plan.hoped >= target {
                meeting
            } else {
                Reason::BestPassProbability
            };
            (candidate, reason)
        })
        .collect()
}

fn prefer(a: &Plan, b: &Plan, target: f64) -> Ordering {
    let by_pass = b.pass.total_cmp(&a.pass);
    match (a.hoped >= target, b.hoped >= target) {
        (true, true) => a.cost.total_cmp(&b.cost).then(by_pass),
        (true, false) => Ordering::Less,
        (false, true) => Ordering::Greater,
        (false, false) => by_pass.then(a.cost.total_cmp(&b.cost)),
    }
}

/// The best plan from each candidate on; `candidates` are sorted by cost.
fn plans(candidates: &[Candidate<'_>], goal: &Goal) -> Vec<Plan> {
    let mut plans: Vec<Plan> = candidates.iter().map(Plan::alone).collect();
    let Goal::Cascade { remaining, rating } = *goal else {
        return plans;
    };
    for first in (0..candidates.len()).rev() {
        let alone = plans[first];
        let next = plans[first + 1..]
            .iter()
            .map(|next| alone.then(rating, *next))
            .filter(|plan| plan.time <= remaining)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        if let Some(plan) = next {
            plans[first] = plan;
        }
    }
    plans
}
