//! The gateways' processes, and the signals sent to them.

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

/// The time within which a gateway that was ordered to stop has ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// The time within which the gateways of a new site are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause between two looks at whether they are.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The gateways of a site.
#[derive(Debug)]
pub struct Fleet {
    gateways: Vec<Gateway>,
    program: PathBuf,
    violations: Vec<Violation>,
    _folder: TempDir,
}

/// One gateway, over all its lifetimes.
#[derive(Debug)]
struct Gateway {
    caller_address: SocketAddr,
    directory: SocketAddr,
    /// Its connections to the table.
    table: Proxy,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// When it was ordered to stop.
    stopping: Option<Instant>,
    /// The times in which it was dead, halted or about to end.
    disruptions: Vec<Span>,
}

impl Fleet {
    /// Starts gateways and waits until they know one another.
    ///
    /// # Errors
    ///
    /// If a process can't be started, or the gateways aren't ready in time.
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

    /// The gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether there is no gateway.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Where a gateway takes callers' requests.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].caller_address
    }

    /// Where a gateway tells which gateways callers may use.
    pub fn directory(&self, index: usize) -> SocketAddr {
        self.gateways[index].directory
    }

    /// A gateway's connections to the table.
    pub fn table_proxy(&self, index: usize) -> &Proxy {
        &self.gateways[index].table
    }

    /// The times in which a gateway was dead, halted or about to end.
    pub fn disruptions(&self, index: usize) -> &[Span] {
        &self.gateways[index].disruptions
    }

    /// The files in which the gateways' logs are.
    pub fn logs(&self) -> impl Iterator<Item = &Path> {
        self.gateways.iter().map(|gateway| gateway.log.as_path())
    }

    /// Promises that the processes themselves have broken.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.clone()
    }

    /// Starts a gateway that isn't running.
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
        let process = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&gateway.settings)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        gateway.process = Some(process);
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

    /// Sends a signal to a gateway, if it is running.
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

    /// Orders a gateway to stop.
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

    /// Lets a halted gateway go on.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn resume(&mut self, index: usize) -> io::Result<()> {
        self.signal(index, "CONT")?;
        if let Some(ordered) = &mut self.gateways[index].stopping {
            // While it was halted it could not stop.
            *ordered = Instant::now();
        }
        Ok(())
    }

    /// Starts a gateway again, unless it is still stopping; tells whether it runs.
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

    /// Notes that a gateway was disturbed from `from` until now.
    pub fn record_disruption(&mut self, index: usize, from: Instant) {
        let to = Instant::now();
        self.gateways[index].disruptions.push(Span { from, to });
    }

    /// Orders all gateways to stop and waits for their end.
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

    /// Waits until each gateway names all of them.
    async fn wait_for_membership(&self) {
        for gateway in &self.gateways {
            while caller::list_gateways(gateway.directory).await.len() < self.len() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Notes a process that ended by itself.
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
            stopping: None,
            disruptions: Vec::new(),
        })
    }
}
