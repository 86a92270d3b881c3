//! Randomized soak test: gateway processes run against fakes of the table and the upstreams, faults
//! are injected from outside, and invariants for callers and upstreams are checked.

pub mod caller;
pub mod deployment;
pub mod fleet;
mod injector;
pub mod invariants;
pub mod proxy;
pub mod records;
pub mod schedule;

use std::{io, path::PathBuf, time::Duration};

use deployment::Deployment;
use invariants::Violation;

/// Time without faults at the end of a run: recovery time plus the time in which every request must
/// be served.
const RECOVERY_TIME: Duration = Duration::from_secs(14);

/// Options of the run of one seed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the gateway binary.
    pub program: PathBuf,
    /// Path of the binary of an earlier build, which each gateway runs until its first restart.
    pub earlier_program: Option<PathBuf>,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of callers.
    pub callers: usize,
    /// How long faults are injected.
    pub injection_time: Duration,
    /// Folder to which logs are copied if an invariant was violated.
    pub log_folder: Option<PathBuf>,
}

/// Result of the run of one seed.
#[derive(Debug)]
pub struct Report {
    /// Injected faults, ordered by time.
    pub schedule: schedule::Schedule,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests served.
    pub served: usize,
    /// Largest part of the operators' limit on retries that was used in a window.
    pub retry_use: f64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs one seed in a deployment with the given number, from 1 to 250. The number selects the
/// loopback addresses.
///
/// # Errors
///
/// If a process can't be started or signalled.
pub async fn run_seed(seed: u64, number: u8, options: &Options) -> io::Result<Report> {
    let schedule = schedule::generate(
        seed,
        options.gateways,
        deployment::UPSTREAMS.len(),
        options.injection_time,
    );
    let mut deployment = Deployment::start(number, options).await?;
    let callers = caller::spawn(&deployment, seed, options.callers);
    injector::run(&mut deployment, &schedule).await?;
    tokio::time::sleep(RECOVERY_TIME).await;
    let records = callers.stop().await;
    let mut violations = invariants::check(&deployment, &records);
    violations.extend(invariants::check_directories(&deployment).await);
    deployment.fleet.stop().await?;
    violations.extend(deployment.fleet.violations());
    if let (false, Some(folder)) = (violations.is_empty(), &options.log_folder) {
        deployment.copy_logs(&folder.join(seed.to_string()))?;
    }
    Ok(Report {
        schedule,
        requests: records.len(),
        retry_use: invariants::retry_use(&deployment, &records)
            .map(|(_, worst)| worst.fraction())
            .into_iter()
            .fold(0.0, f64::max),
        served: records.iter().filter(|r| r.outcome.is_served()).count(),
        violations,
    })
}
