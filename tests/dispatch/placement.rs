//! Tests of placement with uneven, failing, remote and full upstreams, and with hot prompt
//! prefixes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    NoSlotReason, Placement, PlacementRequest, health::AttemptOutcome,
};
use platform::{
    headers::{Prompt, PromptSegment},
    table::Row,
};
use serde_json::json;

use crate::support::{assign, ready, request, upstream, upstream_with};

fn pool(count: u64) -> Vec<Row> {
    (1..=count)
        .map(|i| upstream_with(&format!("u{i}"), i, &[("slots", json!(64))]))
        .collect()
}

fn prompt(session_part: u64, own_part: u64) -> Prompt {
    Prompt {
        segments: vec![
            PromptSegment {
                id: 1,
                tokens: 2_500,
            },
            PromptSegment {
                id: session_part,
                tokens: 3_800,
            },
            PromptSegment {
                id: own_part,
                tokens: 2_700,
            },
        ],
        tokens: 9_000,
        max_output_tokens: 50,
    }
}

/// A burst of different requests is spread evenly, within 20 percent of the mean.
#[test]
fn burst_is_spread() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(4), now);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for session in 0..40 {
        let assignment = assign(&mut dispatcher, &request(session), now);
        *counts.entry(assignment.upstream.to_string()).or_default() += 1;
    }
    assert!(counts.values().all(|n| (8..=12).contains(n)), "{counts:?}");
}

/// A repeated prefix stays on one engine until the engine's backlog costs more than a prefill
/// elsewhere.
#[test]
fn hot_prefix_stays_on_one_engine_and_then_spreads() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(4), now);
    let prompt = prompt(7, 1);
    let hot = PlacementRequest {
        model: Some("small"),
        prompt: Some(&prompt),
        ..request(1)
    };
    let mut seen = Vec::new();
    for _ in 0..3 {
        let mut assignment = assign(&mut dispatcher, &hot, now);
        dispatcher.response_started(&mut assignment, Duration::from_millis(100));
        dispatcher.release(&assignment, AttemptOutcome::Served, now);
        seen.push(assignment.upstream);
    }
    assert!(seen.windows(2).all(|pair| pair[0] == pair[1]), "{seen:?}");
    let burst: std::collections::BTreeSet<_> = (0..40)
        .map(|_| assign(&mut dispatcher, &hot, now).upstream)
        .collect();
    assert!(
        burst.len() > 1,
        "a hot prefix overloads one upstream: {burst:?}"
    );
}

/// Daemons that have not seen a prefix agree on its engine, whatever the unshared part of each
/// prompt is.
#[test]
fn unknown_prefix_goes_to_the_same_upstream_from_all_daemons() {
    let now = Instant::now();
    let chosen: std::collections::BTreeSet<_> = (0..6)
        .map(|own_part| {
            let prompt = prompt(11, own_part);
            let first = PlacementRequest {
                model: Some("small"),
                prompt: Some(&prompt),
                ..request(1)
            };
            assign(&mut ready(&pool(9), now), &first, now).upstream
        })
        .collect();
    assert_eq!(chosen.len(), 1);
}

/// An upstream that fails half of its requests gets a small share of the work.
#[test]
fn failing_upstream_gets_few_requests() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(3), now);
    let mut sent_to_failing = 0;
    for i in 0..300_u32 {
        let at = now + Duration::from_millis(u64::from(i) * 20);
        let assignment = assign(&mut dispatcher, &request(u64::from(i)), at);
        let failing = assignment.upstream == "u2";
        sent_to_failing += u32::from(failing);
        let outcome = if failing && i % 2 == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Served
        };
        dispatcher.release(&assignment, outcome, at);
    }
    assert!(sent_to_failing < 40, "{sent_to_failing} of 300");
}

#[test]
fn unreachable_upstream_is_skipped_and_retried() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    dispatcher.release(&assignment, AttemptOutcome::Unreachable, now);
    assert!(matches!(
        dispatcher.select_upstream(&request(2), now),
        Placement::Refuse(NoSlotReason::Unreachable, _)
    ));
    let later = now + Duration::from_secs(1);
    assign(&mut dispatcher, &request(2), later);
}

#[test]
fn upstream_in_own_domain_is_preferred() {
    let now = Instant::now();
    let rows = [
        upstream_with("far", 1, &[("zone", json!("b"))]),
        upstream_with("near", 2, &[("zone", json!("a"))]),
    ];
    let mut dispatcher = ready(&rows, now);
    let large = PlacementRequest {
        body_bytes: 20_000,
        ..request(1)
    };
    assert_eq!(assign(&mut dispatcher, &large, now).upstream, "near");
}

/// A request that no upstream has a slot for is refused at once, with a Retry-After.
#[test]
fn full_pool_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    for session in 0..4 {
        assign(&mut dispatcher, &request(session), now);
    }
    let placement = dispatcher.select_upstream(&request(9), now);
    assert!(
        matches!(placement, Placement::Refuse(NoSlotReason::AllFull, wait) if !wait.is_zero()),
        "{placement:?}"
    );
}

#[test]
fn draining_upstream_gets_no_requests() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "draining")], now);
    assert!(matches!(
        dispatcher.select_upstream(&request(1), now),
        Placement::Refuse(NoSlotReason::NoneListed, _)
    ));
}

/// The order for a rollout may arrive after the first upstream that runs the new version.
#[test]
fn version_without_an_order_is_held_back() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let newer = upstream_with("u2", 2, &[("version", json!("v2"))]);
    dispatcher.registry.apply(&[newer], now);
    for session in 0..3 {
        assert_eq!(
            assign(&mut dispatcher, &request(session), now).upstream,
            "u1"
        );
    }
}

/// Load pattern: the engines have more prompts than they can process before the deadline of a new
/// request. It was accepted and timed out.
#[test]
fn request_that_cannot_start_before_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(1), now);
    let prompts: Vec<Prompt> = (0..60).map(|n| prompt(100 + n, n)).collect();
    let long = |n: usize| PlacementRequest {
        model: Some("small"),
        prompt: Some(&prompts[n]),
        remaining: Duration::from_secs(1),
        ..request(1)
    };
    // Nothing is known about the engines' delays yet, so no request is refused.
    let mut accepted: Vec<_> = (0..59)
        .map(|n| assign(&mut dispatcher, &long(n), now))
        .collect();
    let later = now + Duration::from_millis(2_500);
    for assignment in accepted.iter_mut().take(20) {
        dispatcher.response_started(assignment, later - now);
        dispatcher.release(assignment, AttemptOutcome::Served, later);
    }
    let placement = dispatcher.select_upstream(&long(59), later);
    let Placement::Refuse(NoSlotReason::TooLate, wait) = placement else {
        panic!("{placement:?}");
    };
    assert!(!wait.is_zero() && wait < Duration::from_secs(2), "{wait:?}");
    let patient = PlacementRequest {
        remaining: Duration::from_secs(8),
        ..long(59)
    };
    assign(&mut dispatcher, &patient, later);
    // By then the engines have processed most prompts.
    let idle = later + wait + Duration::from_millis(200);
    for assignment in accepted.iter_mut().skip(20) {
        dispatcher.response_started(assignment, idle - now);
        dispatcher.release(assignment, AttemptOutcome::Served, idle);
    }
    assign(&mut dispatcher, &long(59), idle);
}

/// Load pattern: prompts that share a prefix, on engines with few slots. The home of the prefix is
/// left before it is full, as the counts of other daemons' requests are old.
#[test]
fn crowded_home_is_left_before_it_is_full() {
    let now = Instant::now();
    let rows: Vec<Row> = (1..=4)
        .map(|i| upstream_with(&format!("u{i}"), i, &[("slots", json!(16))]))
        .collect();
    let mut dispatcher = ready(&rows, now);
    let prompt = prompt(7, 1);
    let hot = PlacementRequest {
        model: Some("small"),
        prompt: Some(&prompt),
        ..request(1)
    };
    let mut running: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..32 {
        let mut assignment = assign(&mut dispatcher, &hot, now);
        // The prefill has completed, but the response is still generated.
        dispatcher.response_started(&mut assignment, Duration::from_millis(100));
        *running.entry(assignment.upstream.to_string()).or_default() += 1;
    }
    let most = running.values().max().copied().unwrap_or_default();
    assert!((9..16).contains(&most), "{running:?}");
}

/// Estimates of an engine's backlog may be too high; what recent prompts experienced bounds them.
#[test]
fn expected_start_is_bounded_by_the_observed_delay() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(1), now);
    let prompt = prompt(7, 1);
    let long = PlacementRequest {
        model: Some("small"),
        prompt: Some(&prompt),
        ..request(1)
    };
    let mut first = assign(&mut dispatcher, &long, now);
    for _ in 0..20 {
        assign(&mut dispatcher, &long, now);
    }
    assert!(
        dispatcher
            .registry
            .all()
            .all(|u| u.queue.wait(now) > Duration::from_millis(500))
    );
    let later = now + Duration::from_millis(200);
    dispatcher.response_started(&mut first, later - now);
    let bounded = dispatcher
        .expected_start(&long, Duration::ZERO, later)
        .expect("an engine");
    assert!(bounded.backlog < Duration::from_millis(200), "{bounded:?}");
}
