//! Repeats of requests: failures that callers and daemons would multiply.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::budget::RepeatBudget;

use crate::support::LIMITS;

const DAEMONS: usize = 8;

/// Each request fails and is repeated as often as it may be; the sum of all daemons stays within
/// the operators' limit in every window.
#[test]
fn failing_service_over_all_daemons() {
    let limit = LIMITS.repeats;
    let start = Instant::now();
    let mut budgets = vec![RepeatBudget::default(); DAEMONS];
    let mut log: Vec<(Duration, bool)> = Vec::new();
    for step in 0..4_000_u32 {
        let at = Duration::from_millis(u64::from(step) * 10);
        let budget = &mut budgets[step as usize % DAEMONS];
        budget.request(&limit, start + at);
        log.push((at, false));
        while budget.take(&limit, DAEMONS, start + at) {
            log.push((at, true));
        }
    }
    for window in 0..30 {
        let from = Duration::from_secs(window);
        let inside = |(at, _): &&(Duration, bool)| *at >= from && *at < from + limit.window;
        let repeats = log
            .iter()
            .filter(inside)
            .filter(|(_, repeat)| *repeat)
            .count();
        let requests = log
            .iter()
            .filter(inside)
            .filter(|(_, repeat)| !*repeat)
            .count();
        let allowed = limit.ratio * requests as f64 + limit.slack;
        assert!(
            repeats as f64 <= allowed,
            "{repeats} of {allowed} in the window from {from:?}"
        );
        assert!(
            repeats as f64 >= 0.7 * allowed,
            "{repeats} of {allowed}: the budget is used"
        );
    }
}

#[test]
fn idle_daemon_has_its_part_of_the_slack() {
    let mut budget = RepeatBudget::default();
    let now = Instant::now();
    let granted = (0..100)
        .filter(|_| budget.take(&LIMITS.repeats, DAEMONS, now))
        .count();
    assert_eq!(granted, 5, "0.8 of 56 / 8");
}

#[test]
fn budget_returns_with_the_window() {
    let limit = LIMITS.repeats;
    let mut budget = RepeatBudget::default();
    let now = Instant::now();
    while budget.take(&limit, 1, now) {}
    assert!(!budget.take(&limit, 1, now + limit.window / 2));
    assert!(budget.take(&limit, 1, now + limit.window));
}
