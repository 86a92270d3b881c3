//! Concurrency limits of a cold engine with real processes: each daemon in turn is frozen and
//! resumed while the engine crashes and starts cold again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use stand_in::{
    control::Control,
    engine::{ColdConfig, EngineConfig},
};
use tokio::time::{sleep, timeout};

mod support;

use support::{
    caller::chat,
    fleet::{Fleet, FleetPlan, fast_engine},
    process::Signal,
    wait_until,
};

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 6;
const CALLERS: usize = 12;
/// Longer than the duration of a lease.
const FREEZE_TIME: Duration = Duration::from_secs(11);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn cold_engine() -> EngineConfig {
    EngineConfig {
        cold: ColdConfig {
            at_start: true,
            concurrency_limit: COLD_LIMIT,
            warmup_requests: 12,
        },
        slots: WARM_LIMIT,
        token: Duration::from_millis(10),
        ..fast_engine()
    }
}

async fn send_requests(daemon: SocketAddr, answered: Arc<AtomicU32>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let reply = timeout(REQUEST_TIMEOUT, chat("which lane", false).send(daemon)).await;
        match reply {
            Ok(Ok(reply)) if reply.status == StatusCode::OK => {
                answered.fetch_add(1, Ordering::SeqCst);
            }
            _ => sleep(Duration::from_millis(50)).await,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn permits_hold_while_daemons_freeze_and_wake() {
    let fleet = Fleet::spawn(FleetPlan {
        daemons: 3,
        engines: vec![cold_engine()],
        services: vec![],
        ..FleetPlan::default()
    })
    .await;
    let engine = &fleet.engines[0];
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let daemon = fleet.daemons[i % fleet.daemons.len()].callers;
        callers.push(tokio::spawn(send_requests(
            daemon,
            answered.clone(),
            stop.clone(),
        )));
    }
    let wait_for_more = async |description: &str, count: u32| {
        let target = answered.load(Ordering::SeqCst) + count;
        wait_until(description, WAIT_TIMEOUT, async || {
            answered.load(Ordering::SeqCst) >= target
        })
        .await;
    };
    let crash = async || {
        let restart = Duration::from_millis(100);
        engine.send_control(Control::Crash { restart }).await;
    };
    wait_until(
        "requests beyond the cold limit on the warm engine",
        WAIT_TIMEOUT,
        async || engine.engine_stats().await.running_peak > COLD_LIMIT,
    )
    .await;
    for daemon in &fleet.daemons {
        daemon.process.signal(Signal::Stop);
        crash().await;
        sleep(FREEZE_TIME).await;
        wait_for_more("responses while a daemon is frozen", 20).await;
        daemon.process.signal(Signal::Continue);
        crash().await;
        wait_for_more("responses after the daemon has resumed", 20).await;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    let stats = engine.engine_stats().await;
    println!(
        "cold peak {}, cold crashes {}, running peak {}, answered {}",
        stats.cold_peak,
        stats.cold_crashes,
        stats.running_peak,
        answered.load(Ordering::SeqCst)
    );
    assert_eq!(stats.cold_crashes, 0);
    assert!(stats.cold_peak <= COLD_LIMIT);
}
