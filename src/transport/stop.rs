//! The end of a server.

use tokio::sync::watch;

/// Returns when a server stops, or when the sender was dropped as the server or the process ends.
pub async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped.
    let _ = stop.wait_for(|stop| *stop).await;
}
