//! Simulates many daemons that learn of each other's load with a delay, in front of engines that
//! process one prompt at a time. They must not all send to the engine that looked idle a moment
//! ago.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Assignment, health::AttemptOutcome, subset::RingPosition,
};
use platform::headers::Prompt;
use serde_json::json;

use crate::{
    fleet::{Fleet, Load, Policy, peer_address, prompt_of},
    support::{order, row, upstream_with},
};

/// Tokens per prompt.
const TOKENS: u32 = 3_000;
/// Prefill time of a prompt, equal to the daemons' initial estimate.
const PREFILL_TIME: Duration = Duration::from_millis(45);
/// Time from the end of the prefill to the first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);
/// Fraction of the engines' time spent on prefill.
const UTILIZATION: f64 = 0.7;
/// How long the load lasts.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// A prompt that shares nothing with others.
fn unshared_prompt(n: usize) -> Prompt {
    prompt_of(&[(n as u64, TOKENS)])
}

/// Returns the mean and the 99th percentile of the time that prompts wait for their prefill.
fn waits(policy: Policy, daemons: usize, engines: usize) -> (Duration, Duration) {
    let start = Instant::now();
    let mut fleet = Fleet::new(daemons, engines, start);
    let load = Load {
        pause: PREFILL_TIME.div_f64(UTILIZATION * engines as f64),
        duration: LOAD_DURATION,
    };
    let mut requests = 0;
    let mut waits = Vec::new();
    fleet.play(
        policy,
        load,
        |_| {
            requests += 1;
            unshared_prompt(requests)
        },
        |now, sent| waits.push(sent.prefilled_at - now - PREFILL_TIME),
    );
    waits.sort();
    let mean = waits.iter().sum::<Duration>() / waits.len() as u32;
    (mean, waits[waits.len() * 99 / 100])
}

/// Daemons that learn of each other's load only by heartbeats did worse than random placement.
#[test]
fn prefill_wait_is_below_a_quarter_of_random_placement() {
    for (daemons, engines) in [(8, 9), (20, 24), (40, 48)] {
        let (mean, late) = waits(Policy::Daemons, daemons, engines);
        let (random_mean, random_late) = waits(Policy::Random, daemons, engines);
        let text = format!("{daemons} daemons: {mean:?}, random {random_mean:?}");
        assert!(mean < random_mean / 4, "{text}");
        assert!(
            late < random_late / 4,
            "99th percentile {late:?}, random {random_late:?}"
        );
    }
}

/// The number of notifications per prompt does not grow with the fleet, and all engines are used.
#[test]
fn each_engine_is_shared_by_few_daemons() {
    for (daemons, engines) in [(85, 112), (74, 90), (340, 1_800)] {
        let sharers = (0..engines).map(|index| {
            (0..daemons)
                .filter(|rank| {
                    RingPosition {
                        rank: *rank,
                        daemons,
                    }
                    .uses(index, engines)
                })
                .count()
        });
        let sharers: Vec<usize> = sharers.collect();
        let (min_sharers, max_sharers) = (sharers.iter().min(), sharers.iter().max());
        assert!(
            min_sharers >= Some(&1) && max_sharers <= Some(&12),
            "{min_sharers:?} {max_sharers:?}"
        );
    }
}

#[test]
fn leaving_daemon_shifts_other_subsets_by_one_engine() {
    let engines = 112;
    let subset = |rank, daemons| {
        (0..engines)
            .filter(|index| RingPosition { rank, daemons }.uses(*index, engines))
            .collect::<BTreeSet<_>>()
    };
    for rank in 0..40 {
        let kept = subset(rank, 85).intersection(&subset(rank, 84)).count();
        assert!(kept >= 11, "daemon {rank} keeps {kept} of 12");
    }
}

/// Prompts sent to a stalled engine stay outstanding, so it is not selected again.
#[test]
fn stalled_engine_is_not_treated_as_idle() {
    let start = Instant::now();
    let mut fleet = Fleet::new(1, 2, start);
    let mut sent = [0; 2];
    for n in 0..40 {
        let now = start + PREFILL_TIME * n;
        fleet.request(Policy::Daemons, &unshared_prompt(n as usize), now);
        let (daemon, mut assignment, _) = fleet.assignments.pop().flatten().expect("sent");
        let engine: usize = assignment.upstream.parse().expect("a number");
        sent[engine] += 1;
        if engine == 0 {
            fleet.daemons[daemon]
                .response_started(&mut assignment, PREFILL_TIME + FIRST_EVENT_DELAY);
            fleet.daemons[daemon].release(&assignment, AttemptOutcome::Served, now);
        }
    }
    assert!(sent[1] <= 3, "{sent:?}");
}

/// Notifications are addressed by the engines that can be selected, not by all that are listed.
#[test]
fn notices_reach_all_users_of_an_engine_while_a_domain_is_evacuated() {
    let now = Instant::now();
    let mut fleet = Fleet::new(20, 40, now);
    let fields = [
        ("slots", json!(1_000)),
        ("zone", json!("b")),
        ("born", json!(2)),
    ];
    let remote = |n: u64| upstream_with(&n.to_string(), 2, &fields);
    let remote: Vec<_> = (0..40).step_by(3).map(remote).collect();
    let evacuate = row("evacuate/b", 3, Some(json!({})));
    for daemon in &mut fleet.daemons {
        daemon.registry.apply(&remote, now);
        order(daemon, &evacuate, now);
    }
    for n in 0..20 {
        fleet.heartbeat(n, now);
    }
    for n in 0..2_000 {
        fleet.request(Policy::Daemons, &unshared_prompt(n), now);
    }
    let sent: Vec<(usize, Assignment)> = fleet
        .assignments
        .into_iter()
        .flatten()
        .map(|t| (t.0, t.1))
        .collect();
    for (from, assignment) in &sent {
        let receivers = fleet.daemons[*from].notice_receivers(assignment, now);
        let users = sent
            .iter()
            .filter(|(_, other)| other.upstream == assignment.upstream);
        for (user, _) in users.filter(|(user, _)| user != from) {
            assert!(
                receivers.contains(&peer_address(*user)),
                "{user} uses {}",
                assignment.upstream
            );
        }
    }
}
