//! Each kind of request, through two gateways.

use http::{Method, StatusCode};

use stand_in::users::{
    deployment::configuration,
    upstream::{EVENTS, runs_by_id},
};

use crate::harness::{Harness, plain, stream, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_request_is_served_by_two_gateways() {
    let harness = Harness::spawn(2).await;
    for (gateway, n) in harness.gateways.iter().zip(1..) {
        let answer = gateway.call(&stream(&format!("s{n}"), "/ask/easy")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["response-seal"], "s");
        assert_eq!(answer.body.matches("id: ").count() as u64, EVENTS);
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
async fn hard_request_is_escalated_to_the_large_model() {
    let harness = Harness::spawn(1).await;
    let answer = harness.call(&stream("s1", "/ask/hard")).await;
    assert_eq!(
        answer.body.matches("model=large").count() as u64,
        EVENTS,
        "{}",
        answer.body
    );
    assert!(!answer.body.contains("model=small"));
    assert_eq!(runs_by_id(&harness.engines())["s1"], 2);
}

/// A change of the operators' table is in force without a restart, also at a daemon that does not
/// poll the table itself.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_by_all_gateways() {
    let harness = Harness::spawn(4).await;
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    for gateway in &harness.gateways {
        let refused = || async {
            let answer = gateway.call(&plain("b", Method::GET, "/look/1")).await;
            answer.status == StatusCode::UNAUTHORIZED
        };
        wait_until(refused).await;
    }
}

/// Daemons that do not poll the table are told by those that do.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_send_table_changes_to_peers() {
    let harness = Harness::spawn(4).await;
    let generation = std::sync::atomic::AtomicU64::new(2);
    wait_until(|| async {
        let next = generation.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        harness
            .table
            .put("op", "config", &configuration(next, &["k1"]));
        let received_changes = |gateway: &crate::harness::Gateway| {
            gateway.log().contains("event=changes_told table=op")
        };
        harness
            .gateways
            .iter()
            .filter(|gateway| received_changes(gateway))
            .count()
            >= 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_new_requests() {
    let harness = Harness::spawn(1).await;
    let [e1, e2] = harness.engines();
    let mut row = e1.row("pool", "v1");
    row["state"] = "draining".into();
    harness.table.put("servers", "e1", &row);
    wait_until(|| async {
        harness.gateways[0]
            .log()
            .contains("event=upstream_draining upstream=e1")
    })
    .await;
    for n in 0..8 {
        harness.call(&stream(&format!("s{n}"), "/ask/easy")).await;
    }
    assert_eq!((e1.runs().len(), e2.runs().len()), (0, 8));
}
