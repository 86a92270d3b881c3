//! Configurations that take longer to transfer than a call without one.

use std::time::Duration;

use hibiscusyoke::gateway::{
    followed_table::FollowedTable,
    table_link::{ChangesReply, FetchError, fetch_changes},
};
use platform::RowVersion;
use soak::proxy::{LinkState, Proxy};
use stand_in::gateway::{
    deployment::{configuration, configuration_with_routes},
    table::FakeTable,
};
use tokio::time::{Instant, timeout};

use crate::harness::{Gateway, Harness, wait_until};

/// A link of 10 Mbit/s, in bytes a second.
const NARROW_LINK: LinkState = LinkState::Limited(1_250_000);
/// Number of routes of a configuration of about 1 MB.
const MANY_ROUTES: usize = 4_200;
/// Number of routes of a configuration of about 4.5 MB, 6 MB in the table's answer.
const VERY_MANY_ROUTES: usize = 20_000;
/// Time in which a confirmed configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after the start of a poll, shortly before the table ends it without changes.
const LATE_IN_POLL: Duration = Duration::from_millis(2_700);
/// Number of daemons that ask one daemon at the same time.
const ASKING_PEERS: usize = 24;
/// Time in which some of them must have the configuration: it reaches 85 daemons in time if their
/// number doubles six times.
const RELAY_TIME: Duration = Duration::from_millis(500);
/// Time in which a peer that sends nothing is given up.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Starts a gateway that reaches the table through a link.
async fn harness_behind_link() -> (Harness, Proxy) {
    let table = FakeTable::spawn().await;
    let link = Proxy::bind(table.address()).await.expect("a free port");
    let harness = Harness::spawn_at(table, 1, |_, settings| {
        settings["table"] = link.address().to_string().into();
    });
    (harness.await, link)
}

/// Returns a link to a gateway's port for peers.
async fn link_to_peer(gateway: &Gateway) -> Proxy {
    Proxy::bind(gateway.peer_address())
        .await
        .expect("a free port")
}

/// Queries a gateway for its whole configuration, as a peer does.
async fn fetch_configuration(link: &Proxy) -> Result<ChangesReply, FetchError> {
    let nothing = RowVersion::default();
    fetch_changes(link.address(), FollowedTable::Orders, nothing).await
}

async fn wait_for_generation(gateway: &Gateway, generation: u64) {
    let applied = format!("configuration generation={generation}");
    wait_until(|| async { gateway.log().contains(&applied) }).await;
}

/// Waits until a gateway has applied a configuration, which must be in the time allowed from now on.
async fn assert_applied_in_time(gateway: &Gateway, generation: u64) {
    let from = Instant::now();
    wait_for_generation(gateway, generation).await;
    assert!(from.elapsed() < APPLY_TIME, "{:?}", from.elapsed());
}

/// A daemon that had lost the table gave up each poll while the answer was still arriving, and never
/// got the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_arrives_over_narrow_link_after_outage() {
    let (harness, link) = harness_behind_link().await;
    let gateway = &harness.gateways[0];
    link.set(LinkState::Silent);
    wait_until(|| async { gateway.log().contains("event=table_lost table=op") }).await;
    let configuration = configuration_with_routes(2, &["k1"], MANY_ROUTES);
    harness.table.put("op", "config", &configuration);
    link.set(NARROW_LINK);
    assert_applied_in_time(gateway, 2).await;
}

/// A change that comes when a poll is about to end is not lost with it.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_arrives_at_the_end_of_a_poll() {
    let (harness, link) = harness_behind_link().await;
    let gateway = &harness.gateways[0];
    link.set(NARROW_LINK);
    // The answer to this change ends a poll, and the next one begins.
    harness
        .table
        .put("op", "config", &configuration(2, &["k1"]));
    wait_for_generation(gateway, 2).await;
    tokio::time::sleep(LATE_IN_POLL).await;
    let configuration = configuration_with_routes(3, &["k1"], MANY_ROUTES);
    harness.table.put("op", "config", &configuration);
    assert_applied_in_time(gateway, 3).await;
}

/// An answer of the table of more than 4 MiB was never read.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_of_several_megabytes_is_applied() {
    let harness = Harness::spawn(1).await;
    let configuration = configuration_with_routes(2, &["k1"], VERY_MANY_ROUTES);
    harness.table.put("op", "config", &configuration);
    wait_for_generation(&harness.gateways[0], 2).await;
}

/// Queries to peers were given up after 600 ms, however much had arrived.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_arrives_from_a_peer_over_narrow_link() {
    let harness = Harness::spawn(1).await;
    let gateway = &harness.gateways[0];
    let configuration = configuration_with_routes(2, &["k1"], MANY_ROUTES);
    harness.table.put("op", "config", &configuration);
    wait_for_generation(gateway, 2).await;
    let link = link_to_peer(gateway).await;
    link.set(NARROW_LINK);
    let query = fetch_configuration(&link);
    let reply = timeout(APPLY_TIME, query).await.expect("in time");
    assert_eq!(reply.expect("a reply").changes.rows.len(), 1);
}

/// All daemons ask the few that have a new configuration. Its transfers shared the link until all of
/// them were given up, and no daemon got it that could have passed it on.
#[tokio::test(flavor = "multi_thread")]
async fn few_of_many_peers_get_a_large_configuration_at_once() {
    let harness = Harness::spawn_with(1, |_, settings| settings["link_mbps"] = 10.0.into()).await;
    let gateway = &harness.gateways[0];
    let configuration = configuration_with_routes(2, &["k1"], MANY_ROUTES);
    harness.table.put("op", "config", &configuration);
    wait_for_generation(gateway, 2).await;
    let link = link_to_peer(gateway).await;
    link.set(NARROW_LINK);
    let queries = (0..ASKING_PEERS).map(|_| fetch_configuration(&link));
    let replies = timeout(RELAY_TIME, futures::future::join_all(queries)).await;
    let replies = replies.expect("each peer has the configuration or may ask another one");
    let complete = replies.iter().filter(|reply| reply.is_ok()).count();
    assert!(complete >= 2, "{complete} of {ASKING_PEERS}");
}

/// A peer that is silent is given up early, so that another one can be asked.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_is_given_up() {
    let harness = Harness::spawn(1).await;
    let link = link_to_peer(&harness.gateways[0]).await;
    link.set(LinkState::AnswersLost);
    let query = fetch_configuration(&link);
    let reply = timeout(MAX_SILENCE, query).await.expect("given up in time");
    assert!(reply.is_err(), "{reply:?}");
}
