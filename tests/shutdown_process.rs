//! Graceful shutdown of real processes: no request is interrupted, no bill is lost, and callers are
//! no longer sent to the daemon.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use hibiscusyoke::daemon::locate::LocateResponse;
use http::StatusCode;
use serde_json::{Value, json};
use stand_in::{engine::EngineConfig, service::ServiceConfig};

mod support;

use support::{
    caller::{StreamOutcome, chat, locate},
    fleet::{Fleet, FleetPlan, fast_engine},
    wait_until,
};

/// How long callers may keep using an address, in the settings of these daemons.
const KEEP_SECONDS: u64 = 2;
/// Number of concurrent streams.
const CALLERS: usize = 8;

/// Returns an engine whose streams take about two seconds, longer than a daemon takes to leave.
fn slow_engine() -> EngineConfig {
    EngineConfig {
        token: Duration::from_millis(50),
        slots: 16,
        ..fast_engine()
    }
}

async fn fleet() -> Fleet {
    Fleet::spawn(FleetPlan {
        daemons: 3,
        engines: vec![slow_engine(); 3],
        services: vec![ServiceConfig::default()],
        settings: json!({"keep_seconds": KEEP_SECONDS}),
    })
    .await
}

/// Counts of the callers' streams.
#[derive(Debug, Default)]
struct StreamCounts {
    completed: AtomicU32,
    failed: AtomicU32,
    stop: AtomicBool,
}

/// Runs one stream after another, each on a daemon that was located just before.
async fn stream_repeatedly(locate_from: Vec<std::net::SocketAddr>, counts: Arc<StreamCounts>) {
    let mut attempt = 0;
    while !counts.stop.load(Ordering::SeqCst) {
        attempt += 1;
        let Some(daemon) = locate_daemon(&locate_from, attempt).await else {
            continue;
        };
        let streamed = chat("which lane", true).stream(daemon).await;
        match streamed.map(|s| s.outcome) {
            Ok(StreamOutcome::Completed) => counts.completed.fetch_add(1, Ordering::SeqCst),
            other => {
                eprintln!("{daemon}: {other:?}");
                counts.failed.fetch_add(1, Ordering::SeqCst)
            }
        };
    }
}

/// Asks the first reachable daemon which daemon to use.
async fn locate_daemon(
    locate_from: &[std::net::SocketAddr],
    attempt: usize,
) -> Option<std::net::SocketAddr> {
    for i in 0..locate_from.len() {
        let reply = locate()
            .send(locate_from[(attempt + i) % locate_from.len()])
            .await;
        if let Ok(reply) = reply
            && reply.status == StatusCode::OK
        {
            return reply.json::<LocateResponse>().addresses.first().copied();
        }
    }
    tokio::task::yield_now().await;
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_of_each_daemon_under_load_breaks_no_stream() {
    let mut fleet = fleet().await;
    let locate_from: Vec<_> = fleet.daemons.iter().map(|d| d.callers).collect();
    let counts = Arc::new(StreamCounts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(stream_repeatedly(locate_from.clone(), counts.clone())))
        .collect();
    for i in 0..fleet.daemons.len() {
        let served = counts.completed.load(Ordering::SeqCst);
        wait_until(
            "more streams to complete",
            support::WAIT_TIMEOUT,
            async || {
                counts.completed.load(Ordering::SeqCst) >= served + u32::try_from(CALLERS).unwrap()
            },
        )
        .await;
        fleet.daemons[i].stop(support::WAIT_TIMEOUT).await;
        fleet.daemons[i].restart();
        fleet.wait_in_force().await;
    }
    counts.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(counts.failed.load(Ordering::SeqCst), 0, "{counts:?}");
    let completed = counts.completed.load(Ordering::SeqCst);
    wait_until(
        "all bills to be in the table",
        support::WAIT_TIMEOUT,
        async || {
            let out = fleet.run_command(&["invoice", "--json"]);
            let invoice: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
            invoice["customers"]["clerks"]["requests"] == json!(completed)
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_removes_daemon_from_locate_and_serves_late_requests() {
    let fleet = fleet().await;
    let leaving = fleet.daemons[0].callers;
    let locate_from = fleet.daemons[1].callers;
    fleet.daemons[0]
        .process
        .signal(support::process::Signal::Terminate);
    wait_until(
        "the other daemons to stop locating it",
        support::WAIT_TIMEOUT,
        async || {
            let reply = locate().send(locate_from).await.unwrap();
            !reply.json::<LocateResponse>().addresses.contains(&leaving)
        },
    )
    .await;
    let late_request = chat("which lane", true).stream(leaving).await.unwrap();
    assert!(
        matches!(late_request.outcome, StreamOutcome::Completed),
        "{:?}",
        late_request.outcome
    );
}
