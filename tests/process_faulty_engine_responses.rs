//! Tests that callers receive complete responses to their own requests when engines send delayed,
//! crossed, duplicated, truncated or no responses; uses real processes.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use platform_api::engine::COMPLETIONS_PATH;
use stand_in::{
    control::{Control, NextRequests, StreamEnd},
    engine::{EngineConfig, text::expected_answer},
};
use support::{
    caller::{End, Reply, Streamed, chat, messages},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{SKILL, VERSION},
};

/// Longer than any fault-free response in these tests takes.
const RESPONSE_DELAY: Duration = Duration::from_secs(2);

/// Number of concurrent callers.
const CALLERS: u64 = 6;

fn expected_text(prompt: &str) -> String {
    expected_answer(VERSION, SKILL, &messages(prompt), None)
}

fn completions(count: u32) -> NextRequests {
    NextRequests::on_path(COMPLETIONS_PATH, count)
}

async fn fleet(engines: usize) -> Fleet {
    fleet_of(fast_engine(), engines).await
}

async fn fleet_of(engine: EngineConfig, engines: usize) -> Fleet {
    let fleet = Fleet::spawn(FleetPlan {
        engines: vec![engine; engines],
        ..FleetPlan::default()
    })
    .await;
    fleet.wait_serving().await;
    fleet
}

async fn complete(fleet: &Fleet, prompt: &str) -> Reply {
    chat(prompt, false)
        .send(fleet.daemons[0].callers)
        .await
        .expect("a response")
}

async fn stream(fleet: &Fleet, prompt: &str) -> Streamed {
    chat(prompt, true)
        .stream(fleet.daemons[0].callers)
        .await
        .expect("a response")
}

fn check_completion(reply: &Reply, prompt: &str) {
    assert_eq!(reply.status, StatusCode::OK, "{:?}", reply.body);
    assert_eq!(reply.text(), expected_text(prompt));
}

fn check_stream(streamed: &Streamed, prompt: &str) {
    assert!(matches!(streamed.end, End::Whole), "{:?}", streamed.end);
    assert_eq!(streamed.text(), expected_text(prompt));
    for (index, chunk) in streamed.chunks.iter().enumerate() {
        assert_eq!(chunk.offset as usize, index);
    }
}

#[tokio::test]
async fn crossed_completions_are_retried() {
    let fleet = fleet(1).await;
    let before = attempts(&fleet).await;
    let next = completions(2);
    fleet.engines[0].tell(Control::CrossAnswers { next }).await;
    let (one, two) = ("tokens=8 weighbridge", "tokens=8 hauliers");
    let (first, second) = futures::join!(complete(&fleet, one), complete(&fleet, two));
    check_completion(&first, one);
    check_completion(&second, two);
    assert_eq!(
        attempts(&fleet).await - before,
        2 + 2,
        "both requests must be retried"
    );
}

#[tokio::test]
async fn crossed_streams_are_retried() {
    let fleet = fleet(1).await;
    let before = attempts(&fleet).await;
    let next = completions(2);
    fleet.engines[0].tell(Control::CrossAnswers { next }).await;
    let (one, two) = ("tokens=20 weighbridge", "tokens=20 hauliers");
    let (first, second) = futures::join!(stream(&fleet, one), stream(&fleet, two));
    check_stream(&first, one);
    check_stream(&second, two);
    assert_eq!(
        attempts(&fleet).await - before,
        2 + 2,
        "both requests must be retried"
    );
}

async fn attempts(fleet: &Fleet) -> usize {
    fleet.engines[0].engine_stats().await.attempts.len()
}

#[tokio::test]
async fn late_response_does_not_reach_later_callers() {
    let fleet = fleet(1).await;
    let (next, by) = (completions(1), RESPONSE_DELAY);
    fleet.engines[0]
        .tell(Control::DelayAnswers { next, by })
        .await;
    let short_deadline_call =
        chat("tokens=8 hurried", false).header("deadline", RESPONSE_DELAY.as_millis() / 4);
    let timed_out = short_deadline_call
        .send(fleet.daemons[0].callers)
        .await
        .expect("a response");
    assert_eq!(
        timed_out.status,
        StatusCode::GATEWAY_TIMEOUT,
        "{timed_out:?}"
    );
    assert!(timed_out.elapsed < RESPONSE_DELAY);
    for index in 0..20 {
        let prompt = format!("tokens=8 after {index}");
        check_completion(&complete(&fleet, &prompt).await, &prompt);
    }
}

#[tokio::test]
async fn duplicated_responses_are_ignored() {
    let fleet = fleet(1).await;
    for index in 0..20 {
        let next = completions(1);
        fleet.engines[0]
            .tell(Control::DuplicateAnswers { next })
            .await;
        let prompt = format!("tokens=8 number {index}");
        check_completion(&complete(&fleet, &prompt).await, &prompt);
    }
}

#[tokio::test]
async fn truncated_responses_are_retried_on_another_engine() {
    for after_bytes in [0, 1, 60] {
        let next = completions(1_000);
        let control = Control::TruncateAnswers { next, after_bytes };
        check_served_by_other_engine(control).await;
    }
}

#[tokio::test]
async fn lost_responses_are_retried_on_another_engine() {
    let next = completions(1_000);
    check_served_by_other_engine(Control::LoseAnswers { next }).await;
}

/// Applies a fault to one of two engines; all callers must get complete responses from the other.
async fn check_served_by_other_engine(fault: Control) {
    let fleet = fleet(2).await;
    let before = fleet.tokens().await;
    fleet.engines[0].tell(fault).await;
    let prompts: Vec<_> = (0..CALLERS)
        .map(|i| format!("tokens=8 number {i}"))
        .collect();
    let replies = join_all(prompts.iter().map(|prompt| complete(&fleet, prompt))).await;
    for (reply, prompt) in replies.iter().zip(&prompts) {
        check_completion(reply, prompt);
    }
    let after = fleet.tokens().await;
    assert!(after[0] > before[0], "no request reached the faulty engine");
}

#[tokio::test]
async fn duplicated_chunks_are_dropped() {
    let fleet = fleet(1).await;
    fleet.engines[0]
        .tell(Control::DuplicateChunks { count: 1 })
        .await;
    check_stream(&stream(&fleet, "tokens=30").await, "tokens=30");
}

#[tokio::test]
async fn cut_stream_resumes_on_another_engine() {
    check_resumed(StreamEnd::Cut).await;
}

#[tokio::test]
async fn stream_without_last_event_resumes_on_another_engine() {
    check_resumed(StreamEnd::Short).await;
}

async fn check_resumed(end: StreamEnd) {
    let fleet = fleet(2).await;
    let truncate = Control::TruncateStreams {
        count: 1_000,
        after_tokens: 5,
        end,
    };
    let before = fleet.tokens().await;
    fleet.engines[0].tell(truncate).await;
    let prompts: Vec<_> = (0..CALLERS)
        .map(|i| format!("tokens=30 number {i}"))
        .collect();
    let streams = join_all(prompts.iter().map(|prompt| stream(&fleet, prompt))).await;
    for (streamed, prompt) in streams.iter().zip(&prompts) {
        check_stream(streamed, prompt);
    }
    let after = fleet.tokens().await;
    let generated = after.iter().sum::<u64>() - before.iter().sum::<u64>();
    assert_eq!(
        generated,
        30 * CALLERS,
        "every token must be generated once"
    );
    assert!(after[0] > before[0], "no stream reached the faulty engine");
}

#[tokio::test]
async fn stream_resumes_after_engine_crash() {
    let cfg = EngineConfig {
        token: Duration::from_millis(20),
        ..fast_engine()
    };
    let fleet = fleet_of(cfg, 2).await;
    let before = fleet.tokens().await;
    let streamed = stream(&fleet, "tokens=60 crash");
    let crash = async {
        let engine = fleet.wait_generating(&before, 5).await;
        let restart = Duration::from_secs(1);
        engine.tell(Control::Crash { restart }).await;
    };
    let (streamed, ()) = futures::join!(streamed, crash);
    check_stream(&streamed, "tokens=60 crash");
}

#[tokio::test]
async fn stream_no_engine_can_finish_ends_with_a_problem() {
    for end in [StreamEnd::Cut, StreamEnd::Short] {
        let fleet = fleet(2).await;
        let truncate = Control::TruncateStreams {
            count: 1_000,
            after_tokens: 2,
            end,
        };
        for engine in &fleet.engines {
            engine.tell(truncate.clone()).await;
        }
        let prompt = "tokens=500 unfinishable";
        let streamed = stream(&fleet, prompt).await;
        assert!(
            matches!(streamed.end, End::Problem(_)),
            "{:?}",
            streamed.end
        );
        assert!(expected_text(prompt).starts_with(&streamed.text()));
    }
}

#[tokio::test]
async fn stalled_stream_ends_by_the_deadline() {
    let fleet = fleet(1).await;
    fleet.engines[0]
        .tell(Control::TruncateStreams {
            count: 1,
            after_tokens: 3,
            end: StreamEnd::Stall,
        })
        .await;
    let short_deadline_call = chat("tokens=30 stalled", true).header("deadline", 3_000);
    let streamed = short_deadline_call
        .stream(fleet.daemons[0].callers)
        .await
        .expect("a response");
    match streamed.end {
        End::Whole => assert_eq!(streamed.text(), expected_text("tokens=30 stalled")),
        End::Problem(_) => assert!(streamed.longest_gap < Duration::from_secs(5)),
        other => panic!("{other:?}"),
    }
}
