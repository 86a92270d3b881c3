//! Upstreams that name how many requests they take from all daemons together.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use stand_in::gateway::upstream::Behaviour;

use crate::harness::{Harness, plain};

/// The limit of an upstream in requests per 1,000 seconds.
const LIMIT: u32 = 2_000;
/// Time from the first answer with a limit until it must be respected.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Number of arrivals that operators allow in it: one and a half times the limit, and five more.
const MAX_ARRIVALS: usize = 17;
/// Time for which requests are sent while the limit is in force.
const LIMITED_TIME: Duration = Duration::from_secs(9);
/// Interval between two requests to the same gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Sends requests through all gateways for a time; each must be served.
async fn send_for(harness: &Harness, time: Duration, prefix: &str) {
    let end = Instant::now() + time;
    let mut n = 0;
    while Instant::now() < end {
        for gateway in &harness.gateways {
            n += 1;
            let call = plain(&format!("{prefix}{n}"), Method::GET, "/look/1");
            let reply = gateway.call(&call).await;
            assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// An upstream in need went on getting its usual share from all daemons.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_gets_no_more_requests_than_it_named_and_all_again_afterwards() {
    let harness = Harness::spawn(3).await;
    let [limited, _] = harness.plain_upstreams();
    limited.set_behaviour(Behaviour::Limit(LIMIT));
    send_for(&harness, LIMITED_TIME, "l").await;
    let arrivals = limited.arrivals();
    let from = arrivals[0] + CONTACT_TIME;
    let late: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        let end = *start + WINDOW;
        late.iter().filter(|at| *at >= start && **at < end).count()
    };
    let most = late.iter().map(in_window).max().unwrap_or(0);
    assert!(most <= MAX_ARRIVALS, "{most} in {WINDOW:?}");
    assert!(
        late.len() > 4,
        "only {} arrivals, it takes more",
        late.len()
    );
    limited.set_behaviour(Behaviour::Serve);
    send_for(&harness, CONTACT_TIME, "e").await;
    let before = limited.arrivals().len();
    send_for(&harness, WINDOW, "n").await;
    let after = limited.arrivals().len() - before;
    assert!(
        after > MAX_ARRIVALS,
        "{after} arrivals after the limit has ended"
    );
}
