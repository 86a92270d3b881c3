//! Gateway processes and the signals sent to them.

use std::{
    fs::{self, File, OpenOptions},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use stand_in::gateway::deployment::{self, Port, address, loopback, signal};
use tempfile::TempDir;
use tokio::process::{Child, Command};

use crate::{Options, caller, invariants::Violation, proxy::Proxy, records::Span};

/// Time within which a gateway must exit after it was signalled to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Time within which the gateways of a new deployment must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Gateways of a deployment.
#[derive(Debug)]
pub struct Fleet {
    gateways: Vec<Gateway>,
    program: PathBuf,
    earlier_program: Option<PathBuf>,
    violations: Vec<Violation>,
    _folder: TempDir,
}

/// One gateway across all restarts of its process.
#[derive(Debug)]
struct Gateway {
    caller_address: SocketAddr,
    directory: SocketAddr,
    /// Proxy for its connections to the table.
    table: Proxy,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// Whether it has been started before.
    has_run: bool,
    /// Time at which the gateway was signalled to stop.
    stopping: Option<Instant>,
    /// Time spans in which the gateway was killed, paused or stopping.
    disruptions: Vec<Span>,
}

impl Fleet {
    /// Starts the gateways and waits until each of them lists all others.
    ///
    /// # Errors
    ///
    /// If a process can't be started or the gateways aren't ready in time.
    pub async fn start_all(number: u8, options: &Options, table: SocketAddr) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut gateways = Vec::new();
        for index in 1..=options.gateways {
            let index = u8::try_from(index).map_err(io::Error::other)?;
            gateways.push(Gateway::new(number, index, folder.path(), table).await?);
        }
        let mut fleet = Self {
            gateways,
            program: options.program.clone(),
            earlier_program: options.earlier_program.clone(),
            violations: Vec::new(),
            _folder: folder,
        };
        for index in 0..options.gateways {
            fleet.start(index)?;
        }
        let ready = tokio::time::timeout(START_TIMEOUT, fleet.wait_for_membership());
        ready.await.map_err(io::Error::other)?;
        Ok(fleet)
    }

    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Returns whether there are no gateways.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Returns the address on which a gateway accepts requests of callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].caller_address
    }

    /// Returns the address of a gateway's directory, which lists the gateways that callers can use.
    pub fn directory(&self, index: usize) -> SocketAddr {
        self.gateways[index].directory
    }

    /// Returns the proxy for a gateway's connections to the table.
    pub fn table_proxy(&self, index: usize) -> &Proxy {
        &self.gateways[index].table
    }

    /// Returns the time spans in which a gateway was killed, paused or stopping.
    pub fn disruptions(&self, index: usize) -> &[Span] {
        &self.gateways[index].disruptions
    }

    /// Returns the log files of the gateways.
    pub fn logs(&self) -> impl Iterator<Item = &Path> {
        self.gateways.iter().map(|gateway| gateway.log.as_path())
    }

    /// Returns the invariants violated by the processes themselves.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.clone()
    }

    /// Starts a gateway if it is not running.
    ///
    /// # Errors
    ///
    /// If its process can't be started.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        self.check_exit(index)?;
        let gateway = &mut self.gateways[index];
        if gateway.process.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&gateway.log)?;
        if gateway.has_run {
            deployment::prepare_restart(&gateway.settings)?;
        }
        let earlier = self.earlier_program.as_ref();
        let program = earlier
            .filter(|_| !gateway.has_run)
            .unwrap_or(&self.program);
        let process = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&gateway.settings)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        gateway.process = Some(process);
        gateway.has_run = true;
        gateway.stopping = None;
        Ok(())
    }

    /// Kills a gateway.
    ///
    /// # Errors
    ///
    /// If the kill fails.
    pub async fn kill(&mut self, index: usize) -> io::Result<()> {
        self.check_exit(index)?;
        let gateway = &mut self.gateways[index];
        gateway.stopping = None;
        if let Some(mut process) = gateway.process.take() {
            process.kill().await?;
        }
        Ok(())
    }

    /// Sends a signal to a gateway if it is running.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn signal(&mut self, index: usize, name: &str) -> io::Result<()> {
        self.check_exit(index)?;
        let process = self.gateways[index].process.as_ref();
        match process.and_then(Child::id) {
            Some(id) => signal(id, name),
            None => Ok(()),
        }
    }

    /// Signals a gateway to stop.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn request_stop(&mut self, index: usize) -> io::Result<()> {
        self.signal(index, "TERM")?;
        let gateway = &mut self.gateways[index];
        if gateway.process.is_some() {
            gateway.stopping.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    /// Resumes a paused gateway.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn resume(&mut self, index: usize) -> io::Result<()> {
        self.signal(index, "CONT")?;
        if let Some(ordered) = &mut self.gateways[index].stopping {
            // A paused process cannot stop, so its stop time starts now.
            *ordered = Instant::now();
        }
        Ok(())
    }

    /// Restarts a gateway unless it is still stopping; returns whether it is running. A gateway
    /// that exceeds its stop time is killed and recorded as a violation.
    ///
    /// # Errors
    ///
    /// If its process can't be started.
    pub async fn restart(&mut self, index: usize) -> io::Result<bool> {
        self.check_exit(index)?;
        let gateway = &mut self.gateways[index];
        if let (Some(ordered), Some(process)) = (gateway.stopping, &mut gateway.process) {
            if ordered.elapsed() < STOP_TIMEOUT {
                return Ok(false);
            }
            process.kill().await?;
            gateway.process = None;
            self.violations.push(Violation::SlowStop(index));
        }
        self.start(index)?;
        Ok(true)
    }

    /// Records that a gateway was killed, paused or stopping from `from` until now.
    pub fn record_disruption(&mut self, index: usize, from: Instant) {
        let to = Instant::now();
        self.gateways[index].disruptions.push(Span { from, to });
    }

    /// Signals all gateways to stop and waits until they have exited.
    ///
    /// # Errors
    ///
    /// If a signal can't be sent.
    pub async fn stop(&mut self) -> io::Result<()> {
        for index in 0..self.len() {
            self.request_stop(index)?;
        }
        for index in 0..self.len() {
            let Some(mut process) = self.gateways[index].process.take() else {
                continue;
            };
            let Ok(status) = tokio::time::timeout(STOP_TIMEOUT, process.wait()).await else {
                self.violations.push(Violation::SlowStop(index));
                process.kill().await?;
                continue;
            };
            if !status?.success() {
                self.violations.push(Violation::BadExit(index));
            }
        }
        Ok(())
    }

    /// Waits until each gateway lists all gateways.
    async fn wait_for_membership(&self) {
        for gateway in &self.gateways {
            while caller::list_gateways(gateway.directory).await.len() < self.len() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Records a violation if the process exited unexpectedly.
    fn check_exit(&mut self, index: usize) -> io::Result<()> {
        let gateway = &mut self.gateways[index];
        let Some(process) = &mut gateway.process else {
            return Ok(());
        };
        let Some(status) = process.try_wait()? else {
            return Ok(());
        };
        gateway.process = None;
        if gateway.stopping.take().is_none() || !status.success() {
            self.violations.push(Violation::BadExit(index));
        }
        Ok(())
    }
}

impl Gateway {
    async fn new(
        deployment_number: u8,
        index: u8,
        folder: &Path,
        table: SocketAddr,
    ) -> io::Result<Self> {
        let ip = loopback(deployment_number, index);
        let table = Proxy::bind(table).await?;
        let name = format!("front-{index}");
        let settings = folder.join(format!("{name}.jsonc"));
        let text = deployment::settings(&name, ip, table.address()).to_string();
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        File::create(&log)?;
        Ok(Self {
            caller_address: address(ip, Port::Front),
            directory: address(ip, Port::Directory),
            table,
            settings,
            log,
            process: None,
            has_run: false,
            stopping: None,
            disruptions: Vec::new(),
        })
    }
}
