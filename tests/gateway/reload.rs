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
