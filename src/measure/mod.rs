//! Measurements of the policy: open-loop arrivals against a fleet and stand-ins on loopback, beside
//! a naive baseline that is sent the same arrivals.

use std::time::Duration;

use crate::local::LocalError;

mod arrivals;
mod bed;
mod calibrate;
mod drive;
mod naive;
mod objects;
mod report;
mod sample;
mod scenario;
mod table;
mod target;
mod timeline;
mod traffic;

pub use report::Report;
pub use scenario::Scenario;
pub use table::Comparison;

use crate::measure::{
    arrivals::arrivals,
    bed::Bed,
    drive::drive,
    report::summarise,
    target::{Kind, Target},
    timeline::timeline,
};

/// How long requests are sent before any is counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// The greatest number of them a second.
const WARM_UP_RATE: f64 = 50.0;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of the arrivals.
    pub seed: u64,
    /// For how long requests arrive.
    pub length: Duration,
    /// Whether the naive baseline is sent the same arrivals.
    pub with_naive: bool,
}

/// Runs a measurement.
pub async fn run(plan: &Plan) -> Result<Comparison, LocalError> {
    let capacity = match plan.scenario.load() {
        scenario::Load::PerSecond(_) => None,
        scenario::Load::TimesCapacity(_) => Some(calibrate::capacity(plan).await?),
    };
    let fleet = run_on(plan, Kind::Fleet, capacity).await?;
    let naive = if plan.with_naive {
        Some(run_on(plan, Kind::Naive, capacity).await?)
    } else {
        None
    };
    Ok(Comparison::new(plan, capacity, fleet, naive))
}

async fn run_on(plan: &Plan, kind: Kind, capacity: Option<f64>) -> Result<Report, LocalError> {
    let bed = Bed::spawn(plan.scenario).await?;
    let target = Target::spawn(kind, &bed).await?;
    let rate = plan.scenario.load().rate(capacity);
    warm_up(plan, &bed, &target, rate).await;
    let spent = bed.cost();
    let arrivals = arrivals(plan.scenario, plan.seed, rate, plan.length);
    let events = timeline(plan.scenario, plan.length);
    let samples = drive(&bed, &target, arrivals, events, plan.length).await;
    let report = summarise(kind, &bed, &samples, plan.length, spent);
    target.shutdown().await;
    Ok(report)
}

/// Sends requests that are not counted, so that a fleet whose engines it takes for cold is warm.
async fn warm_up(plan: &Plan, bed: &Bed, target: &Target, rate: f64) {
    let rate = rate.min(WARM_UP_RATE);
    let arrivals = arrivals(plan.scenario, !plan.seed, rate, WARM_UP);
    drive(bed, target, arrivals, Vec::new(), WARM_UP).await;
}
