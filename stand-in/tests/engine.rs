//! Tests the fake engine: deterministic text, batching, cold starts, crashes and orders.

mod support;

use std::time::{Duration, Instant};

use platform_api::engine::{
    ATTEMPT_HEADER, AttemptState, ChatResponse, Command, INCARNATION_HEADER, LOAD_PATH, Load,
    NOT_RUN_HEADER, ORDERS_PATH, Order, OrderOutcome,
};
use stand_in::{
    client,
    control::{Control, StreamEnd},
    engine::{ColdConfig, Engine, EngineConfig, VersionConfig, text},
    server::RoleHandle,
    weights::{WeightStore, WeightsConfig},
};
use support::{
    SKILL, VERSION, completion, concat_text, engine_stats, loopback, messages, post, post_json,
    read_events, wait_until, warm_config,
};

async fn engine(cfg: EngineConfig) -> RoleHandle {
    Engine::spawn(cfg, loopback()).await.expect("spawn")
}

#[tokio::test]
async fn unstreamed_answer_is_complete() {
    let engine = engine(warm_config()).await;
    let res = completion("a1", "tokens=5 hello")
        .send(engine.address)
        .await
        .unwrap();
    assert_eq!(res.headers()[ATTEMPT_HEADER], "a1");
    assert!(res.headers().contains_key(INCARNATION_HEADER));
    let body = client::read_body(engine.address, res).await.unwrap();
    let answer: ChatResponse = serde_json::from_slice(&body).unwrap();
    let content = &answer.choices[0].message.content;
    assert_eq!(answer.id, "a1");
    assert_eq!(answer.usage.completion_tokens, 5);
    assert_eq!(
        *content,
        text::expected_answer(VERSION, SKILL, &messages("tokens=5 hello"), None)
    );
    assert_eq!(content.split_whitespace().count(), 5);
}

#[tokio::test]
async fn stream_resumes_on_another_engine() {
    let (one, two) = (engine(warm_config()).await, engine(warm_config()).await);
    one.control(&Control::TruncateStreams {
        count: 1,
        after_tokens: 4,
        end: StreamEnd::Cut,
    })
    .unwrap();
    let prompt = "tokens=12 difficulty=0.4 notice";
    let first = read_events(
        completion("a1", prompt)
            .stream()
            .send(one.address)
            .await
            .unwrap(),
    )
    .await;
    assert!(first.cut && !first.done);
    assert_eq!(first.chunks.len(), 4);
    let rest = completion("a2", prompt).stream().resume_from(4);
    let rest = read_events(rest.send(two.address).await.unwrap()).await;
    assert!(rest.done);
    assert_eq!(rest.chunks[0].offset, 4);
    assert!(rest.chunks.iter().all(|c| c.id == "a2"));
    let text = concat_text(&first) + &concat_text(&rest);
    assert_eq!(
        text,
        text::expected_answer(VERSION, SKILL, &messages(prompt), None)
    );
}

#[tokio::test]
async fn streams_are_truncated_and_duplicated() {
    let engine = engine(warm_config()).await;
    let truncate = |end| Control::TruncateStreams {
        count: 1,
        after_tokens: 2,
        end,
    };
    engine.control(&truncate(StreamEnd::Short)).unwrap();
    let short = completion("a1", "tokens=6")
        .stream()
        .send(engine.address)
        .await
        .unwrap();
    let short = read_events(short).await;
    assert!(!short.cut && !short.done);
    assert_eq!(short.chunks.len(), 2);
    engine
        .control(&Control::DuplicateChunks { count: 1 })
        .unwrap();
    let twice = completion("a2", "tokens=6")
        .stream()
        .send(engine.address)
        .await
        .unwrap();
    let twice = read_events(twice).await;
    assert!(twice.done);
    assert_eq!(twice.chunks.len(), 2 * (6 + 1));
}

#[tokio::test]
async fn full_queue_refuses_and_priority_orders_it() {
    let cfg = EngineConfig {
        slots: 1,
        waiting_limit: 2,
        token: Duration::from_millis(10),
        ..warm_config()
    };
    let engine = engine(cfg).await;
    let address = engine.address;
    let running = tokio::spawn(completion("run", "tokens=30").send(address));
    wait_until(|| engine_stats(&engine).running_peak == 1).await;
    let low = tokio::spawn(completion("low", "tokens=100").send(address));
    wait_until(|| engine.stats().requests == 2).await;
    let high = tokio::spawn(completion("high", "tokens=10").priority(9).send(address));
    wait_until(|| engine.stats().requests == 3).await;
    let refused = completion("over", "tokens=1").send(address).await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()[NOT_RUN_HEADER], "true");
    high.await.unwrap().unwrap();
    assert!(running.is_finished() && !low.is_finished());
    low.await.unwrap().unwrap();
    let stats = engine_stats(&engine);
    assert_eq!(stats.versions[0].completed, 3);
    assert!(stats.attempts.iter().all(|a| a.id != "over"));
    assert_eq!(stats.running_peak, 1);
}

#[tokio::test]
async fn disconnect_cancels_the_attempt() {
    let cfg = EngineConfig {
        slots: 1,
        token: Duration::from_millis(20),
        ..warm_config()
    };
    let engine = engine(cfg).await;
    let req = tokio::spawn(completion("gone", "tokens=1000").send(engine.address));
    wait_until(|| engine_stats(&engine).attempts.len() == 1).await;
    req.abort();
    wait_until(|| engine_stats(&engine).cancelled == 1).await;
    let path = "/attempts/gone";
    let state: AttemptState = client::get_json(engine.address, path).await.unwrap();
    assert_eq!(state, AttemptState::Ended);
    let next = completion("next", "tokens=1")
        .send(engine.address)
        .await
        .unwrap();
    assert_eq!(next.status(), 200);
}

#[tokio::test]
async fn cold_engine_crashes_over_its_concurrency_limit() {
    let cfg = EngineConfig {
        cold: ColdConfig {
            at_start: true,
            concurrency_limit: 2,
            warmup_requests: 3,
        },
        restart: Duration::from_millis(50),
        ..warm_config()
    };
    let engine = engine(cfg).await;
    let before = engine.stats().incarnation;
    let all = (0..3).map(|i| completion(&format!("a{i}"), "tokens=200").send(engine.address));
    let all = futures::future::join_all(all).await;
    assert!(all.iter().all(Result::is_err));
    assert_eq!(engine_stats(&engine).cold_peak, 3);
    assert_eq!(engine_stats(&engine).cold_crashes, 1);
    assert!(engine.stats().incarnation > before);
    let mut answered = 0;
    let deadline = Instant::now() + Duration::from_secs(5);
    while answered < 3 && Instant::now() < deadline {
        let res = completion("again", "tokens=1").send(engine.address).await;
        answered += usize::from(res.is_ok());
    }
    assert_eq!(answered, 3);
    assert!(!engine_stats(&engine).cold);
    let all = (0..5).map(|i| completion(&format!("b{i}"), "tokens=20").send(engine.address));
    assert!(
        futures::future::join_all(all)
            .await
            .iter()
            .all(Result::is_ok)
    );
    assert_eq!(engine_stats(&engine).cold_crashes, 1);
}

#[tokio::test]
async fn poison_request_crashes_the_engine() {
    let engine = engine(warm_config()).await;
    let res = completion("bad", "a POISON word")
        .send(engine.address)
        .await;
    assert!(res.is_err());
    assert_eq!(engine_stats(&engine).poison_crashes, 1);
    assert!(engine_stats(&engine).cold);
}

#[tokio::test]
async fn orders_are_fenced_and_versions_loaded() {
    let weights = WeightStore::spawn(WeightsConfig::default(), loopback())
        .await
        .unwrap();
    let cfg = EngineConfig {
        versions: vec![VersionConfig {
            loaded: false,
            ..VersionConfig::new(VERSION, SKILL)
        }],
        load_time: Duration::from_millis(20),
        load_lag: Duration::ZERO,
        weights: Some(weights.address),
        ..warm_config()
    };
    let engine = engine(cfg).await;
    let res = completion("early", "tokens=1")
        .send(engine.address)
        .await
        .unwrap();
    assert_eq!(res.status(), 404);
    let order = |fence, command| Order { fence, command };
    let load = Command::Load {
        version: VERSION.into(),
    };
    let unload = Command::Unload {
        version: VERSION.into(),
    };
    let outcome: OrderOutcome = post_json(engine.address, ORDERS_PATH, &order(7, load)).await;
    assert_eq!(outcome, OrderOutcome::Done);
    let outcome: OrderOutcome = post_json(engine.address, ORDERS_PATH, &order(6, unload)).await;
    assert_eq!(outcome, OrderOutcome::Fenced);
    let load: Load = client::get_json(engine.address, LOAD_PATH).await.unwrap();
    assert_eq!(load.versions, [VERSION]);
    let res = completion("late", "tokens=1")
        .send(engine.address)
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test]
async fn engine_without_fencing_accepts_old_orders() {
    let engine = engine(EngineConfig {
        honours_fence: false,
        ..warm_config()
    })
    .await;
    let unload = |fence| Order {
        fence,
        command: Command::Unload {
            version: VERSION.into(),
        },
    };
    let _: OrderOutcome = post_json(engine.address, ORDERS_PATH, &unload(7)).await;
    let outcome: OrderOutcome = post_json(engine.address, ORDERS_PATH, &unload(6)).await;
    assert_eq!(outcome, OrderOutcome::Done);
}

#[tokio::test]
async fn quality_drop_lowers_answer_quality() {
    let engine = engine(warm_config()).await;
    let quality = async |id: &str| {
        let res = completion(id, "tokens=1 difficulty=0.6")
            .send(engine.address)
            .await
            .unwrap();
        let body = client::read_body(engine.address, res).await.unwrap();
        let answer: ChatResponse = serde_json::from_slice(&body).unwrap();
        text::parse_true_quality(&answer.choices[0].message.content).unwrap()
    };
    let good = quality("a1").await;
    engine
        .control(&Control::TurnBad {
            version: VERSION.into(),
            quality_drop: 0.3,
        })
        .unwrap();
    let bad = quality("a2").await;
    assert!((good - bad - 0.3).abs() < 0.011, "{good} {bad}");
    assert_eq!(engine_stats(&engine).versions[0].begun_bad, 1);
}

#[tokio::test]
async fn load_report_lags() {
    let engine = engine(EngineConfig {
        load_lag: Duration::from_millis(150),
        ..warm_config()
    })
    .await;
    engine.control(&Control::Leaving { leaving: true }).unwrap();
    let changed_at = Instant::now();
    let mut load: Load = client::get_json(engine.address, LOAD_PATH).await.unwrap();
    assert!(!load.leaving);
    while !load.leaving {
        assert!(changed_at.elapsed() < Duration::from_secs(5));
        load = client::get_json(engine.address, LOAD_PATH).await.unwrap();
    }
    assert!(changed_at.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn malformed_order_is_refused() {
    let engine = engine(warm_config()).await;
    let res = post(engine.address, ORDERS_PATH, "{").await.unwrap();
    assert_eq!(res.status(), 400);
}
