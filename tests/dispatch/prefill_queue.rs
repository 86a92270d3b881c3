//! Tests of the estimated backlog of an engine.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::prefill_queue::PrefillQueue;

const PREFILL_TIME: Duration = Duration::from_millis(50);
const PROMPTS: u32 = 20;

/// Load pattern: an engine stalls for a second, so that all prompts behind the stall are late. Each
/// of them added half of the delay to the backlog, which then stood at many seconds.
#[test]
fn delay_that_makes_many_prompts_late_is_counted_once() {
    let start = Instant::now();
    let mut queue = PrefillQueue::default();
    let expected: Vec<Instant> = (0..PROMPTS)
        .map(|_| queue.enqueue(PREFILL_TIME, start))
        .collect();
    let resumed = start + Duration::from_secs(1);
    for (n, expected_at) in (1..).zip(&expected) {
        let now = resumed + PREFILL_TIME * n;
        queue.response_started(*expected_at, now);
        let actual = PREFILL_TIME * (PROMPTS - n);
        if n > 5 {
            let wait = queue.wait(now);
            assert!(
                wait <= actual + PREFILL_TIME * 2 && wait + PREFILL_TIME * 2 >= actual,
                "{wait:?} after {n} prompts, actual {actual:?}"
            );
        }
    }
}

#[test]
fn prompts_that_were_processed_faster_shorten_the_backlog_once() {
    let start = Instant::now();
    let mut queue = PrefillQueue::default();
    let expected: Vec<Instant> = (0..PROMPTS)
        .map(|_| queue.enqueue(PREFILL_TIME, start))
        .collect();
    for (n, expected_at) in (1..11).zip(&expected) {
        queue.response_started(*expected_at, start + PREFILL_TIME / 2 * n);
    }
    let now = start + PREFILL_TIME / 2 * 10;
    let wait = queue.wait(now);
    assert!(
        wait >= PREFILL_TIME * 8 && wait <= PREFILL_TIME * 12,
        "{wait:?}"
    );
}

#[test]
fn cancelled_prompt_leaves_the_backlog() {
    let now = Instant::now();
    let mut queue = PrefillQueue::default();
    queue.enqueue(PREFILL_TIME, now);
    let expected_at = queue.enqueue(PREFILL_TIME, now);
    queue.cancel(expected_at, now);
    assert_eq!(queue.wait(now), PREFILL_TIME);
}
