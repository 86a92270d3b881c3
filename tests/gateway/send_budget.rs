//! Which response pauses and which is aborted, without a network.

use std::time::{Duration, Instant};

use hibiscusyoke::gateway::send_budget::{
    Admission, HeldBytes, MAX_RESPONSE_BYTES, RESERVED_BYTES, STALL_TIMEOUT, SendBudget,
};

const BUDGET: usize = 1 << 20;

/// Adds bytes until the response pauses; returns why it does.
fn fill(budget: &mut SendBudget, response: &mut HeldBytes, now: Instant) -> Admission {
    loop {
        let admission = budget.admit(response, 1_000, now);
        if admission != Admission::Admitted {
            return admission;
        }
    }
}

/// Guards against a response that uses up the memory for all others.
#[test]
fn response_pauses_at_its_own_limit() {
    let now = Instant::now();
    let mut budget = SendBudget::new(BUDGET);
    let mut response = budget.open(now);
    let admission = fill(&mut budget, &mut response, now);
    assert_eq!(admission, Admission::ResponseFull);
    assert!(response.bytes() <= MAX_RESPONSE_BYTES);
    assert!(response.bytes() > MAX_RESPONSE_BYTES - 1_000);
    budget.accept(&mut response, 1_000, now);
    assert_eq!(budget.admit(&mut response, 1_000, now), Admission::Admitted);
}

/// Guards against a daemon that exceeds its memory as many callers do not read.
#[test]
fn all_responses_together_keep_to_the_budget() {
    let now = Instant::now();
    let mut budget = SendBudget::new(BUDGET);
    let mut responses: Vec<HeldBytes> = (0..100).map(|_| budget.open(now)).collect();
    for response in &mut responses {
        fill(&mut budget, response, now);
        assert!(budget.held() <= BUDGET, "{}", budget.held());
    }
    let held: usize = responses.iter().map(HeldBytes::bytes).sum();
    assert_eq!(budget.held(), held);
    // The reserved bytes of the last ones are not taken by the first ones.
    let least = responses.iter().map(HeldBytes::bytes).min();
    assert!(least > Some(RESERVED_BYTES - 1_000), "{least:?}");
}

/// Guards against a budget that stays used up after the responses have ended.
#[test]
fn ended_responses_give_their_bytes_back() {
    let now = Instant::now();
    let mut budget = SendBudget::new(BUDGET);
    for _ in 0..3 {
        let mut responses: Vec<HeldBytes> = (0..100).map(|_| budget.open(now)).collect();
        let first = fill(&mut budget, &mut responses[0], now);
        assert_eq!(first, Admission::ResponseFull);
        for response in &mut responses[1..] {
            fill(&mut budget, response, now);
        }
        for response in &mut responses {
            budget.close(response);
        }
        assert_eq!(budget.held(), 0);
    }
}

/// Guards against a caller that holds memory for ever, and against an abort of one that only pauses.
#[test]
fn response_is_aborted_when_its_caller_accepts_nothing_for_ten_seconds() {
    assert_eq!(STALL_TIMEOUT, Duration::from_secs(10));
    let opened_at = Instant::now();
    let mut budget = SendBudget::new(BUDGET);
    let mut response = budget.open(opened_at);
    let later = opened_at + Duration::from_secs(60);
    // A caller that has accepted nothing is not stalled as long as there is room.
    assert!(!response.is_stalled(later));
    fill(&mut budget, &mut response, later);
    let just_before = Duration::from_millis(9_999);
    assert!(!response.is_stalled(later + just_before));
    assert!(response.is_stalled(later + STALL_TIMEOUT));
    // A byte that the caller accepts starts the time anew.
    let accepted_at = later + just_before;
    budget.accept(&mut response, 1, accepted_at);
    fill(&mut budget, &mut response, accepted_at);
    assert!(!response.is_stalled(accepted_at + just_before));
    assert!(response.is_stalled(accepted_at + STALL_TIMEOUT));
}

/// Guards against callers that stall while they hold less than a full buffer, as the budget is used up.
#[test]
fn response_that_pauses_for_the_budget_is_aborted_too() {
    let now = Instant::now();
    let mut budget = SendBudget::new(2 * RESERVED_BYTES);
    let mut first = budget.open(now);
    let mut second = budget.open(now);
    for response in [&mut first, &mut second] {
        assert_eq!(fill(&mut budget, response, now), Admission::BudgetUsedUp);
        assert!(response.is_stalled(now + STALL_TIMEOUT));
    }
    budget.close(&mut first);
    assert_eq!(budget.admit(&mut second, 1_000, now), Admission::Admitted);
    assert!(!second.is_stalled(now + STALL_TIMEOUT));
}
