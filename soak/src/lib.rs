//! A randomized soak: gateways run as processes of their own before stand-ins of the table and the
//! upstreams, faults are injected from outside, and the promises to callers are checked.

pub mod caller;
pub mod fleet;
pub mod ledger;
pub mod link;
pub mod plan;
pub mod promise;
pub mod site;
mod storm;

use std::{io, path::PathBuf, time::Duration};

use promise::Violation;
use site::Site;

/// The time without faults after which all is served again, and how long that is watched.
const CALM: Duration = Duration::from_secs(14);

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
    pub storm: Duration,
    /// Where logs are kept if a promise was broken.
    pub keep: Option<PathBuf>,
}

/// What came of one seed.
#[derive(Debug)]
pub struct Report {
    /// The faults, in order of time.
    pub plan: plan::Plan,
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
pub async fn play(seed: u64, number: u8, options: &Options) -> io::Result<Report> {
    let plan = plan::draw(seed, options.gateways, site::UPSTREAMS.len(), options.storm);
    let mut site = Site::open(number, options).await?;
    let callers = caller::spawn(&site, seed, options.callers);
    storm::run(&mut site, &plan).await?;
    tokio::time::sleep(CALM).await;
    let records = callers.stop().await;
    let mut violations = promise::check(&site, &records);
    violations.extend(promise::check_directories(&site).await);
    site.fleet.stop().await?;
    violations.extend(site.fleet.violations());
    if let (false, Some(folder)) = (violations.is_empty(), &options.keep) {
        site.keep_logs(&folder.join(seed.to_string()))?;
    }
    Ok(Report {
        plan,
        requests: records.len(),
        served: records.iter().filter(|r| r.outcome.is_served()).count(),
        violations,
    })
}
