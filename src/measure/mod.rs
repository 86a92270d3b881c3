//! Measures the routing policy with open-loop arrivals against a fleet and stand-ins on loopback,
//! optionally in comparison with a naive baseline that receives the same arrivals.

use std::time::Duration;

use crate::local::LocalError;

mod arrivals;
mod calibrate;
mod comparison;
mod drive;
mod harness;
mod naive;
mod objects;
mod report;
mod sample;
mod scenario;
mod target;
mod timeline;
mod traffic;

pub use comparison::Comparison;
pub use report::Report;
pub use scenario::Scenario;

use crate::measure::{
    arrivals::arrivals,
    drive::drive,
    harness::Harness,
    report::build_report,
    target::{Target, TargetKind},
    timeline::timeline,
};

/// Duration of the warm-up phase, whose requests are not counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// Maximum request rate during the warm-up.
const MAX_WARM_UP_PER_SECOND: f64 = 50.0;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario to run.
    pub scenario: Scenario,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Whether to measure the naive baseline with the same arrivals as well.
    pub with_naive: bool,
}

/// Runs a measurement and, for loads relative to it, measures the fleet's capacity first.
pub async fn run(plan: &Plan) -> Result<Comparison, LocalError> {
    let capacity = match plan.scenario.load() {
        scenario::Load::PerSecond(_) => None,
        scenario::Load::TimesCapacity(_) => Some(calibrate::capacity(plan).await?),
    };
    let fleet = run_on_target(plan, TargetKind::Fleet, capacity).await?;
    let naive = if plan.with_naive {
        Some(run_on_target(plan, TargetKind::Naive, capacity).await?)
    } else {
        None
    };
    Ok(Comparison::new(plan, capacity, fleet, naive))
}

async fn run_on_target(
    plan: &Plan,
    kind: TargetKind,
    capacity: Option<f64>,
) -> Result<Report, LocalError> {
    let harness = Harness::spawn(plan.scenario).await?;
    let target = Target::spawn(kind, &harness).await?;
    let rate = plan.scenario.load().rate(capacity);
    warm_up(plan, &harness, &target, rate).await;
    let cost_before = harness.cost();
    let arrivals = arrivals(plan.scenario, plan.seed, rate, plan.duration);
    let events = timeline(plan.scenario, plan.duration);
    let samples = drive(&harness, &target, arrivals, events, plan.duration).await;
    let report = build_report(kind, &harness, &samples, plan.duration, cost_before);
    target.shutdown().await;
    Ok(report)
}

/// Sends requests that are not counted, as a new fleet treats its engines as cold at first.
async fn warm_up(plan: &Plan, harness: &Harness, target: &Target, rate: f64) {
    let rate = rate.min(MAX_WARM_UP_PER_SECOND);
    let arrivals = arrivals(plan.scenario, !plan.seed, rate, WARM_UP);
    drive(harness, target, arrivals, Vec::new(), WARM_UP).await;
}
