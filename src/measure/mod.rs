//! Measurements of the policy: open-loop arrivals against a fleet and stand-ins on loopback, beside
//! a naive baseline that is sent the same arrivals.

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

/// How long requests are sent before any is counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// The greatest number of them a second.
const MAX_WARM_UP_PER_SECOND: f64 = 50.0;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of the arrivals.
    pub seed: u64,
    /// For how long requests arrive.
    pub duration: Duration,
    /// Whether the naive baseline is sent the same arrivals.
    pub with_naive: bool,
}

/// Runs a measurement.
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

/// Sends requests that are not counted, so that a fleet whose engines it takes for cold is warm.
async fn warm_up(plan: &Plan, harness: &Harness, target: &Target, rate: f64) {
    let rate = rate.min(MAX_WARM_UP_PER_SECOND);
    let arrivals = arrivals(plan.scenario, !plan.seed, rate, WARM_UP);
    drive(harness, target, arrivals, Vec::new(), WARM_UP).await;
}
