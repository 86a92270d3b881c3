//! Crowds at the ports of a gateway that are not for callers.

use tokio::task::JoinSet;

use crate::{
    gateway::Deployment,
    streams::{STREAM_TIME, send_streams_that_stop_short},
};

/// Number of connections; the bodies of their streams alone exceed the instance's memory.
const CONNECTIONS: usize = 4;

/// A query of a peer, which has some bytes, was read up to 8 MiB, and 200 of them on each connection.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_queries_of_peers_stop_short() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].peer_address();
    let mut crowd = JoinSet::new();
    for _ in 0..CONNECTIONS {
        crowd.spawn(send_streams_that_stop_short(address, "/changes", "none"));
    }
    tokio::time::sleep(STREAM_TIME).await;
    deployment.assert_answered("beside", 100).await;
    crowd.shutdown().await;
    deployment.assert_answered("afterwards", 100).await;
    deployment.assert_within_bounds();
}
