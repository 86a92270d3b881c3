//! Three daemon processes that have met, and calls of the service that may not be repeated.

#![allow(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part, and a failed call fails the test"
)]

use std::time::Duration;

use hibiscusyoke::{
    coordination::bills::CustomerTotal,
    daemon::{billing::invoice, locate::LocateResponse},
    protocol::problem::{ExecutionState, Problem},
    transport::table::TableClient,
};
use http::{Method, StatusCode};
use platform_api::instances::{Instance, InstanceState, Role};
use serde_json::json;
use stand_in::{
    control::Control,
    service::{ServiceAnswer, ServiceConfig},
};

use super::support::{
    caller::{Reply, locate, service},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{DOMAINS, SERVICE},
    wait_until,
};

/// How long daemons may take to meet, and bills to be written.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Starts three daemons and two replicas that take `work` for each call.
pub async fn spawn(work: Duration) -> Fleet {
    let service = ServiceConfig {
        work,
        ..ServiceConfig::default()
    };
    let fleet = Fleet::spawn(FleetPlan {
        daemons: 3,
        engines: vec![fast_engine()],
        services: vec![service; 2],
        settings: json!({"keep_seconds": 1}),
    })
    .await;
    meet(&fleet).await;
    fleet
}

async fn meet(fleet: &Fleet) {
    let instance = |(index, daemon): (usize, &super::support::daemon::Daemon)| Instance {
        name: daemon.name.as_str().into(),
        role: Role::Entry,
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        address: daemon.peers,
        state: InstanceState::Live,
    };
    let instances = fleet.daemons.iter().enumerate().map(instance).collect();
    fleet
        .instances
        .tell(Control::SetInstances { instances })
        .await;
    for number in 0..fleet.daemons.len() {
        wait_until("all daemons known", LIMIT, async || {
            let known = located(fleet, number).await;
            known.is_some_and(|answer| answer.addresses.len() == fleet.daemons.len())
        })
        .await;
    }
}

async fn located(fleet: &Fleet, number: usize) -> Option<LocateResponse> {
    let reply = locate().send(fleet.daemons[number].callers).await.ok()?;
    (reply.status == StatusCode::OK).then(|| reply.json())
}

/// A key that is bound to a daemon.
pub async fn home_key(fleet: &Fleet, number: usize, own: &str) -> String {
    let answer = located(fleet, number).await.unwrap();
    format!("{}.{own}", answer.key_prefix.unwrap())
}

/// Books, which may run at most once; `None` if the connection broke.
pub async fn book(fleet: &Fleet, number: usize, key: &str) -> Option<Reply> {
    let call = service(Method::POST, SERVICE, "book").header("idempotency-key", key);
    call.send(fleet.daemons[number].callers).await.ok()
}

/// The number of executions of a key by all replicas.
pub async fn executions(fleet: &Fleet, key: &str) -> u32 {
    let mut count = 0;
    for replica in &fleet.services {
        let stats = replica.service_stats().await;
        let of_key = stats.executions.iter().filter(|e| e.key == key);
        count += of_key.map(|e| e.count).sum::<u32>();
    }
    count
}

/// Checks that a reply is the whole answer to a key.
pub fn assert_answers(reply: &Reply, key: &str) {
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, StatusCode::OK, "{text}");
    let answer: ServiceAnswer = reply.json();
    assert_eq!(answer.key, key);
}

/// Checks that a reply is a refusal that leaves open whether the request ran.
pub fn assert_unknown(reply: &Reply) {
    let problem: Problem = reply.problem();
    assert_eq!(problem.run, ExecutionState::Unknown, "{problem:?}");
    assert!(problem.retry_after_ms.is_some(), "{problem:?}");
}

/// Waits until the invoice has this many requests, and returns its total.
pub async fn billed(fleet: &Fleet, requests: u64) -> CustomerTotal {
    let table = TableClient::new(fleet.table.address);
    let mut total = CustomerTotal::default();
    wait_until("all bills in the table", LIMIT, async || {
        let Ok(invoice) = invoice(&table).await else {
            return false;
        };
        total = CustomerTotal::default();
        for customer in invoice.customers.values() {
            total.requests += customer.requests;
            total.units += customer.units;
            total.cost += customer.cost;
        }
        total.requests >= requests
    })
    .await;
    total
}
