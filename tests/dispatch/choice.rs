//! Where requests go: uneven, failing, distant and full upstreams, and hot prompt prefixes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{Ask, Choice, NoPlace, health::Ended};
use platform::{
    headers::{Prompt, PromptPart},
    table::Row,
};
use serde_json::json;

use crate::support::{ask, place, ready, upstream, upstream_with};

fn pool(count: u64) -> Vec<Row> {
    (1..=count)
        .map(|i| upstream_with(&format!("u{i}"), i, &[("slots", json!(64))]))
        .collect()
}

fn prompt(session_part: u64, own_part: u64) -> Prompt {
    Prompt {
        parts: vec![
            PromptPart {
                id: 1,
                tokens: 2_500,
            },
            PromptPart {
                id: session_part,
                tokens: 3_800,
            },
            PromptPart {
                id: own_part,
                tokens: 2_700,
            },
        ],
        tokens: 9_000,
        max_output_tokens: 50,
    }
}

/// A burst of unlike requests is spread: no upstream gets more than one above the mean.
#[test]
fn burst_is_spread() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(4), now);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for session in 0..40 {
        let ticket = place(&mut dispatcher, &ask(session), now);
        *counts.entry(ticket.upstream.to_string()).or_default() += 1;
    }
    assert!(counts.values().all(|n| (8..=12).contains(n)), "{counts:?}");
}

/// One prefix that comes again and again is read once, until its upstream is busier than reading
/// it elsewhere costs.
#[test]
fn hot_prefix_stays_and_then_spreads() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(4), now);
    let prompt = prompt(7, 1);
    let hot = Ask {
        model: Some("small"),
        prompt: Some(&prompt),
        ..ask(1)
    };
    let mut seen = Vec::new();
    for _ in 0..3 {
        let mut ticket = place(&mut dispatcher, &hot, now);
        dispatcher.begun(&mut ticket, Duration::from_millis(100));
        dispatcher.finish(&ticket, Ended::Served, now);
        seen.push(ticket.upstream);
    }
    assert!(seen.windows(2).all(|pair| pair[0] == pair[1]), "{seen:?}");
    let burst: std::collections::BTreeSet<_> = (0..40)
        .map(|_| place(&mut dispatcher, &hot, now).upstream)
        .collect();
    assert!(
        burst.len() > 1,
        "a hot prefix overloads one upstream: {burst:?}"
    );
}

/// Daemons that have not seen a prefix agree where it lies, whatever each request adds of its own.
#[test]
fn unseen_prefix_goes_to_the_same_upstream_from_all_daemons() {
    let now = Instant::now();
    let chosen: std::collections::BTreeSet<_> = (0..6)
        .map(|own_part| {
            let prompt = prompt(11, own_part);
            let first = Ask {
                model: Some("small"),
                prompt: Some(&prompt),
                ..ask(1)
            };
            place(&mut ready(&pool(9), now), &first, now).upstream
        })
        .collect();
    assert_eq!(chosen.len(), 1);
}

/// An upstream that fails half of its requests gets a small part of the work.
#[test]
fn failing_upstream_gets_little() {
    let now = Instant::now();
    let mut dispatcher = ready(&pool(3), now);
    let mut at_failing = 0;
    for i in 0..300_u32 {
        let at = now + Duration::from_millis(u64::from(i) * 20);
        let ticket = place(&mut dispatcher, &ask(u64::from(i)), at);
        let failing = ticket.upstream == "u2";
        at_failing += u32::from(failing);
        let ended = if failing && i % 2 == 0 {
            Ended::Failed
        } else {
            Ended::Served
        };
        dispatcher.finish(&ticket, ended, at);
    }
    assert!(at_failing < 40, "{at_failing} of 300");
}

#[test]
fn unreachable_upstream_is_left_out_and_tried_again() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let ticket = place(&mut dispatcher, &ask(1), now);
    dispatcher.finish(&ticket, Ended::Unreachable, now);
    assert!(matches!(
        dispatcher.choose(&ask(2), now),
        Choice::Refuse(NoPlace::NoneUsable, _)
    ));
    let later = now + Duration::from_secs(1);
    place(&mut dispatcher, &ask(2), later);
}

#[test]
fn near_upstream_first() {
    let now = Instant::now();
    let rows = [
        upstream_with("far", 1, &[("zone", json!("b"))]),
        upstream_with("near", 2, &[("zone", json!("a"))]),
    ];
    let mut dispatcher = ready(&rows, now);
    let large = Ask {
        body_bytes: 20_000,
        ..ask(1)
    };
    assert_eq!(place(&mut dispatcher, &large, now).upstream, "near");
}

/// What cannot be served is refused at once, with the time to come back.
#[test]
fn full_pool_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    for session in 0..4 {
        place(&mut dispatcher, &ask(session), now);
    }
    let choice = dispatcher.choose(&ask(9), now);
    assert!(
        matches!(choice, Choice::Refuse(NoPlace::AllFull, wait) if !wait.is_zero()),
        "{choice:?}"
    );
}

#[test]
fn draining_upstream_gets_nothing() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "draining")], now);
    assert!(matches!(
        dispatcher.choose(&ask(1), now),
        Choice::Refuse(NoPlace::NoneListed, _)
    ));
}

/// The order to move to a new version may come after the first upstream that runs it.
#[test]
fn version_that_nobody_asked_for_is_held_back() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let newer = upstream_with("u2", 2, &[("version", json!("v2"))]);
    dispatcher.registry.apply(&[newer], now);
    for session in 0..3 {
        assert_eq!(place(&mut dispatcher, &ask(session), now).upstream, "u1");
    }
}
