//! Stand-ins for the platform services and the upstreams, as processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use serde::Serialize;
use stand_in::{
    client,
    control::Control,
    engine::EngineConfig,
    instances::InstancesConfig,
    rating::RatingConfig,
    service::ServiceConfig,
    stats::{EngineStats, RoleStats, ServiceStats, Stats, TableStats},
    weights::WeightsConfig,
};

use super::process::Process;

/// A stand-in process.
pub struct StandIn {
    /// Address of the service that it stands in for.
    pub address: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    pub process: Process,
}

impl StandIn {
    /// Starts the table service.
    pub fn table() -> Self {
        Self::spawn(&["table"])
    }

    /// Starts the object store.
    pub fn objects() -> Self {
        Self::spawn(&["objects"])
    }

    /// Starts the instance list.
    pub fn instances(cfg: &InstancesConfig) -> Self {
        Self::spawn_with_config("instances", cfg)
    }

    /// Starts the rating service.
    pub fn rating(cfg: &RatingConfig) -> Self {
        Self::spawn_with_config("rating", cfg)
    }

    /// Starts the weight store.
    pub fn weights(cfg: &WeightsConfig) -> Self {
        Self::spawn_with_config("weights", cfg)
    }

    /// Starts a model engine.
    pub fn engine(cfg: &EngineConfig) -> Self {
        Self::spawn_with_config("engine", cfg)
    }

    /// Starts a service replica.
    pub fn service(cfg: &ServiceConfig) -> Self {
        Self::spawn_with_config("service", cfg)
    }

    /// Starts a relay that forwards connections to `target`.
    pub fn relay(target: SocketAddr) -> Self {
        Self::spawn(&["relay", "--target", &target.to_string()])
    }

    /// Sends a control message.
    pub async fn send_control(&self, control: Control) {
        client::control(self.control, &control).await.unwrap();
    }

    /// Returns the statistics.
    pub async fn stats(&self) -> Stats {
        client::stats(self.control).await.unwrap()
    }

    /// Returns the statistics of an engine.
    pub async fn engine_stats(&self) -> EngineStats {
        match self.stats().await.role {
            RoleStats::Engine(stats) => stats,
            other => panic!("not an engine: {other:?}"),
        }
    }

    /// Returns the statistics of a service replica.
    pub async fn service_stats(&self) -> ServiceStats {
        match self.stats().await.role {
            RoleStats::Service(stats) => stats,
            other => panic!("not a service: {other:?}"),
        }
    }

    /// Returns the statistics of a table.
    pub async fn table_stats(&self) -> TableStats {
        match self.stats().await.role {
            RoleStats::Table(stats) => stats,
            other => panic!("not a table: {other:?}"),
        }
    }

    fn spawn_with_config(role: &str, cfg: &impl Serialize) -> Self {
        let cfg = serde_json::to_string(cfg).unwrap();
        Self::spawn(&[role, "--config", &cfg])
    }

    fn spawn(args: &[&str]) -> Self {
        let mut command = Command::new(binary_path());
        command.args(args).stdout(Stdio::piped());
        let mut process = Process::spawn(&mut command);
        let child_stdout = process.child().stdout.take().unwrap();
        let mut line = String::new();
        BufReader::new(child_stdout).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["listening", address, "control", control] = words[..] else {
            panic!("unexpected output of stand-in {args:?}: {line:?}");
        };
        Self {
            address: address.parse().unwrap(),
            control: control.parse().unwrap(),
            process,
        }
    }
}

/// Returns the path of the `stand-in` binary, which a workspace build puts next to the daemon's.
fn binary_path() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_hibiscusyoke")).with_file_name("stand-in");
    assert!(
        path.exists(),
        "{path:?} is missing; run `cargo build --workspace` first"
    );
    path
}
