//! Upstreams that fail, and what callers are told.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::upstream::{Behaviour, runs_by_id};

use crate::bed::{Bed, plain, stream, wait};

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on_elsewhere() {
    let bed = Bed::spawn(1).await;
    for (breaking, n) in bed.engines().into_iter().zip(1..) {
        let others = bed.engines();
        others
            .iter()
            .for_each(|engine| engine.set_behaviour(Behaviour::Serve));
        breaking.set_behaviour(Behaviour::BreakAfter(2));
        for m in 0..4 {
            let id = format!("s{n}-{m}");
            let answer = bed.call(&stream(&id, "/ask/easy")).await;
            let ids: Vec<&str> = answer
                .body
                .lines()
                .filter_map(|line| line.strip_prefix("id: "))
                .collect();
            assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{}", answer.body);
        }
    }
    assert!(bed.gateways[0].log().contains("event=resumed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_is_repeated_elsewhere() {
    let bed = Bed::spawn(1).await;
    let [p1, _] = bed.desks();
    for behaviour in [
        Behaviour::Fail,
        Behaviour::Break,
        Behaviour::Foreign,
        Behaviour::Unsigned,
        Behaviour::Refuse,
    ] {
        p1.set_behaviour(behaviour);
        for n in 0..4 {
            let answer = bed
                .call(&plain(&format!("l{n}"), Method::GET, "/look/1"))
                .await;
            assert_eq!(
                (answer.status, answer.body),
                (StatusCode::OK, format!("answer to l{n}")),
                "{behaviour:?}"
            );
        }
    }
}

/// It may have run: it is not sent again, and the caller is not told that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_runs_at_most_once() {
    let bed = Bed::spawn(1).await;
    for behaviour in [Behaviour::Break, Behaviour::Foreign, Behaviour::Unsigned] {
        bed.set_desks(behaviour);
        let id = format!("b-{behaviour:?}");
        let answer = bed.call(&plain(&id, Method::POST, "/book/1")).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(runs_by_id(&bed.desks())[&id], 1, "{behaviour:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_call_is_not_run_and_may_come_back() {
    let bed = Bed::spawn(1).await;
    bed.set_desks(Behaviour::Refuse);
    let answer = bed.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"]
        .to_str()
        .expect("text")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait < 2.0, "{wait}");
    assert_eq!(runs_by_id(&bed.desks()).get("b1"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_own_failure_is_passed_on() {
    let bed = Bed::spawn(1).await;
    bed.set_desks(Behaviour::Fail);
    let answer = bed.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.headers["response-seal"], "s");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_ends_with_the_routes_timeout() {
    let bed = Bed::spawn(1).await;
    bed.set_desks(Behaviour::Hang);
    let begun = Instant::now();
    let answer = bed.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let took = begun.elapsed();
    assert!(
        took >= Duration::from_millis(3_900) && took < Duration::from_millis(4_500),
        "{took:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn work_stops_when_the_caller_leaves() {
    let bed = Bed::spawn(1).await;
    bed.set_desks(Behaviour::Hang);
    let call = plain("l1", Method::GET, "/look/1");
    let leaving = tokio::time::timeout(Duration::from_millis(200), bed.call(&call));
    leaving.await.expect_err("it hangs");
    wait(|| async { bed.desks().iter().all(|desk| desk.in_flight() == 0) }).await;
    let mut response = bed.gateways[0].open(&stream("s1", "/ask/easy")).await;
    response
        .body_mut()
        .frame()
        .await
        .expect("an event")
        .expect("whole");
    drop(response);
    wait(|| async { bed.engines().iter().all(|engine| engine.in_flight() == 0) }).await;
}

/// Without any upstream the caller is refused at once, and told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn no_upstream_is_refused_at_once() {
    let bed = Bed::spawn(1).await;
    bed.remove_desks().await;
    let begun = Instant::now();
    let answer = bed.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(begun.elapsed() < Duration::from_millis(500));
}
