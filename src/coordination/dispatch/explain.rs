//! Tells where a request would go now and why, without placing it.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use platform::{ServiceName, configuration::Route};
use rand::Rng;
use rand_xoshiro::Xoshiro128PlusPlus;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    Dispatcher, as_millis,
    assignment::{NoSlotReason, Placement, PlacementRequest},
    draw_service,
    evaluation::{Evaluated, Evaluation},
    peers::Peer,
    registry::Upstream,
    rollout::Arm,
};

/// Where a request would go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// To an upstream.
    Upstream {
        /// The upstream.
        upstream: CompactString,
        /// Expected time to the first event in milliseconds.
        expected_ms: u32,
    },
    /// To an upstream once the rate limit of cold ones allows it.
    Wait {
        /// Time until then in milliseconds.
        ms: u32,
    },
    /// To another daemon, as this one reaches no upstream.
    Delegate,
    /// To none.
    Refuse {
        /// Why.
        reason: CompactString,
        /// The Retry-After in milliseconds.
        retry_after_ms: u32,
    },
}

/// An upstream that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsideredUpstream {
    /// The upstream.
    pub upstream: CompactString,
    /// Version that it runs.
    pub version: CompactString,
    /// Its expected cost in milliseconds; absent if it cannot take the request.
    pub cost: Option<f64>,
    /// Why it was passed over; absent for the one that was chosen.
    pub passed_over: Option<CompactString>,
    /// Time until it has processed its outstanding prompts, in milliseconds.
    pub backlog_ms: u32,
    /// Requests of all daemons that run on it.
    pub running: u32,
    /// Its number of slots.
    pub slots: u32,
}

/// The age of the data that a decision rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataAge {
    /// Daemons whose counts of running requests and prompts are used.
    pub daemons: u32,
    /// Age of the newest of their heartbeats in milliseconds.
    pub newest_heartbeat_ms: Option<u32>,
    /// Age of the oldest of their heartbeats in milliseconds.
    pub oldest_heartbeat_ms: Option<u32>,
    /// For how long the table has not been read, in milliseconds; absent if it can be read.
    pub table_lost_ms: Option<u32>,
}

/// Why a request would go where it goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Where it would go.
    pub decision: Decision,
    /// The service.
    pub service: ServiceName,
    /// The arm of the service's rollout, if there is one.
    pub arm: Option<CompactString>,
    /// Generation of the configuration.
    pub generation: u64,
    /// The upstreams that were considered, the cheapest first, those that cannot take it last.
    pub candidates: Vec<ConsideredUpstream>,
    /// The age of the data.
    pub data_age: DataAge,
}

/// The draws that the next request gets, without using them up.
#[derive(Clone, Debug)]
pub struct NextDraws(Xoshiro128PlusPlus);

impl NextDraws {
    /// Picks the service that the next request of a route gets.
    pub fn pick_service(&mut self, route: &Route) -> Option<ServiceName> {
        draw_service(route, &mut self.0)
    }
}

impl Dispatcher {
    /// Returns the draws that the next request gets.
    pub fn next_draws(&self) -> NextDraws {
        NextDraws(self.rng.clone())
    }

    /// Tells where a request would go.
    pub fn explain(
        &self,
        request: &PlacementRequest<'_>,
        mut draws: NextDraws,
        now: Instant,
    ) -> Explanation {
        let rollout = self.rollouts.get(request.service);
        let mut arm = rollout.map(|rollout| rollout.expected_arm(request.session, now));
        let mut evaluation = self.evaluate(request, arm, draws.0.random(), now);
        let mut chosen = self.choose(request, &evaluation);
        if arm == Some(Arm::New) && matches!(chosen, Err(Placement::Refuse(..))) {
            arm = Some(Arm::Old);
            evaluation = self.evaluate(request, arm, draws.0.random(), now);
            chosen = self.choose(request, &evaluation);
        }
        let chosen_id = chosen.as_ref().ok().map(|(upstream, _)| &upstream.id);
        let candidates = self.considered(&evaluation, chosen_id.map(CompactString::as_str), now);
        let decision = match chosen {
            _ if self.reachability.is_cut_off() => Decision::Delegate,
            Ok((upstream, candidate)) => Decision::Upstream {
                upstream: upstream.id.clone(),
                expected_ms: as_millis(candidate.backlog + candidate.prefill_time),
            },
            Err(placement) => decision_without_upstream(&placement),
        };
        Explanation {
            decision,
            service: request.service.into(),
            arm: arm.map(|arm| arm.name().into()),
            generation: self.generation(),
            candidates,
            data_age: self.data_age(now),
        }
    }

    fn considered(
        &self,
        evaluation: &Evaluation<'_>,
        chosen: Option<&str>,
        now: Instant,
    ) -> Vec<ConsideredUpstream> {
        let considered = |evaluated: &Evaluated<'_>| {
            let upstream: &Upstream = evaluated.upstream;
            let (cost, passed_over) = match &evaluated.cost {
                Ok((cost, _)) if chosen == Some(&*upstream.id) => (Some(*cost), None),
                Ok((cost, _)) if chosen.is_some() => (Some(*cost), Some("costlier".into())),
                Ok((cost, _)) => (Some(*cost), Some("too_late".into())),
                Err(reason) => (None, Some(CompactString::from(reason.to_string()))),
            };
            ConsideredUpstream {
                upstream: upstream.id.clone(),
                version: upstream.version.clone(),
                cost,
                passed_over,
                backlog_ms: as_millis(self.wait(upstream, now)),
                running: self.running(upstream),
                slots: upstream.slots,
            }
        };
        let mut candidates: Vec<ConsideredUpstream> =
            evaluation.evaluated.iter().map(considered).collect();
        let order = |candidate: &ConsideredUpstream| candidate.cost.unwrap_or(f64::INFINITY);
        candidates.sort_by(|a, b| order(a).total_cmp(&order(b)));
        candidates
    }

    fn data_age(&self, now: Instant) -> DataAge {
        let ages: Vec<Duration> = self
            .peers
            .live(now)
            .map(|peer: &Peer| peer.report_age(now))
            .collect();
        let lost_for = |at: Instant| as_millis(now.saturating_duration_since(at));
        DataAge {
            daemons: u32::try_from(ages.len()).unwrap_or(u32::MAX),
            newest_heartbeat_ms: ages.iter().min().copied().map(as_millis),
            oldest_heartbeat_ms: ages.iter().max().copied().map(as_millis),
            table_lost_ms: self.table_lost.map(lost_for),
        }
    }
}

fn decision_without_upstream(placement: &Placement) -> Decision {
    match placement {
        Placement::Wait(wait) => Decision::Wait {
            ms: as_millis(*wait),
        },
        // A daemon that reaches no usable upstream lets another one serve the request.
        Placement::Refuse(NoSlotReason::Unreachable, _) => Decision::Delegate,
        Placement::Refuse(reason, wait) => Decision::Refuse {
            reason: reason.to_string().into(),
            retry_after_ms: as_millis(*wait),
        },
        // Nothing is assigned by an explanation.
        Placement::Assigned(assignment) => Decision::Upstream {
            upstream: assignment.upstream.clone(),
            expected_ms: as_millis(assignment.expected_first_event()),
        },
    }
}
