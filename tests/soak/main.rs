//! A short run of the soak, and the seeds that once broke a promise.

use std::time::Duration;

use soak::{Options, play};

/// Seeds that are always played.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that once broke a promise, each with a line on the cause.
const ONCE_BROKEN: &str = include_str!("once_broken.txt");

fn once_broken() -> Vec<u64> {
    ONCE_BROKEN
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split('|').next())
        .map(|seed| seed.trim().parse().expect("a seed"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_hibiscusyoke").into(),
        gateways: 3,
        callers: 6,
        storm: Duration::from_secs(6),
        keep: None,
    };
    let seeds = SEEDS.into_iter().chain(once_broken());
    let plays = seeds.zip(1..).map(|(seed, site)| {
        let options = &options;
        async move { (seed, play(seed, site, options).await) }
    });
    for (seed, report) in futures::future::join_all(plays).await {
        let report = report.expect("played");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}\n{:?}",
            report.violations,
            report.plan
        );
        assert!(report.served > 0, "seed {seed}: nothing was served");
    }
}
