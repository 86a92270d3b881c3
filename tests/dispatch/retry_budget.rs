//! Tests that retries stay within the operators' limit when callers and daemons repeat failed
//! requests.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher,
    heartbeat::{Heartbeat, Readiness, TableState},
    retry_budget::{RetryBudget, RetryLimit, SlackShare},
};

use crate::support::{LIMITS, dispatcher, heartbeat, receive_heartbeat};

const DAEMONS: usize = 8;

/// Takes a retry that is sent at once.
fn try_take(budget: &mut RetryBudget, limit: &RetryLimit, share: SlackShare, now: Instant) -> bool {
    let is_left = budget.try_reserve(limit, share, now);
    if is_left {
        budget.spend_reserved(limit, now);
    }
    is_left
}

/// Each request fails and is retried as often as the budget allows. The sum over all daemons stays
/// within the operators' limit in every window.
#[test]
fn retries_of_all_daemons_stay_within_the_limit() {
    let limit = LIMITS.retries;
    let start = Instant::now();
    let mut budgets = vec![RetryBudget::default(); DAEMONS];
    let mut log: Vec<(Duration, bool)> = Vec::new();
    for step in 0..4_000_u32 {
        let at = Duration::from_millis(u64::from(step) * 10);
        let budget = &mut budgets[step as usize % DAEMONS];
        budget.record_request(&limit, start + at);
        log.push((at, false));
        while try_take(budget, &limit, SlackShare::OneOf(DAEMONS), start + at) {
            log.push((at, true));
        }
    }
    for window in 0..30 {
        let from = Duration::from_secs(window);
        let inside = |(at, _): &&(Duration, bool)| *at >= from && *at < from + limit.window;
        let retries = log
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
            retries as f64 <= allowed,
            "{retries} of {allowed} in the window from {from:?}"
        );
        assert!(
            retries as f64 >= 0.7 * allowed,
            "{retries} of {allowed}: the budget is not used"
        );
    }
}

#[test]
fn idle_daemon_gets_its_share_of_the_slack() {
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    let granted = (0..100)
        .filter(|_| {
            try_take(
                &mut budget,
                &LIMITS.retries,
                SlackShare::OneOf(DAEMONS),
                now,
            )
        })
        .count();
    assert_eq!(granted, 5, "0.8 of 56 / 8");
}

#[test]
fn budget_is_restored_after_the_window() {
    let limit = LIMITS.retries;
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    let alone = SlackShare::OneOf(1);
    while try_take(&mut budget, &limit, alone, now) {}
    assert!(!try_take(
        &mut budget,
        &limit,
        alone,
        now + limit.window / 2
    ));
    assert!(try_take(&mut budget, &limit, alone, now + limit.window));
}

/// A request that another daemon counts was taken from the newest requests, not from those of its own time.
#[test]
fn withdrawn_request_leaves_those_that_came_after_it() {
    let limit = LIMITS.retries;
    let mut budget = RetryBudget::default();
    let start = Instant::now();
    let later = start + limit.window / 2;
    budget.record_request(&limit, start);
    budget.record_request(&limit, later);
    budget.withdraw_request(&limit, start);
    let requests =
        |budget: &RetryBudget, at| budget.usage(&limit, SlackShare::Withheld, at).requests;
    assert_eq!(requests(&budget, later), 1);
    assert_eq!(requests(&budget, start + limit.window), 1);
    assert_eq!(requests(&budget, later + limit.window), 0);
}

/// Requests that a daemon reads after a pause count for the time before it: callers sent them meanwhile.
#[test]
fn requests_read_after_a_pause_count_as_sent_during_it() {
    const TICK: Duration = Duration::from_millis(250);
    let pause = LIMITS.retries.window * 3 / 5;
    let mut dispatcher = dispatcher();
    let start = Instant::now();
    dispatcher.tick(start);
    let paused_at = start + TICK;
    dispatcher.tick(paused_at);
    let woken_at = paused_at + pause;
    assert_eq!(dispatcher.record_request("desk", woken_at), paused_at);
    dispatcher.tick(woken_at);
    let read_at = woken_at + TICK / 2;
    assert_eq!(dispatcher.record_request("desk", read_at), paused_at);
    let mut now = woken_at;
    for _ in 0..4 {
        now += TICK;
        dispatcher.tick(now);
    }
    assert_eq!(dispatcher.record_request("desk", now), now);
}

/// Counts the retries that a dispatcher grants at a time.
fn granted(dispatcher: &mut Dispatcher, now: Instant) -> usize {
    let granted = (0..100)
        .filter(|_| dispatcher.reserve_retry("desk", now))
        .count();
    for _ in 0..granted {
        dispatcher.spend_retry("desk", now);
    }
    granted
}

/// A daemon that started anew had its part of the slack again, which the process before may have taken.
#[test]
fn slack_is_withheld_for_a_window_after_the_start() {
    let start = Instant::now();
    let window = LIMITS.retries.window;
    let mut dispatcher = dispatcher();
    assert_eq!(granted(&mut dispatcher, start), 0, "no peers are known yet");
    dispatcher.set_slack_from(start + window);
    dispatcher.record_request("desk", start);
    dispatcher.record_request("desk", start);
    let almost = start + window - Duration::from_millis(500);
    assert_eq!(granted(&mut dispatcher, almost), 1, "0.8 of 0.9 x 2");
    let all = granted(&mut dispatcher, start + 2 * window);
    assert_eq!(all, 44, "0.8 of 56");
}

/// Daemons took over the parts of those that were silent or left, which may have taken them or run behind a partition.
#[test]
fn slack_of_silent_and_leaving_daemons_is_not_taken_over() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    dispatcher.set_slack_from(start);
    let others: Vec<_> = (2..=DAEMONS)
        .map(|n| heartbeat(&format!("front-{n}"), TableState::Reachable))
        .collect();
    receive_heartbeat(&mut dispatcher, &others, start);
    let half = others.iter().take(DAEMONS / 2).cloned();
    let leaving: Vec<_> = half
        .map(|heartbeat| Heartbeat {
            sequence: 2,
            readiness: Readiness::Leaving,
            ..heartbeat
        })
        .collect();
    receive_heartbeat(&mut dispatcher, &leaving, start);
    for seconds in [0, 30, 90, 300] {
        let now = start + Duration::from_secs(seconds);
        dispatcher.tick(now);
        assert_eq!(
            granted(&mut dispatcher, now),
            5,
            "0.8 of 56 / 8 after {seconds} s"
        );
    }
}

/// Retries that were granted in one window and waited for an upstream with room were sent beside those of the next.
#[test]
fn retries_count_in_the_window_in_which_they_are_sent() {
    let limit = LIMITS.retries;
    let mut budget = RetryBudget::default();
    let alone = SlackShare::OneOf(1);
    let start = Instant::now();
    let reserve = |budget: &mut RetryBudget, now| {
        let reserved = (0..100).filter(|_| budget.try_reserve(&limit, alone, now));
        reserved.count()
    };
    assert_eq!(reserve(&mut budget, start), 44, "0.8 of 56");
    let later = start + 2 * limit.window;
    assert_eq!(reserve(&mut budget, later), 0, "all are still waiting");
    budget.return_reserved();
    for _ in 0..43 {
        budget.spend_reserved(&limit, later);
    }
    assert_eq!(reserve(&mut budget, later), 1, "one was not sent");
    assert_eq!(reserve(&mut budget, later + limit.window), 43);
}

/// A retry near the end of its bucket was forgotten up to a twentieth of a window too early.
#[test]
fn retries_are_remembered_for_a_whole_window() {
    let limit = LIMITS.retries;
    let mut budget = RetryBudget::default();
    let alone = SlackShare::OneOf(1);
    let start = Instant::now();
    budget.record_request(&limit, start);
    let sent_at = start + Duration::from_millis(400);
    while try_take(&mut budget, &limit, alone, sent_at) {}
    let retries = |budget: &RetryBudget, at| budget.usage(&limit, alone, at).retries;
    let taken = retries(&budget, sent_at);
    let almost = sent_at + limit.window - Duration::from_millis(1);
    budget.record_request(&limit, almost);
    assert_eq!(retries(&budget, almost), taken);
    assert_eq!(retries(&budget, sent_at + limit.window), 0);
}
