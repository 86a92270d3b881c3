//! Reloading of settings.

use crate::harness::{Harness, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn sighup_applies_new_limits() {
    let harness = Harness::spawn(1).await;
    let gateway = &harness.gateways[0];
    harness.change_settings("repeat_slack", 7.into());
    gateway.signal("HUP");
    wait_until(|| async {
        gateway
            .log()
            .contains("event=reload repeat_ratio=0.9 repeat_slack=7")
    })
    .await;
    harness.change_settings("repeat_slack", "many".into());
    gateway.signal("HUP");
    wait_until(|| async { gateway.log().contains("kept=settings_before") }).await;
    assert!(
        gateway.log().contains("repeat_slack"),
        "the error names the key"
    );
    assert!(gateway.is_ready().await);
}

/// SIGHUP ended a gateway that was still reading its settings.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_during_the_start_does_not_end_the_gateway() {
    let mut harness = Harness::spawn(0).await;
    let settings = harness.start_gateway_without_settings();
    let gateway = &harness.gateways[0];
    gateway.signal("HUP");
    settings.complete();
    wait_until(|| async { gateway.is_ready().await }).await;
    wait_until(|| async { gateway.log().contains("event=reload ") }).await;
}

/// SIGTERM ended it without an orderly exit.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_during_the_start_stops_the_gateway() {
    let mut harness = Harness::spawn(0).await;
    let settings = harness.start_gateway_without_settings();
    harness.gateways[0].terminate();
    settings.complete();
    assert!(harness.gateways[0].wait_for_exit().await);
}
