//! Requests that crash the upstreams that run them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use stand_in::gateway::{
    table::FakeTable,
    upstream::{EVENTS_PER_STREAM, FakeUpstream},
};
use tokio::{task::JoinSet, time::sleep};

use crate::harness::{Call, Gateway, Harness, open, stream};

/// Segment of prompts that crashes the upstreams.
const CRASHING: &str = "bad5";
/// Number of crashes after which the fleet must act.
const CRASHES: usize = 5;
/// Time in which it must act.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Time until the reaction time must have passed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two pairs of requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Number of pairs of requests after the reaction time.
const LATE_PAIRS: usize = 40;
/// Number of requests with the segment that may still reach upstreams then.
const MAX_LATE_RUNS: usize = 3;

/// Time in which nothing else may be refused any more, and how many of 100 sound requests must be served.
const SETTLING_TIME: Duration = Duration::from_secs(6);
const MIN_SERVED_PER_100: usize = 95;

/// What became of the requests after the time in which the fleet must act.
struct Outcome {
    /// Number of requests with the crashing segment that reached upstreams.
    late_runs: usize,
    /// Number of sound requests that were served.
    served: usize,
}

/// No two requests are alike: only one segment of their prompts is the same, and sound requests share
/// their other segments.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_prompt_segment_that_crashes_upstreams_are_refused() {
    let Outcome { late_runs, served } = play_storm(REACTION_TIME).await;
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs");
    assert!(served * 2 > LATE_PAIRS, "{served} of {LATE_PAIRS} served");
}

/// The segment that all requests begin with took part in nearly all crashes, and was refused as well.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_that_begin_like_crashing_ones_are_served() {
    let Outcome { late_runs, served } = play_storm(SETTLING_TIME).await;
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs");
    assert!(
        served * 100 >= LATE_PAIRS * MIN_SERVED_PER_100,
        "{served} of {LATE_PAIRS} served"
    );
}

/// Sends sound and crashing requests to two gateways that have just started, until some time after the
/// decisive crash, and then a number of each.
async fn play_storm(reaction_time: Duration) -> Outcome {
    let mut harness = Harness::spawn(2).await;
    for id in ["e3", "e4", "e5"] {
        let engine = FakeUpstream::spawn(id).await;
        harness.table.put("servers", id, &engine.row("pool", "v1"));
        harness.upstreams.push(engine);
    }
    let engines: Vec<FakeUpstream> = harness
        .upstreams
        .iter()
        .filter(|upstream| upstream.id.starts_with('e'))
        .cloned()
        .collect();
    for engine in &engines {
        engine.crash_on(CRASHING);
    }
    let rows = tokio::spawn(rewrite_rows(harness.table.clone(), engines.clone()));
    let gateways: Vec<SocketAddr> = harness
        .gateways
        .iter()
        .map(Gateway::caller_address)
        .collect();
    let mut load = Load::new(gateways);
    let started = Instant::now();
    while decisive_crash(&engines).is_none_or(|crash| crash.elapsed() < reaction_time) {
        assert!(started.elapsed() < TEST_TIMEOUT, "crashes go on");
        load.send_pair().await;
    }
    load.sound.abort_all();
    load.sound = JoinSet::new();
    let reaction_ended = Instant::now();
    for _ in 0..LATE_PAIRS {
        load.send_pair().await;
    }
    let served = load.sound.join_all().await;
    load.crashing.join_all().await;
    rows.abort();
    let late_runs = engines
        .iter()
        .flat_map(FakeUpstream::runs)
        .filter(|run| run.executed_at > reaction_ended)
        .filter(|run| {
            let prompt = run.headers["prompt-prefix"].to_str().expect("text");
            prompt.contains(CRASHING)
        })
        .count();
    Outcome {
        late_runs,
        served: served.into_iter().filter(|served| *served).count(),
    }
}

/// Requests that are sent in pairs, one of which crashes upstreams.
struct Load {
    gateways: Vec<SocketAddr>,
    sent: usize,
    sound: JoinSet<bool>,
    crashing: JoinSet<bool>,
}

impl Load {
    fn new(gateways: Vec<SocketAddr>) -> Self {
        Self {
            gateways,
            sent: 0,
            sound: JoinSet::new(),
            crashing: JoinSet::new(),
        }
    }

    /// Sends a sound request and one that crashes upstreams to the same gateway.
    async fn send_pair(&mut self) {
        let n = self.sent;
        self.sent += 1;
        let gateway = self.gateways[n % self.gateways.len()];
        let sound = with_prompt(&format!("s{n}"), &format!("a:500,c:200,{n:x}:20"));
        let crashing = with_prompt(&format!("x{n}"), &format!("a:500,{CRASHING}:100,{n:x}:20"));
        self.sound.spawn(is_served(gateway, sound));
        self.crashing.spawn(is_served(gateway, crashing));
        sleep(REQUEST_INTERVAL).await;
    }
}

fn with_prompt(id: &str, prompt: &str) -> Call {
    let mut call = stream(id, "/ask/easy");
    call.headers.retain(|(name, _)| *name != "prompt-prefix");
    call.headers.push(("prompt-prefix", prompt.into()));
    call.body = id.to_owned().into();
    call
}

/// Whether the caller receives a complete stream.
async fn is_served(gateway: SocketAddr, call: Call) -> bool {
    let Some(response) = open(gateway, &call).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let Ok(body) = response.into_body().collect().await else {
        return false;
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    text.contains(&format!("id: {EVENTS_PER_STREAM}\n"))
}

/// Returns the time of the crash after which the fleet must act, or of the last one if there are fewer.
fn decisive_crash(engines: &[FakeUpstream]) -> Option<Instant> {
    let mut crashes: Vec<Instant> = engines.iter().flat_map(FakeUpstream::crashes).collect();
    crashes.sort_unstable();
    crashes.truncate(CRASHES);
    crashes.last().copied()
}

/// Writes the rows of upstreams that have restarted, as these do.
async fn rewrite_rows(table: FakeTable, engines: Vec<FakeUpstream>) {
    let mut restarts = vec![0; engines.len()];
    loop {
        for (engine, known) in engines.iter().zip(&mut restarts) {
            if engine.restarts() != *known {
                *known = engine.restarts();
                table.put("servers", &engine.id, &engine.row("pool", "v1"));
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
}
