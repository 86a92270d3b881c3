//! Plays seeds of the soak, several at a time, and says which promises were broken.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use futures::{StreamExt, stream};
use soak::{Options, Report, run_seed};

/// Sites at most, each with loopback addresses of its own.
const MAX_DEPLOYMENTS: u64 = 250;

/// Plays a randomized soak of gateways before stand-ins, on loopback.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// The gateway's program
    #[bpaf(argument("PATH"), fallback("target/release/hibiscusyoke".into()))]
    program: PathBuf,
    /// The first seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// How many seeds to play
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// How many at a time
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    jobs: usize,
    /// Gateways of each seed
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    gateways: usize,
    /// Callers of each seed
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    callers: usize,
    /// Seconds in which faults are injected
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    storm_s: u64,
    /// Where logs of seeds with broken promises are kept
    #[bpaf(argument("PATH"), optional)]
    keep: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    let options = Options {
        program: arguments.program,
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
                println!("seed {seed}: could not be played: {e}");
                failed += 1;
            }
        }
    }
    println!("{} seeds, {failed} with broken promises", arguments.seeds);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Prints what came of a seed; tells whether all promises were kept.
fn print_report(seed: u64, report: &Report) -> bool {
    let Report {
        schedule,
        requests,
        served,
        violations,
    } = report;
    println!(
        "seed {seed}: {served} of {requests} served, {} faults",
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
        println!("  BROKEN {violation}");
    }
    println!("  {} broken", violations.len());
    false
}
