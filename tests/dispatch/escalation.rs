//! Tests of escalation by the small model's reported confidence, also under overload.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Placement,
    escalation::{EscalationDecision, ExpectedStart, StartedResponse, decide_escalation},
    health::AttemptOutcome,
};
use rand::Rng;
use serde_json::json;

use crate::{
    fleet::{Fleet, placement_request, prompt_of},
    support::upstream_with,
};

const OBJECTIVE: Duration = Duration::from_secs(2);
const PREFILL_TIME: Duration = Duration::from_millis(200);
/// Tokens per prompt; 45 ms on the small model and 135 ms on the large one.
const TOKENS: u32 = 3_000;
/// Time from the end of the prefill to the first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);
/// How long the load lasts.
const LOAD_DURATION: Duration = Duration::from_secs(30);

/// The objective of the most urgent route.
const SHORTEST_OBJECTIVE: Duration = Duration::from_millis(500);

/// Decides for a response with this confidence; the larger model would start behind `backlog_ms`.
fn decide(confidence: u8, backlog_ms: u64) -> EscalationDecision {
    let response = StartedResponse {
        confidence: Some(confidence),
        waited: Duration::from_millis(100),
        objective: OBJECTIVE,
        shortest_objective: OBJECTIVE,
        priority_rank: 0,
    };
    let larger = ExpectedStart {
        backlog: Duration::from_millis(backlog_ms),
        prefill_time: PREFILL_TIME,
    };
    decide_escalation(&response, Some(larger))
}

#[test]
fn low_confidence_answer_is_escalated() {
    assert_eq!(decide(40, 0), EscalationDecision::Escalate);
    assert_eq!(decide(90, 0), EscalationDecision::Keep);
}

#[test]
fn backlog_lowers_the_confidence_that_is_escalated() {
    assert_eq!(decide(40, 600), EscalationDecision::Keep);
    assert_eq!(decide(10, 600), EscalationDecision::Escalate);
    assert_eq!(decide(0, 1_100), EscalationDecision::Keep);
}

/// A route with a long objective kept all engines busy with large models, so that requests with a
/// short objective were late.
#[test]
fn backlog_is_bounded_by_the_shortest_objective_of_the_service() {
    let response = StartedResponse {
        confidence: Some(10),
        waited: Duration::from_millis(100),
        objective: OBJECTIVE,
        shortest_objective: SHORTEST_OBJECTIVE,
        priority_rank: 0,
    };
    let larger = |backlog| {
        Some(ExpectedStart {
            backlog,
            prefill_time: PREFILL_TIME,
        })
    };
    let decide = |backlog| decide_escalation(&response, larger(backlog));
    assert_eq!(decide(SHORTEST_OBJECTIVE / 4), EscalationDecision::Escalate);
    assert_eq!(decide(SHORTEST_OBJECTIVE / 2), EscalationDecision::Keep);
}

/// The least urgent requests used the capacity that the most urgent ones lacked.
#[test]
fn less_urgent_requests_stop_escalating_first() {
    let decide = |priority_rank| {
        let response = StartedResponse {
            confidence: Some(10),
            waited: Duration::from_millis(100),
            objective: OBJECTIVE,
            shortest_objective: OBJECTIVE,
            priority_rank,
        };
        let larger = ExpectedStart {
            backlog: Duration::from_millis(600),
            prefill_time: PREFILL_TIME,
        };
        decide_escalation(&response, Some(larger))
    };
    assert_eq!(decide(0), EscalationDecision::Escalate);
    assert_eq!(decide(2), EscalationDecision::Keep);
}

/// Restarted engines have no backlog and take few requests; their idle queues made daemons escalate
/// under overload.
#[test]
fn cold_engines_do_not_count_as_idle_ones() {
    let start = Instant::now();
    let mut fleet = Fleet::new(1, 3, start);
    let prompt = prompt_of(&[(1, TOKENS * 20)]);
    for n in 0..6 {
        let long = prompt_of(&[(100 + n, TOKENS * 20)]);
        fleet.request_to(0, "small", &long, start);
    }
    let restarted = upstream_with("3", 1, &[("cold_remaining_ms", json!(60_000))]);
    let daemon = &mut fleet.daemons[0];
    daemon.registry.apply(&[restarted], start);
    let request = placement_request("large", &prompt, 1);
    while let Placement::Assigned(assignment) = daemon.select_upstream(&request, start) {
        if assignment.upstream == "3" {
            break;
        }
    }
    let expected = daemon
        .expected_start(&request, Duration::from_secs(2), start)
        .expect("usable engines");
    assert!(expected.backlog > Duration::from_secs(1), "{expected:?}");
}

#[test]
fn late_escalation_requires_very_low_confidence() {
    let late = |confidence| {
        let response = StartedResponse {
            confidence: Some(confidence),
            waited: OBJECTIVE,
            objective: OBJECTIVE,
            shortest_objective: OBJECTIVE,
            priority_rank: 0,
        };
        let larger = ExpectedStart {
            backlog: Duration::ZERO,
            prefill_time: PREFILL_TIME,
        };
        decide_escalation(&response, Some(larger))
    };
    assert_eq!(late(40), EscalationDecision::Keep);
    assert_eq!(late(10), EscalationDecision::Escalate);
}

#[test]
fn answer_without_confidence_or_without_an_upstream_is_kept() {
    let response = StartedResponse {
        confidence: None,
        waited: Duration::ZERO,
        objective: OBJECTIVE,
        shortest_objective: OBJECTIVE,
        priority_rank: 0,
    };
    let larger = ExpectedStart {
        backlog: Duration::ZERO,
        prefill_time: PREFILL_TIME,
    };
    let decision = decide_escalation(&response, Some(larger));
    assert_eq!(decision, EscalationDecision::Keep);
    let response = StartedResponse {
        confidence: Some(10),
        ..response
    };
    assert_eq!(decide_escalation(&response, None), EscalationDecision::Keep);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    /// The first event of a response to an assignment of the small model.
    SmallStarted(usize),
    LargeStarted(usize),
    Heartbeat(usize),
}

/// Prompts arrive faster than the engines can process them if each response of low confidence is
/// escalated. The backlog then rose until the larger model's response would have been late, so that
/// nearly all responses were late.
#[test]
fn overload_reduces_escalations_instead_of_delaying_all_responses() {
    const DAEMONS: usize = 8;
    const ENGINES: usize = 12;
    // Work per request: 45 ms + 0.58 x 135 ms; the sum over all requests is 1.25 of the capacity.
    let pause = Duration::from_micros(123_300 * 4 / 5 / ENGINES as u64);
    let start = Instant::now();
    let mut fleet = Fleet::new(DAEMONS, ENGINES, start);
    let mut events = BinaryHeap::from([Reverse((start, Event::Request))]);
    events.extend((0..DAEMONS).map(|n| Reverse((start, Event::Heartbeat(n)))));
    let mut arrivals: Vec<Instant> = Vec::new();
    let mut request_of: Vec<usize> = Vec::new();
    let (mut on_time, mut answered, mut escalated) = (0, 0, 0);
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Request if now < start + LOAD_DURATION => {
                let n = arrivals.len();
                arrivals.push(now);
                let prompt = prompt_of(&[(n as u64, TOKENS)]);
                let daemon = fleet.rng.random_range(0..DAEMONS);
                let sent = fleet.request_to(daemon, "small", &prompt, now);
                request_of.push(n);
                let started = Event::SmallStarted(fleet.assignments.len() - 1);
                events.push(Reverse((sent.prefilled_at + FIRST_EVENT_DELAY, started)));
                let factor = -fleet.rng.random::<f64>().ln();
                events.push(Reverse((now + pause.mul_f64(factor), Event::Request)));
            }
            Event::SmallStarted(a) => {
                let daemon = end_assignment(&mut fleet, a, now);
                let n = request_of[a];
                let prompt = prompt_of(&[(n as u64, TOKENS)]);
                let request = placement_request("large", &prompt, n as u64);
                let larger = fleet.daemons[daemon].expected_start(&request, now - arrivals[n], now);
                let response = StartedResponse {
                    confidence: Some(fleet.rng.random_range(0..100)),
                    waited: now - arrivals[n],
                    objective: OBJECTIVE,
                    shortest_objective: OBJECTIVE,
                    priority_rank: 0,
                };
                if decide_escalation(&response, larger) == EscalationDecision::Keep {
                    answered += 1;
                    on_time += usize::from(now - arrivals[n] <= OBJECTIVE);
                    continue;
                }
                escalated += 1;
                let sent = fleet.request_to(daemon, "large", &prompt, now);
                request_of.push(n);
                let started = Event::LargeStarted(fleet.assignments.len() - 1);
                events.push(Reverse((sent.prefilled_at + FIRST_EVENT_DELAY, started)));
            }
            Event::LargeStarted(a) => {
                end_assignment(&mut fleet, a, now);
                answered += 1;
                on_time += usize::from(now - arrivals[request_of[a]] <= OBJECTIVE);
            }
            Event::Heartbeat(n) if now < start + LOAD_DURATION => {
                fleet.heartbeat(n, now);
                let period = fleet.daemons[n].peers.heartbeat_period();
                events.push(Reverse((now + period, Event::Heartbeat(n))));
            }
            Event::Request | Event::Heartbeat(_) => {}
        }
    }
    assert_eq!(answered, arrivals.len());
    assert!(
        on_time * 100 >= answered * 95,
        "{on_time} of {answered} on time, {escalated} escalated"
    );
    assert!(
        escalated * 100 >= answered * 30,
        "{escalated} of {answered}"
    );
}

fn end_assignment(fleet: &mut Fleet, a: usize, now: Instant) -> usize {
    let (daemon, mut assignment, sent) = fleet.assignments[a].take().expect("running");
    fleet.daemons[daemon].response_started(&mut assignment, now - sent);
    fleet.daemons[daemon].release(&assignment, AttemptOutcome::Served, now);
    daemon
}
