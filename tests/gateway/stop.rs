//! A planned stop.

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::upstream::EVENTS_PER_STREAM;

use crate::bed::{Bed, plain, stream, wait};

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing() {
    let mut bed = Bed::spawn(2).await;
    let leaving = bed.gateways[0].front();
    let response = bed.gateways[0].open(&stream("s1", "/ask/easy")).await;
    bed.gateways[0].terminate();
    wait(|| async { !bed.gateways[1].directory().await.contains(&leaving) }).await;
    assert!(!bed.gateways[0].is_ready().await);
    let late = bed.gateways[0]
        .call(&plain("l1", Method::GET, "/look/1"))
        .await;
    assert_eq!(
        late.status,
        StatusCode::OK,
        "callers that hold its address are served"
    );
    assert_eq!(late.headers["connection"], "close");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("whole")
        .to_bytes();
    let text = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(text.matches("id: ").count() as u64, EVENTS_PER_STREAM);
    assert!(bed.gateways[0].ended().await);
}
