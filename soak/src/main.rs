//! Runs seeds of the soak test, several at a time, and reports violated invariants.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use futures::{StreamExt, stream};
use soak::{Options, Report, run_seed};

/// Maximum number of deployments, each with its own loopback addresses.
const MAX_DEPLOYMENTS: u64 = 250;

/// Runs a randomized soak test of gateways against fake services on loopback addresses.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Path of the gateway binary
    #[bpaf(argument("PATH"), fallback("target/release/hibiscusyoke".into()))]
    program: PathBuf,
    /// Path of the binary of an earlier build, which each gateway runs until its first restart
    #[bpaf(argument("PATH"), optional)]
    earlier: Option<PathBuf>,
    /// First seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds to run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Number of seeds to run concurrently
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    jobs: usize,
    /// Number of gateways per seed
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    gateways: usize,
    /// Number of callers per seed
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    callers: usize,
    /// Number of seconds during which faults are injected
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    storm_s: u64,
    /// Folder for the logs of seeds with violated invariants
    #[bpaf(argument("PATH"), optional)]
    keep: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    let options = Options {
        program: arguments.program,
        earlier_program: arguments.earlier,
        gateways: arguments.gateways,
        callers: arguments.callers,
        injection_time: Duration::from_secs(arguments.storm_s),
        log_folder: arguments.keep,
    };
    let seeds = arguments.seed..arguments.seed + arguments.seeds;
    let reports = stream::iter(seeds.clone().zip((1..=MAX_DEPLOYMENTS).cycle()))
        .map(|(seed, deployment)| {
            let options = options.clone();
            async move {
                let deployment = u8::try_from(deployment).unwrap_or(1);
                let report = run_seed(seed, deployment, &options).await;
                (seed, report)
            }
        })
        .buffer_unordered(arguments.jobs);
    futures::pin_mut!(reports);
    let mut failed = 0;
    while let Some((seed, report)) = reports.next().await {
        match report {
            Ok(report) => failed += u64::from(!print_report(seed, &report)),
            Err(e) => {
                println!("seed {seed}: could not be run: {e}");
                failed += 1;
            }
        }
    }
    println!(
        "{} seeds, {failed} with violations or errors",
        arguments.seeds
    );
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Prints the report of a seed; returns whether no invariant was violated.
fn print_report(seed: u64, report: &Report) -> bool {
    let Report {
        schedule,
        requests,
        served,
        retry_use,
        violations,
    } = report;
    println!(
        "seed {seed}: {served} of {requests} served, {} faults, {retry_use:.2} of the retry budget used",
        schedule.len()
    );
    if violations.is_empty() {
        return true;
    }
    for step in schedule {
        println!(
            "  {:>8.3?} for {:>8.3?} {:?}",
            step.at, step.duration, step.fault
        );
    }
    for violation in violations.iter().take(20) {
        println!("  VIOLATION {violation}");
    }
    println!("  {} violations", violations.len());
    false
}
