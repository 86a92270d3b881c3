//! A small deployment on loopback addresses: a store, replicas and gateways.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{http, replica::unix_ms, store::Store};

/// Zones of the deployment; each has one gateway and one replica of a service.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// API key of all requesters.
pub const KEY: &str = "key-1";
/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Time in which the gateways must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Ports of a gateway, the same on all gateways.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    metrics: u16,
    internal: u16,
}

/// Number of ports for traffic between gateways.
const INTERNAL_PORTS: u16 = 16;

const PORTS: Ports = Ports {
    front: 18_227,
    ready: 18_220,
    directory: 18_224,
    metrics: 19_464,
    internal: 17_340,
};

/// The record of a run, which also goes to standard output.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_ms: u128,
}

impl Record {
    /// Creates the record file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_ms: unix_ms(),
        })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(unix_ms(), text);
    }

    /// The same for a time of day in milliseconds.
    pub fn line_at(&self, at_ms: u128, text: &str) {
        let ms = at_ms.saturating_sub(self.started_ms);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(e) = writeln!(file, "{:>7}.{:03} {text}", ms / 1_000, ms % 1_000) {
            eprintln!("record: {e}");
        }
    }
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that still run, in case their owner can't.
pub fn end_all() {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    for id in running.iter() {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
}

/// A process that is ended when this is dropped.
pub struct Process(Child);

impl Process {
    fn new(child: Child) -> Self {
        RUNNING
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id());
        Self(child)
    }

    /// Sends a signal such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.0.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(())
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let id = self.0.id();
        RUNNING
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|running| *running != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A replica and where it listens.
pub struct Replica {
    pub id: String,
    pub process: Process,
    service: &'static str,
    zone: &'static str,
    listen: SocketAddr,
    slots: u32,
    started_ms: u128,
    /// Number of writes of its entry.
    sequence: u64,
}

/// What differs between the deployments of the cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether the streams of replicas have neither a length nor chunks.
    pub is_unframed: bool,
    /// Whether the gateways' logs go through a pipe to a process that reads them.
    pub has_log_readers: bool,
}

/// The running deployment.
pub struct Deployment {
    pub store: Store,
    pub gateways: Vec<Process>,
    /// The processes that read the gateways' logs.
    pub log_readers: Vec<Process>,
    pub replicas: Vec<Replica>,
    pub record: Record,
    pub folder: PathBuf,
    octets: (u8, u8),
    options: Options,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.log_readers.clear();
        self.replicas.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts everything and waits until all gateways are ready.
    pub fn start(record: &Record, options: Options) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            store: Store::spawn()?,
            gateways: Vec::new(),
            log_readers: Vec::new(),
            replicas: Vec::new(),
            record: record.clone(),
            folder,
            octets: free_octets()?,
            options,
        };
        deployment.store.put("op", "config", &manifest(1));
        for (service, slots) in [("pool", 128), ("desk", 6)] {
            for zone in ZONES {
                deployment.start_replica(service, zone, slots)?;
            }
        }
        for (zone, n) in ZONES.iter().zip(1..) {
            let gateway = deployment.start_gateway(zone, n)?;
            deployment.gateways.push(gateway);
        }
        deployment.await_ready()?;
        Ok(deployment)
    }

    /// Returns the address for requesters of a gateway.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.gateway_address(index, PORTS.front)
    }

    /// Returns the file with what the replicas have done.
    pub fn runs(&self) -> PathBuf {
        self.folder.join("runs")
    }

    /// Starts a replica and registers it.
    pub fn start_replica(
        &mut self,
        service: &'static str,
        zone: &'static str,
        slots: u32,
    ) -> io::Result<()> {
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let id = format!("i-{service}-{:05}", listen.port());
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["replica", &id, &listen.to_string()]);
        command.arg(self.runs()).arg(self.trouble_of(service, zone));
        command.arg(if self.options.is_unframed {
            "unframed"
        } else {
            "framed"
        });
        let process = Process::new(command.stdin(Stdio::null()).spawn()?);
        let mut replica = Replica {
            id,
            process,
            service,
            zone,
            listen,
            slots,
            started_ms: unix_ms(),
            sequence: 0,
        };
        await_listening(listen)?;
        self.register(&mut replica);
        self.replicas.push(replica);
        Ok(())
    }

    /// Returns the file that puts one replica into trouble while it exists.
    pub fn trouble_of(&self, service: &str, zone: &str) -> PathBuf {
        self.folder.join(format!("trouble-{service}-{zone}"))
    }

    fn register(&self, replica: &mut Replica) {
        replica.sequence += 1;
        let Replica {
            id,
            service,
            zone,
            listen,
            slots,
            started_ms,
            sequence,
            ..
        } = replica;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{listen}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"stage\":\"colocated\",\"models\":[],\"sequence\":{sequence},\"born\":{started_ms}}}"
        );
        self.record.line(&format!("store servers/{id} {entry}"));
        self.store.put("servers", id, &entry);
    }

    fn start_gateway(&mut self, zone: &str, n: u8) -> io::Result<Process> {
        let name = format!("front-{zone}-{n}");
        let ip = self.gateway_ip(usize::from(n) - 1);
        let Ports {
            front,
            ready,
            directory,
            metrics,
            internal,
        } = PORTS;
        let settings = format!(
            "{{\"name\":\"{name}\",\"domain\":\"{zone}\",\"ip\":\"{ip}\",\"front\":\"{ip}:{front}\",\
             \"ready\":\"{ip}:{ready}\",\"directory\":\"{ip}:{directory}\",\
             \"metrics\":\"{ip}:{metrics}\",\"table\":\"{}\",\"bootstrap\":true,\
             \"link_mbps\":1000.0,\"memory_mb\":260,\"peer_ports\":[{internal},{}],\
             \"directory_ttl_max_s\":5,\"grace_period_s\":8,\"session_s\":5,\"exposure\":0.15,\
             \"repeat_ratio\":0.9,\"repeat_slack\":56,\"repeat_window_s\":10}}",
            self.store.address(),
            internal + INTERNAL_PORTS - 1,
        );
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let stdout = match self.options.has_log_readers {
            true => self.start_log_reader(log.try_clone()?)?,
            false => log.try_clone()?.into(),
        };
        let process = Command::new("target/release/hibiscusyoke")
            .arg("gateway")
            .env_clear()
            .env("HIBISCUSYOKE_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log)
            .spawn()?;
        Ok(Process::new(process))
    }

    /// Starts a process that copies what it reads to a file; returns the writing end of its pipe.
    fn start_log_reader(&mut self, log: File) -> io::Result<Stdio> {
        let mut reader = Command::new(std::env::current_exe()?)
            .arg("read-log")
            .stdin(Stdio::piped())
            .stdout(log)
            .spawn()?;
        let pipe = reader.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        self.log_readers.push(Process::new(reader));
        Ok(pipe.into())
    }

    fn await_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.gateways.len() {
            while self.readiness(index) != 200 {
                if Instant::now() >= deadline {
                    return Err(io::Error::other(format!("gateway {index} is not ready")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The gateways hear of one another within some heartbeats.
        thread::sleep(Duration::from_secs(2));
        self.record.line("all gateways are ready");
        Ok(())
    }

    /// Asks a gateway whether it is ready; returns the status, or 0 if there is no answer within a second.
    pub fn readiness(&self, index: usize) -> u16 {
        let address = self.gateway_address(index, PORTS.ready);
        let limit = Instant::now() + Duration::from_secs(1);
        http::call(address, "GET", "/ready", &[("Host", "x")], b"", limit).status
    }

    fn gateway_ip(&self, index: usize) -> Ipv4Addr {
        gateway_ip(self.octets, index)
    }

    fn gateway_address(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(index).into(), port)
    }
}

fn gateway_ip(octets: (u8, u8), index: usize) -> Ipv4Addr {
    let last = u8::try_from(index).unwrap_or(u8::MAX - 1) + 1;
    Ipv4Addr::new(127, octets.0, octets.1, last)
}

/// Returns the middle octets of loopback addresses whose ports are free.
fn free_octets() -> io::Result<(u8, u8)> {
    let seed = u128::from(std::process::id()) + unix_ms();
    for n in 0..100 {
        let drawn = (seed + n) % 40_000;
        let octets = ((drawn / 200) as u8 + 20, (drawn % 200) as u8 + 20);
        if (0..ZONES.len()).all(|index| is_free(gateway_ip(octets, index))) {
            return Ok(octets);
        }
    }
    Err(io::Error::other("no free loopback address"))
}

fn is_free(ip: Ipv4Addr) -> bool {
    let Ports {
        front,
        ready,
        directory,
        metrics,
        internal,
    } = PORTS;
    let mut ports = [front, ready, directory, metrics, internal, internal + 1].into_iter();
    ports.all(|port| TcpListener::bind((ip, port)).is_ok())
}

fn await_listening(address: SocketAddr) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            Ok(_) => return Ok(()),
            Err(e) if Instant::now() >= deadline => return Err(e),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Returns a manifest with the routes of the small deployments: their kinds, times and attempts.
pub fn manifest(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, ms: (u32, u32), n: u32| {
        let (timeout, target) = ms;
        let resume = kind == "streaming";
        let streams = match resume {
            true => ",\"sizes\":[\"m0\",\"m1\",\"m2\"],\"sticky\":true,\"gap_aim_ms\":1000",
            false => "",
        };
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"timeout_ms\":{timeout},\
             \"target_latency_ms\":{target},\"priority\":2,\"max_attempts\":{n},\
             \"allow_anonymous\":false,\"stream_resume\":{resume}{streams}}}"
        )
    };
    let routes = [
        route(
            "gate-query",
            "/ask/",
            "streaming",
            "pool",
            (25_000, 1_500),
            3,
        ),
        route(
            "intake-book",
            "/book/",
            "non_idempotent",
            "desk",
            (2_000, 300),
            1,
        ),
        route(
            "intake-lookup",
            "/look/",
            "idempotent",
            "desk",
            (2_000, 300),
            2,
        ),
    ];
    let models = ["m0", "m1", "m2"].map(|m| format!("{{\"name\":\"{m}\",\"cost\":0.1}}"));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"health_check_path\":\"/healthz\",\"max_connections\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":128,\
         \"kv_capacity_tokens\":474624,\"models\":[{}]}}}},{{\"name\":\"desk\",\
         \"health_check_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"{KEY}\"],\"priority\":2}}]}}",
        routes.join(","),
        models.join(","),
    )
}
