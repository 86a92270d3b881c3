//! A fleet of three connected daemon processes, and non-idempotent requests to its service.

#![allow(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses some of the helpers, and a failed call fails the test"
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

/// Maximum time for the daemons to connect to each other, and for bills to be written.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts three daemons and two service replicas that work on each request for `work`.
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
    connect_daemons(&fleet).await;
    fleet
}

/// Adds the daemons to the instance list and waits until each of them locates all others.
async fn connect_daemons(fleet: &Fleet) {
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
        .send_control(Control::SetInstances { instances })
        .await;
    for daemon_index in 0..fleet.daemons.len() {
        wait_until(
            "the daemon to locate all daemons",
            WAIT_TIMEOUT,
            async || {
                let location = try_locate(fleet, daemon_index).await;
                location.is_some_and(|answer| answer.addresses.len() == fleet.daemons.len())
            },
        )
        .await;
    }
}

async fn try_locate(fleet: &Fleet, daemon_index: usize) -> Option<LocateResponse> {
    let reply = locate()
        .send(fleet.daemons[daemon_index].callers)
        .await
        .ok()?;
    (reply.status == StatusCode::OK).then(|| reply.json())
}

/// Returns an idempotency key whose home is the given daemon.
pub async fn home_key(fleet: &Fleet, daemon_index: usize, suffix: &str) -> String {
    let answer = try_locate(fleet, daemon_index).await.unwrap();
    format!("{}.{suffix}", answer.key_prefix.unwrap())
}

/// Sends `POST book`, which may be executed at most once; returns `None` if the connection broke.
pub async fn book(fleet: &Fleet, daemon_index: usize, key: &str) -> Option<Reply> {
    let call = service(Method::POST, SERVICE, "book").header("idempotency-key", key);
    call.send(fleet.daemons[daemon_index].callers).await.ok()
}

/// Sets whether the service replicas hold the responses of requests that they have counted.
pub async fn hold_responses(fleet: &Fleet, hold: bool) {
    for replica in &fleet.services {
        replica.send_control(Control::HoldResponses { hold }).await;
    }
}

/// Returns the number of executions of a key on all replicas.
pub async fn executions(fleet: &Fleet, key: &str) -> u32 {
    let mut count = 0;
    for replica in &fleet.services {
        let stats = replica.service_stats().await;
        let matching = stats.executions.iter().filter(|e| e.key == key);
        count += matching.map(|e| e.count).sum::<u32>();
    }
    count
}

/// Asserts that a reply is the full response to the request with a key.
pub fn assert_answered(reply: &Reply, key: &str) {
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, StatusCode::OK, "{text}");
    let answer: ServiceAnswer = reply.json();
    assert_eq!(answer.key, key);
}

/// Asserts that a reply is a refusal that says it is unknown whether the request was executed.
pub fn assert_run_unknown(reply: &Reply) {
    let problem: Problem = reply.problem();
    assert_eq!(problem.run, ExecutionState::Unknown, "{problem:?}");
    assert!(problem.retry_after_ms.is_some(), "{problem:?}");
}

/// Waits until the invoice counts at least `requests` requests and returns its total.
pub async fn wait_for_invoice(fleet: &Fleet, requests: u64) -> CustomerTotal {
    let table = TableClient::new(fleet.table.address);
    let mut total = CustomerTotal::default();
    wait_until("all bills in the table", WAIT_TIMEOUT, async || {
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
