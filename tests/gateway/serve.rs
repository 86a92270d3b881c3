//! Each kind of request, through two gateways.

use http::{Method, StatusCode};

use stand_in::gateway::{
    deployment::configuration,
    upstream::{EVENTS_PER_STREAM, runs_by_id},
};

use crate::bed::{Bed, plain, stream, wait};

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_through_two_gateways() {
    let bed = Bed::spawn(2).await;
    for (gateway, n) in bed.gateways.iter().zip(1..) {
        let answer = gateway.call(&stream(&format!("s{n}"), "/ask/easy")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["response-seal"], "s");
        assert_eq!(
            answer.body.matches("id: ").count() as u64,
            EVENTS_PER_STREAM
        );
        assert!(answer.body.contains("model=small"), "{}", answer.body);
        let answer = gateway
            .call(&plain(&format!("b{n}"), Method::POST, "/book/1"))
            .await;
        assert_eq!(
            (answer.status, answer.body),
            (StatusCode::OK, format!("answer to b{n}"))
        );
        let answer = gateway
            .call(&plain(&format!("l{n}"), Method::GET, "/look/1"))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(gateway.is_ready().await);
        assert!(
            gateway
                .metrics()
                .await
                .contains("hibiscusyoke_gateway_requests_total")
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hard_request_gets_the_large_model() {
    let bed = Bed::spawn(1).await;
    let answer = bed.call(&stream("s1", "/ask/hard")).await;
    assert_eq!(
        answer.body.matches("model=large").count() as u64,
        EVENTS_PER_STREAM,
        "{}",
        answer.body
    );
    assert!(!answer.body.contains("model=small"));
    assert_eq!(runs_by_id(&bed.engines())["s1"], 2);
}

/// A change of the operators' table is in force without a restart, also at a daemon that does not
/// poll the table itself.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_by_all() {
    let bed = Bed::spawn(4).await;
    bed.table.put("op", "config", &configuration(2, &["k2"]));
    for gateway in &bed.gateways {
        let refused = || async {
            let answer = gateway.call(&plain("b", Method::GET, "/look/1")).await;
            answer.status == StatusCode::UNAUTHORIZED
        };
        wait(refused).await;
    }
}

/// Daemons that do not poll the table are told by those that do.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_tell_one_another_changes() {
    let bed = Bed::spawn(4).await;
    let generation = std::sync::atomic::AtomicU64::new(2);
    wait(|| async {
        let next = generation.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        bed.table.put("op", "config", &configuration(next, &["k1"]));
        let told =
            |gateway: &crate::bed::Gateway| gateway.log().contains("event=changes_told table=op");
        bed.gateways.iter().filter(|gateway| told(gateway)).count() >= 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_nothing_more() {
    let bed = Bed::spawn(1).await;
    let [e1, e2] = bed.engines();
    let mut row = e1.row("pool", "v1");
    row["state"] = "draining".into();
    bed.table.put("servers", "e1", &row);
    wait(|| async {
        bed.gateways[0]
            .log()
            .contains("event=upstream_draining upstream=e1")
    })
    .await;
    for n in 0..8 {
        bed.call(&stream(&format!("s{n}"), "/ask/easy")).await;
    }
    assert_eq!((e1.runs().len(), e2.runs().len()), (0, 8));
}
