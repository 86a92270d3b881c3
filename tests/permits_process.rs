//! Cold starts by real processes: daemons are stopped and woken in turn while the engine crashes.

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

const COLD: u32 = 2;
const WARM: u32 = 6;
const CALLERS: usize = 12;
/// Longer than the term of a lease.
const FREEZE: Duration = Duration::from_secs(11);
const CALL_LIMIT: Duration = Duration::from_secs(4);
const LIMIT: Duration = Duration::from_secs(60);

fn cold_engine() -> EngineConfig {
    EngineConfig {
        cold: ColdConfig {
            at_start: true,
            concurrency_limit: COLD,
            warmup_requests: 12,
        },
        slots: WARM,
        token: Duration::from_millis(10),
        ..fast_engine()
    }
}

async fn call_on(daemon: SocketAddr, answered: Arc<AtomicU32>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let reply = timeout(CALL_LIMIT, chat("which lane", false).send(daemon)).await;
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
        callers.push(tokio::spawn(call_on(
            daemon,
            answered.clone(),
            stop.clone(),
        )));
    }
    let more = async |what: &str, count: u32| {
        let wanted = answered.load(Ordering::SeqCst) + count;
        wait_until(what, LIMIT, async || {
            answered.load(Ordering::SeqCst) >= wanted
        })
        .await;
    };
    let crash = async || {
        let restart = Duration::from_millis(100);
        engine.tell(Control::Crash { restart }).await;
    };
    wait_until("use of a warm engine", LIMIT, async || {
        engine.engine_stats().await.running_peak > COLD
    })
    .await;
    for daemon in &fleet.daemons {
        daemon.process.signal(Signal::Stop);
        crash().await;
        sleep(FREEZE).await;
        more("answers while a daemon is frozen", 20).await;
        daemon.process.signal(Signal::Continue);
        crash().await;
        more("answers after it has woken", 20).await;
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
    assert!(stats.cold_peak <= COLD);
}
