//! Which body gives way.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::body_budget::{
    Admission, BodyBudget, BodyId, SMALL_BODY_BYTES, STALL_TIME,
};

const BUDGET: usize = 16 << 20;
const BLOCK: usize = 16 << 10;

/// Adds blocks to a body until it has this size or is refused; returns whether it has the size.
fn grow(budget: &mut BodyBudget, id: BodyId, bytes: usize, now: Instant) -> bool {
    (0..bytes.div_ceil(BLOCK)).all(|_| admits(budget, id, BLOCK, now))
}

fn admits(budget: &mut BodyBudget, id: BodyId, bytes: usize, now: Instant) -> bool {
    matches!(budget.admit(id, bytes, now), Admission::Admitted(_))
}

/// Fills the budget with large bodies that are not complete.
fn fill(budget: &mut BodyBudget, now: Instant) {
    loop {
        let id = budget.open(now);
        if !grow(budget, id, 4 << 20, now) {
            return;
        }
    }
}

/// Guards against a crowd of bodies that fills the memory of the instance.
#[test]
fn all_bodies_together_keep_to_the_budget() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    for _ in 0..10 {
        fill(&mut budget, now);
        assert!(budget.held() <= BUDGET, "{}", budget.held());
    }
}

/// Guards against small bodies that are refused because of large ones that grow.
#[test]
fn small_body_finds_room_beside_large_ones() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    fill(&mut budget, now);
    for _ in 0..1_000 {
        let id = budget.open(now);
        assert!(grow(&mut budget, id, SMALL_BODY_BYTES, now));
        budget.close(id);
    }
}

/// Guards against small bodies without end that lock out ordinary ones.
#[test]
fn small_body_finds_room_beside_stalled_small_ones() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    for _ in 0..BUDGET / BLOCK {
        let id = budget.open(now);
        assert!(grow(&mut budget, id, BLOCK, now));
    }
    let id = budget.open(now);
    assert!(!grow(&mut budget, id, BLOCK, now));
    assert!(grow(&mut budget, id, BLOCK, now + STALL_TIME));
    assert!(budget.held() <= BUDGET);
}

/// Guards against bodies that go on byte by byte and lock out ordinary large ones.
#[test]
fn large_body_takes_the_place_of_slow_ones() {
    let mut now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    let slow: Vec<BodyId> = (0..3).map(|_| budget.open(now)).collect();
    for id in &slow {
        assert!(grow(&mut budget, *id, 3 << 20, now));
    }
    for _ in 0..10 {
        now += STALL_TIME / 2;
        for id in &slow {
            admits(&mut budget, *id, BLOCK, now);
        }
    }
    now += STALL_TIME / 2;
    let id = budget.open(now);
    assert!(grow(&mut budget, id, 4 << 20, now));
}

/// Guards against bodies that stop short and lock out ordinary large ones.
#[test]
fn large_body_takes_the_place_of_a_stalled_one() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    fill(&mut budget, now);
    let id = budget.open(now);
    assert!(!grow(&mut budget, id, 4 << 20, now));
    budget.close(id);
    let id = budget.open(now);
    assert!(grow(&mut budget, id, 4 << 20, now + STALL_TIME));
}

/// Guards against a body that gives way although it grows, as others come at the same time.
#[test]
fn growing_body_does_not_give_way_to_a_large_one() {
    let start = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    let first = budget.open(start);
    for n in 0..256_u32 {
        let now = start + STALL_TIME / 2 * n;
        assert!(grow(&mut budget, first, BLOCK, now), "block {n}");
        fill(&mut budget, now);
    }
}

/// Guards against a request whose body is taken away while it is served.
#[test]
fn complete_body_does_not_give_way() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    let complete = budget.open(now);
    assert!(grow(&mut budget, complete, 4 << 20, now));
    budget.complete(complete);
    let later = now + STALL_TIME * 10;
    let mut evicted = Vec::new();
    for _ in 0..20 {
        let id = budget.open(later);
        for _ in 0..256 {
            let (Admission::Admitted(bodies) | Admission::Refused(bodies)) =
                budget.admit(id, BLOCK, later);
            evicted.extend(bodies);
        }
    }
    assert!(!evicted.contains(&complete));
}

/// Guards against a budget that stays used up after the bodies have ended.
#[test]
fn ended_bodies_give_their_bytes_back() {
    let mut now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    let ids: Vec<BodyId> = (0..100).map(|_| budget.open(now)).collect();
    for id in &ids {
        grow(&mut budget, *id, 1 << 20, now);
        now += Duration::from_millis(300);
    }
    for id in &ids {
        budget.complete(*id);
        budget.close(*id);
        budget.close(*id);
    }
    assert_eq!(budget.held(), 0);
}

/// Guards against a body that gave way and grows on.
#[test]
fn body_that_gave_way_is_refused() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(BUDGET);
    let stalled = budget.open(now);
    assert!(grow(&mut budget, stalled, 4 << 20, now));
    let later = now + STALL_TIME;
    fill(&mut budget, later);
    assert!(!admits(&mut budget, stalled, BLOCK, later));
}
