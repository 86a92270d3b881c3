//! Tests of the estimated prefill speed of models.

use std::time::Duration;

use hibiscusyoke::coordination::dispatch::prefill_speed::PrefillSpeeds;

const TOKENS: u32 = 10_000;

/// A daemon of a large fleet sees few prompts of each model. With a fixed weight of 5% it took 30
/// of them until the estimate came near a model that is four times as fast as assumed.
#[test]
fn speed_is_learned_from_the_first_samples() {
    let actual = Duration::from_millis(40);
    let mut speeds = PrefillSpeeds::default();
    for _ in 0..3 {
        let expected = speeds.prefill_time("small", TOKENS);
        speeds.record("small", expected, actual + Duration::from_millis(60));
    }
    let learned = speeds.prefill_time("small", TOKENS);
    assert!(learned < actual * 3 / 2, "{learned:?}");
}

/// Later samples change the estimate little.
#[test]
fn single_slow_response_changes_a_known_speed_little() {
    let mut speeds = PrefillSpeeds::default();
    for _ in 0..50 {
        let expected = speeds.prefill_time("small", TOKENS);
        speeds.record("small", expected, expected + Duration::from_millis(60));
    }
    let before = speeds.prefill_time("small", TOKENS);
    speeds.record("small", before, Duration::from_secs(10));
    assert!(speeds.prefill_time("small", TOKENS) < before * 6 / 5);
}
