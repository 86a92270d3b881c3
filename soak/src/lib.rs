//! A randomized soak: gateways run as processes of their own before stand-ins of the table and the
//! upstreams, faults are injected from outside, and the promises to callers are checked.

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

/// The time without faults after which all is served again, and how long that is watched.
const RECOVERY_TIME: Duration = Duration::from_secs(14);

/// How one seed is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway's program.
    pub program: PathBuf,
    /// The gateways.
    pub gateways: usize,
    /// The callers.
    pub callers: usize,
    /// How long faults are injected.
    pub injection_time: Duration,
    /// Where logs are kept if a promise was broken.
    pub log_folder: Option<PathBuf>,
}

/// What came of one seed.
#[derive(Debug)]
pub struct Report {
    /// The faults, in order of time.
    pub schedule: schedule::Schedule,
    /// Requests sent and requests served.
    pub requests: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

/// Plays one seed at a site of the given number, from 1 to 250.
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
        served: records.iter().filter(|r| r.outcome.is_served()).count(),
        violations,
    })
}
