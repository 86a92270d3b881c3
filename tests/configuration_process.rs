//! Configuration changes in a fleet of real processes: concurrent operators, lost responses, table
//! outages and isolated daemons.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::{
    fs,
    process::{Command, Output},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusyoke::{
    protocol::operators::{
        FleetStatus, GENERATIONS_PATH, GenerationSummary, Readiness, STATUS_PATH,
    },
    state::objects::Objects,
    transport::http_client::{HttpClient, Reuse, Timeouts},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::instances::{Instance, InstanceState, Role};
use serde::de::DeserializeOwned;
use serde_json::json;
use stand_in::{
    control::{Control, Down, NextRequests},
    instances::InstancesConfig,
    rating::RatingConfig,
    weights::WeightsConfig,
};
use support::{
    daemon::{Daemon, DaemonPlan, PlatformAddresses},
    objects::{DOMAINS, OPERATOR_KEY, key_hash, objects},
    process::Signal,
    stand_in::StandIn,
    wait_until,
};
use tempfile::TempDir;

/// Time within which an accepted change must be in force on every daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time within which a daemon without contact to the table and its peers must stop accepting
/// requests, plus a margin for the check.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(3_500);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_millis(500),
    chunk: Duration::from_millis(500),
};

/// Three daemons, each with its own relay to the table.
struct Harness {
    daemons: Vec<Daemon>,
    table_relays: Vec<StandIn>,
    table: StandIn,
    _other_stand_ins: Vec<StandIn>,
    dir: TempDir,
}

impl Harness {
    async fn spawn() -> Self {
        let dir = TempDir::new().unwrap();
        let table = StandIn::table();
        let table_relays: Vec<StandIn> = DOMAINS
            .iter()
            .map(|_| StandIn::relay(table.address))
            .collect();
        let instances = StandIn::instances(&InstancesConfig::default());
        let store = StandIn::objects();
        let rating = StandIn::rating(&RatingConfig::default());
        let weights = StandIn::weights(&WeightsConfig::default());
        let daemons: Vec<Daemon> = DOMAINS
            .iter()
            .enumerate()
            .map(|(i, domain)| {
                let plan = DaemonPlan {
                    name: format!("entry-{}", i + 1),
                    failure_domain: (*domain).into(),
                    platform: PlatformAddresses {
                        table: table_relays[i].address,
                        objects: store.address,
                        instances: instances.address,
                        rating: rating.address,
                        weights: weights.address,
                    },
                    bootstrap_operator: key_hash(OPERATOR_KEY).into(),
                    extra_settings: json!({}),
                };
                Daemon::spawn(&plan, dir.path())
            })
            .collect();
        let listed = daemons
            .iter()
            .zip(DOMAINS)
            .map(|(daemon, domain)| Instance {
                name: daemon.name.as_str().into(),
                role: Role::Entry,
                failure_domain: domain.into(),
                address: daemon.peers,
                state: InstanceState::Live,
            });
        let instances_listed = listed.collect();
        instances
            .send_control(Control::SetInstances {
                instances: instances_listed,
            })
            .await;
        fs::write(dir.path().join("operator.key"), OPERATOR_KEY).unwrap();
        let harness = Self {
            daemons,
            table_relays,
            table,
            _other_stand_ins: vec![instances, store, rating, weights],
            dir,
        };
        harness.publish_initial().await;
        harness
    }

    /// Publishes the first generation once all daemons know each other.
    async fn publish_initial(&self) {
        for i in 0..self.daemons.len() {
            wait_until(
                "the daemons to know each other",
                STARTUP_TIMEOUT,
                async || {
                    let status = self.status(i).await;
                    status.is_some_and(|s| s.members.len() == self.daemons.len())
                },
            )
            .await;
        }
        self.publish(&[0], &objects(&[]), 0);
        self.wait_in_force(1, IN_FORCE_LIMIT).await;
        for i in 0..self.daemons.len() {
            self.wait_ready(i, STARTUP_TIMEOUT).await;
        }
    }

    /// Runs a command and asserts its exit status.
    fn run_command(&self, daemons: &[usize], args: &[&str], status: i32) -> Output {
        let out = self.command(daemons, args).output().unwrap();
        assert_eq!(out.status.code(), Some(status), "{args:?}: {out:?}");
        out
    }

    fn command(&self, daemons: &[usize], args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"));
        command.args(args);
        command
            .arg("--key-file")
            .arg(self.dir.path().join("operator.key"));
        for daemon in daemons {
            command.args(["--daemon", &self.daemons[*daemon].operators.to_string()]);
        }
        command
    }

    fn publish(&self, daemons: &[usize], objects: &Objects, status: i32) -> Output {
        let file = self.dir.path().join("configuration.json");
        fs::write(&file, serde_json::to_vec(objects).unwrap()).unwrap();
        self.run_command(daemons, &["publish", file.to_str().unwrap()], status)
    }

    async fn get<T: DeserializeOwned>(&self, daemon: usize, path: &str) -> Option<T> {
        let (status, body) = self.call(daemon, path).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).unwrap())
    }

    async fn call(&self, daemon: usize, path: &str) -> Option<(StatusCode, Bytes)> {
        let req = Request::get(path)
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::default())
            .unwrap();
        let client = HttpClient::new(self.daemons[daemon].operators);
        let mut exchange = client.send(req, Reuse::Fresh, TIMEOUTS).await.ok()?;
        Some((exchange.status(), exchange.bytes(1 << 20).await.ok()?))
    }

    async fn status(&self, daemon: usize) -> Option<FleetStatus> {
        self.get(daemon, STATUS_PATH).await
    }

    async fn ready(&self, daemon: usize) -> bool {
        let answer = self.call(daemon, "/ready").await;
        answer.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    async fn generation(&self, daemon: usize) -> u64 {
        self.status(daemon).await.map_or(0, |s| s.generation)
    }

    async fn generations(&self) -> Vec<GenerationSummary> {
        self.get(0, GENERATIONS_PATH).await.unwrap()
    }

    async fn wait_in_force(&self, generation: u64, limit: Duration) {
        let deadline = Instant::now() + limit;
        for i in 0..self.daemons.len() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let what = format!("generation {generation} in force on entry-{}", i + 1);
            wait_until(&what, remaining, async || {
                self.generation(i).await >= generation
            })
            .await;
        }
    }

    async fn wait_ready(&self, daemon: usize, limit: Duration) {
        wait_until("the daemon to be ready", limit, async || {
            self.ready(daemon).await
        })
        .await;
    }

    /// Asserts that every generation that a process put in force is higher than the one before it.
    fn assert_generations_increase(&self) {
        for daemon in &self.daemons {
            let mut last = 0;
            for line in daemon.log().lines() {
                if line.contains("step=start") {
                    last = 0;
                }
                let Some((_, generation)) = line.split_once("step=enforce generation=") else {
                    continue;
                };
                let generation: u64 = generation.trim().parse().unwrap();
                assert!(generation > last, "{}: {line} after {last}", daemon.name);
                last = generation;
            }
            assert!(last > 0, "{} put no generation in force", daemon.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators() {
    let harness = Harness::spawn().await;
    let domains = ["padana-a", "padana-b", "padana-c"];
    let children: Vec<_> = domains
        .iter()
        .enumerate()
        .map(|(i, domain)| {
            harness
                .command(&[i], &["domain", "out", domain])
                .spawn()
                .unwrap()
        })
        .collect();
    for mut child in children {
        assert!(child.wait().unwrap().success());
    }
    harness.wait_in_force(4, IN_FORCE_LIMIT).await;
    let generations = harness.generations().await;
    let changed: Vec<usize> = generations.iter().map(|g| g.objects.len()).collect();
    assert_eq!(changed[..3], [1, 1, 1], "{generations:?}");
    harness.assert_generations_increase();
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_publish_response() {
    let harness = Harness::spawn().await;
    let next = NextRequests {
        count: 1,
        path: "/table/commit".into(),
    };
    harness
        .table
        .send_control(Control::LoseAnswers { next })
        .await;
    harness.run_command(&[0], &["domain", "out", "padana-a"], 0);
    harness.wait_in_force(2, IN_FORCE_LIMIT).await;
    assert_eq!(harness.generations().await.len(), 2);
    // Repeating the command changes nothing.
    harness.run_command(&[1], &["domain", "out", "padana-a"], 0);
    assert_eq!(harness.generations().await.len(), 2);
    harness.assert_generations_increase();
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage_and_daemon_restart() {
    let mut harness = Harness::spawn().await;
    let down = || Control::Down { how: Down::Refuse };
    harness.table_relays[2].send_control(down()).await;
    harness.run_command(&[0], &["domain", "out", "padana-a"], 0);
    harness.wait_in_force(2, IN_FORCE_LIMIT).await;
    // The command tries the next daemon when one has lost connectivity to the table.
    harness.run_command(&[2, 1], &["domain", "out", "padana-b"], 0);
    harness.wait_in_force(3, IN_FORCE_LIMIT).await;

    harness.table.send_control(down()).await;
    let out = harness.run_command(&[0, 1], &["domain", "in", "padana-a"], 1);
    let printed = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(printed.contains("the table is not available"), "{out:?}");
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_LIMIT {
        for i in 0..harness.daemons.len() {
            assert!(
                harness.ready(i).await,
                "entry-{} after {:?}",
                i + 1,
                started.elapsed()
            );
        }
    }
    harness.daemons[1].restart();
    harness.wait_in_force(3, IN_FORCE_LIMIT).await;
    harness.wait_ready(1, IN_FORCE_LIMIT).await;

    harness.table.send_control(Control::Up).await;
    wait_until("a command to be accepted", IN_FORCE_LIMIT, async || {
        let attempt = harness
            .command(&[1], &["domain", "in", "padana-a"])
            .output();
        attempt.unwrap().status.success()
    })
    .await;
    harness.wait_in_force(4, IN_FORCE_LIMIT).await;
    harness.assert_generations_increase();
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_daemon_stops_accepting_requests() {
    let harness = Harness::spawn().await;
    // The third daemon is isolated: its relay to the table is down and its peers are frozen.
    harness.table_relays[2]
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    for daemon in &harness.daemons[..2] {
        daemon.process.signal(Signal::Stop);
    }
    wait_until(
        "the daemon to stop accepting requests",
        ISOLATION_TIMEOUT,
        async || !harness.ready(2).await,
    )
    .await;
    for daemon in &harness.daemons[..2] {
        daemon.process.signal(Signal::Continue);
    }
    harness.wait_ready(2, IN_FORCE_LIMIT).await;

    // A daemon that was frozen during a change never serves the old generation after it resumes.
    harness.daemons[2].process.signal(Signal::Stop);
    harness.run_command(&[0], &["domain", "out", "padana-a"], 0);
    let paused = Instant::now();
    wait_until(
        "the daemon to stay frozen",
        2 * IN_FORCE_LIMIT,
        async || paused.elapsed() > IN_FORCE_LIMIT,
    )
    .await;
    harness.daemons[2].process.signal(Signal::Continue);
    wait_until("the daemon to be ready again", IN_FORCE_LIMIT, async || {
        let Some(status) = harness.status(2).await else {
            return false;
        };
        let ready = status.readiness == Readiness::Ready;
        assert!(!ready || status.generation >= 2, "{status:?}");
        ready
    })
    .await;
    harness.assert_generations_increase();
}
