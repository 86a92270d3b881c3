//! Settings that change while the gateway runs.

use crate::bed::{Bed, wait};

#[tokio::test(flavor = "multi_thread")]
async fn hang_up_puts_new_limits_in_force() {
    let bed = Bed::spawn(1).await;
    let gateway = &bed.gateways[0];
    bed.change_settings("repeat_slack", 7.into());
    gateway.signal("HUP");
    wait(|| async {
        gateway
            .log()
            .contains("event=reload repeat_ratio=0.9 repeat_slack=7")
    })
    .await;
    bed.change_settings("repeat_slack", "many".into());
    gateway.signal("HUP");
    wait(|| async { gateway.log().contains("kept=settings_before") }).await;
    assert!(
        gateway.log().contains("repeat_slack"),
        "the error names the key"
    );
    assert!(gateway.is_ready().await);
}
