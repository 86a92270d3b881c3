//! Daemon processes, each on its own loopback address.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use serde_json::{Value, json};

use super::{
    process::{Process, Signal},
    wait_until,
};

/// Fleet key shared by the daemons of a test.
const FLEET_KEY: &str = "7465737420666c656574206b65792031";
const CALLERS_PORT: u16 = 7001;
const PEERS_PORT: u16 = 7002;
const OPERATORS_PORT: u16 = 7003;
/// Number of log lines printed for each daemon when a test fails.
const SHOWN_LOG_LINES: usize = 60;

/// Settings of one daemon process.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    pub name: String,
    pub failure_domain: String,
    /// Addresses of the platform services, as written to the daemon's settings.
    pub platform: PlatformAddresses,
    /// Hash of the operator key that may publish the first generation.
    pub bootstrap_operator: String,
    /// Settings added to the generated ones.
    pub extra_settings: Value,
}

/// Addresses of the platform services.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The instance list.
    pub instances: SocketAddr,
    /// The rating service.
    pub rating: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// A daemon process.
pub struct Daemon {
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    pub process: Process,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon that keeps its settings file and log in `dir`.
    pub fn spawn(plan: &DaemonPlan, dir: &Path) -> Self {
        let ip = next_ip();
        let at = |port| SocketAddr::new(ip, port);
        let mut settings = json!({
            "name": plan.name,
            "failure_domain": plan.failure_domain,
            "callers": at(CALLERS_PORT),
            "peers": at(PEERS_PORT),
            "operators": at(OPERATORS_PORT),
            "platform": {
                "table": plan.platform.table,
                "objects": plan.platform.objects,
                "instances": plan.platform.instances,
                "rating": plan.platform.rating,
                "weights": plan.platform.weights,
            },
            "fleet_key": FLEET_KEY,
            "bootstrap_operator": plan.bootstrap_operator,
        });
        if let (Value::Object(all), Value::Object(extra_settings)) =
            (&mut settings, plan.extra_settings.clone())
        {
            all.extend(extra_settings);
        }
        let path = dir.join(format!("{}.jsonc", plan.name));
        let log = dir.join(format!("{}.log", plan.name));
        fs::write(&path, settings.to_string()).unwrap();
        Self {
            name: plan.name.clone(),
            callers: at(CALLERS_PORT),
            peers: at(PEERS_PORT),
            operators: at(OPERATORS_PORT),
            process: start_process(&path, &log),
            settings: path,
            log,
        }
    }

    /// Kills the process and starts a new one with the same settings.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start_process(&self.settings, &self.log);
    }

    /// Requests a graceful shutdown with SIGTERM and waits for the process to exit.
    pub async fn stop(&mut self, timeout: Duration) {
        self.process.signal(Signal::Terminate);
        let process = &mut self.process;
        wait_until("the daemon to stop", timeout, async || {
            process.exit_status().is_some()
        })
        .await;
    }

    /// Returns the log written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let from = lines.len().saturating_sub(SHOWN_LOG_LINES);
        eprintln!("--- last log lines of {}", self.name);
        for line in &lines[from..] {
            eprintln!("{line}");
        }
    }
}

fn start_process(settings: &Path, log: &Path) -> Process {
    let log = File::options().create(true).append(true).open(log).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"));
    command
        .arg("serve")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(log);
    Process::spawn(&mut command)
}

/// Returns a loopback address that no other daemon uses, in this test process or another one.
fn next_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = u16::try_from(std::process::id() & 0xffff)
        .unwrap()
        .to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host))
}
