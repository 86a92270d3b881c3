//! Configuration over real processes: operators race, answers are lost, the table goes down.
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

/// The time within which an accepted change is in force on every daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// The time after which a daemon that hears nobody takes no new work, and a moment to see it.
const OUT_OF_TOUCH_LIMIT: Duration = Duration::from_millis(3_500);
const START_LIMIT: Duration = Duration::from_secs(20);
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_millis(500),
    chunk: Duration::from_millis(500),
};

/// Three daemons, each with a way of its own to the table.
struct Site {
    daemons: Vec<Daemon>,
    ways: Vec<StandIn>,
    table: StandIn,
    _others: Vec<StandIn>,
    dir: TempDir,
}

impl Site {
    async fn spawn() -> Self {
        let dir = TempDir::new().unwrap();
        let table = StandIn::table();
        let ways: Vec<StandIn> = DOMAINS
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
                        table: ways[i].address,
                        objects: store.address,
                        instances: instances.address,
                        rating: rating.address,
                        weights: weights.address,
                    },
                    bootstrap_operator: key_hash(OPERATOR_KEY).into(),
                    more: json!({}),
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
            .tell(Control::SetInstances {
                instances: instances_listed,
            })
            .await;
        fs::write(dir.path().join("operator.key"), OPERATOR_KEY).unwrap();
        let site = Self {
            daemons,
            ways,
            table,
            _others: vec![instances, store, rating, weights],
            dir,
        };
        site.begin().await;
        site
    }

    /// Publishes the first generation once the daemons have met.
    async fn begin(&self) {
        for i in 0..self.daemons.len() {
            wait_until("the daemons to meet", START_LIMIT, async || {
                let status = self.status(i).await;
                status.is_some_and(|s| s.members.len() == self.daemons.len())
            })
            .await;
        }
        self.publish(&[0], &objects(&[]), 0);
        self.wait_in_force(1, IN_FORCE_LIMIT).await;
        for i in 0..self.daemons.len() {
            self.wait_ready(i, START_LIMIT).await;
        }
    }

    /// Runs a verb and expects its exit status.
    fn operate(&self, daemons: &[usize], args: &[&str], status: i32) -> Output {
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
        self.operate(daemons, &["publish", file.to_str().unwrap()], status)
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
            let left = deadline.saturating_duration_since(Instant::now());
            let what = format!("generation {generation} in force on entry-{}", i + 1);
            wait_until(&what, left, async || self.generation(i).await >= generation).await;
        }
    }

    async fn wait_ready(&self, daemon: usize, limit: Duration) {
        wait_until("the daemon to be ready", limit, async || {
            self.ready(daemon).await
        })
        .await;
    }

    /// Every generation that a process put in force is higher than those before it.
    fn assert_never_reverted(&self) {
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
            assert!(last > 0, "{} put nothing in force", daemon.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race() {
    let site = Site::spawn().await;
    let verbs = ["padana-a", "padana-b", "padana-c"];
    let racing: Vec<_> = verbs
        .iter()
        .enumerate()
        .map(|(i, domain)| {
            site.command(&[i], &["domain", "out", domain])
                .spawn()
                .unwrap()
        })
        .collect();
    for mut child in racing {
        assert!(child.wait().unwrap().success());
    }
    site.wait_in_force(4, IN_FORCE_LIMIT).await;
    let generations = site.generations().await;
    let changed: Vec<usize> = generations.iter().map(|g| g.objects.len()).collect();
    assert_eq!(changed[..3], [1, 1, 1], "{generations:?}");
    site.assert_never_reverted();
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_answer_lost() {
    let site = Site::spawn().await;
    let next = NextRequests {
        count: 1,
        path: "/table/commit".into(),
    };
    site.table.tell(Control::LoseAnswers { next }).await;
    site.operate(&[0], &["domain", "out", "padana-a"], 0);
    site.wait_in_force(2, IN_FORCE_LIMIT).await;
    assert_eq!(site.generations().await.len(), 2);
    // The same again changes nothing.
    site.operate(&[1], &["domain", "out", "padana-a"], 0);
    assert_eq!(site.generations().await.len(), 2);
    site.assert_never_reverted();
}

#[tokio::test(flavor = "multi_thread")]
async fn table_down_and_daemon_replaced() {
    let mut site = Site::spawn().await;
    let down = || Control::Down { how: Down::Refuse };
    site.ways[2].tell(down()).await;
    site.operate(&[0], &["domain", "out", "padana-a"], 0);
    site.wait_in_force(2, IN_FORCE_LIMIT).await;
    // The next daemon is asked when one has lost the table.
    site.operate(&[2, 1], &["domain", "out", "padana-b"], 0);
    site.wait_in_force(3, IN_FORCE_LIMIT).await;

    site.table.tell(down()).await;
    let out = site.operate(&[0, 1], &["domain", "in", "padana-a"], 1);
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(said.contains("the table is not available"), "{out:?}");
    let began = Instant::now();
    while began.elapsed() < IN_FORCE_LIMIT {
        for i in 0..site.daemons.len() {
            assert!(
                site.ready(i).await,
                "entry-{} after {:?}",
                i + 1,
                began.elapsed()
            );
        }
    }
    site.daemons[1].replace();
    site.wait_in_force(3, IN_FORCE_LIMIT).await;
    site.wait_ready(1, IN_FORCE_LIMIT).await;

    site.table.tell(Control::Up).await;
    wait_until("a verb to be accepted", IN_FORCE_LIMIT, async || {
        let verb = site.command(&[1], &["domain", "in", "padana-a"]).output();
        verb.unwrap().status.success()
    })
    .await;
    site.wait_in_force(4, IN_FORCE_LIMIT).await;
    site.assert_never_reverted();
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_out_of_touch() {
    let site = Site::spawn().await;
    // Nobody answers the third daemon: its way to the table is down and its peers are paused.
    site.ways[2].tell(Control::Down { how: Down::Refuse }).await;
    for daemon in &site.daemons[..2] {
        daemon.process.signal(Signal::Stop);
    }
    wait_until("no new work", OUT_OF_TOUCH_LIMIT, async || {
        !site.ready(2).await
    })
    .await;
    for daemon in &site.daemons[..2] {
        daemon.process.signal(Signal::Continue);
    }
    site.wait_ready(2, IN_FORCE_LIMIT).await;

    // A daemon that was paused over a change never serves by the old generation once it wakes.
    site.daemons[2].process.signal(Signal::Stop);
    site.operate(&[0], &["domain", "out", "padana-a"], 0);
    let paused = Instant::now();
    wait_until("the pause to last", 2 * IN_FORCE_LIMIT, async || {
        paused.elapsed() > IN_FORCE_LIMIT
    })
    .await;
    site.daemons[2].process.signal(Signal::Continue);
    wait_until("ready again", IN_FORCE_LIMIT, async || {
        let Some(status) = site.status(2).await else {
            return false;
        };
        let ready = status.readiness == Readiness::Ready;
        assert!(!ready || status.generation >= 2, "{status:?}");
        ready
    })
    .await;
    site.assert_never_reverted();
}
