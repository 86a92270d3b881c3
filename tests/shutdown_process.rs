//! Planned stops by real processes: no request is cut, no bill is lost, no caller is sent there.

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
    caller::{End, chat, locate},
    fleet::{Fleet, FleetPlan, fast_engine},
    wait_until,
};

/// How long callers go on using an address, in the settings of these daemons.
const KEEP_SECONDS: u64 = 2;
/// The streams that run at any time.
const CALLERS: usize = 8;

/// An engine whose streams take about two seconds, longer than a daemon's leave.
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

/// What the callers of a fleet got.
#[derive(Debug, Default)]
struct Tally {
    whole: AtomicU32,
    failed: AtomicU32,
    stop: AtomicBool,
}

/// Streams one answer after another, each from a daemon that was just named.
async fn call_on(asked: Vec<std::net::SocketAddr>, tally: Arc<Tally>) {
    let mut turn = 0;
    while !tally.stop.load(Ordering::SeqCst) {
        turn += 1;
        let Some(daemon) = ask(&asked, turn).await else {
            continue;
        };
        let streamed = chat("which lane", true).stream(daemon).await;
        match streamed.map(|s| s.end) {
            Ok(End::Whole) => tally.whole.fetch_add(1, Ordering::SeqCst),
            other => {
                eprintln!("{daemon}: {other:?}");
                tally.failed.fetch_add(1, Ordering::SeqCst)
            }
        };
    }
}

/// Asks any daemon that listens which one to use.
async fn ask(asked: &[std::net::SocketAddr], turn: usize) -> Option<std::net::SocketAddr> {
    for i in 0..asked.len() {
        let reply = locate().send(asked[(turn + i) % asked.len()]).await;
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
async fn shutdown_replaces_every_daemon_under_load() {
    let mut fleet = fleet().await;
    let asked: Vec<_> = fleet.daemons.iter().map(|d| d.callers).collect();
    let tally = Arc::new(Tally::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_on(asked.clone(), tally.clone())))
        .collect();
    for i in 0..fleet.daemons.len() {
        let served = tally.whole.load(Ordering::SeqCst);
        wait_until("more streams", support::LIMIT, async || {
            tally.whole.load(Ordering::SeqCst) >= served + u32::try_from(CALLERS).unwrap()
        })
        .await;
        fleet.daemons[i].stop(support::LIMIT).await;
        fleet.daemons[i].replace();
        fleet.wait_in_force().await;
    }
    tally.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(tally.failed.load(Ordering::SeqCst), 0, "{tally:?}");
    let whole = tally.whole.load(Ordering::SeqCst);
    wait_until("every bill in the table", support::LIMIT, async || {
        let out = fleet.operate(&["invoice", "--json"]);
        let invoice: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        invoice["customers"]["clerks"]["requests"] == json!(whole)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_is_hidden_from_callers_at_once_and_serves_strays() {
    let fleet = fleet().await;
    let leaving = fleet.daemons[0].callers;
    let asked = fleet.daemons[1].callers;
    fleet.daemons[0]
        .process
        .signal(support::process::Signal::Terminate);
    wait_until("the others no longer name it", support::LIMIT, async || {
        let reply = locate().send(asked).await.unwrap();
        !reply.json::<LocateResponse>().addresses.contains(&leaving)
    })
    .await;
    let stray = chat("which lane", true).stream(leaving).await.unwrap();
    assert!(matches!(stray.end, End::Whole), "{:?}", stray.end);
}
