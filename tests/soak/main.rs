//! Short run of the soak test, including the seeds that violated an invariant before.

use std::time::Duration;

use soak::{Options, run_seed};

/// Seeds that are always run.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that violated an invariant before, each with the cause.
const ONCE_BROKEN: &str = include_str!("once_broken.txt");

fn once_broken() -> Vec<u64> {
    ONCE_BROKEN
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split('|').next())
        .map(|seed| seed.trim().parse().expect("valid seed"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_faults() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_hibiscusyoke").into(),
        earlier_program: None,
        gateways: 3,
        callers: 6,
        injection_time: Duration::from_secs(6),
        log_folder: None,
    };
    let seeds = SEEDS.into_iter().chain(once_broken());
    let runs = seeds.zip(1..).map(|(seed, deployment)| {
        let options = &options;
        async move { (seed, run_seed(seed, deployment, options).await) }
    });
    for (seed, report) in futures::future::join_all(runs).await {
        let report = report.expect("run completed");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}\n{:?}",
            report.violations,
            report.schedule
        );
        assert!(report.served > 0, "seed {seed}: nothing was served");
    }
}
