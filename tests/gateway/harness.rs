//! A table, upstreams and gateways started for one test.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;
use tempfile::TempDir;

use stand_in::gateway::{
    caller::{self, DIRECTORY_PATH, Headers, PROMPT},
    deployment::{
        PEER_PORT, Port, address, configuration, loopback, prepare_restart, settings, signal,
    },
    table::FakeTable,
    upstream::{Behaviour, FakeUpstream},
};

/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

static NEXT_HARNESS: AtomicU8 = AtomicU8::new(1);

/// The processes and stand-ins of one test.
pub(crate) struct Harness {
    pub(crate) table: FakeTable,
    pub(crate) upstreams: Vec<FakeUpstream>,
    pub(crate) gateways: Vec<Gateway>,
    folder: TempDir,
    number: u8,
}

/// A running gateway process.
pub(crate) struct Gateway {
    ip: IpAddr,
    process: Child,
    log: PathBuf,
}

/// The settings of a gateway that waits for their text.
pub(crate) struct PendingSettings {
    pipe: File,
    text: String,
    /// A file with the text, which takes the place of the pipe.
    complete: PathBuf,
    file: PathBuf,
}

impl PendingSettings {
    /// Lets the gateway read the settings.
    pub(crate) fn complete(mut self) {
        fs::rename(&self.complete, &self.file).expect("renamed");
        self.pipe.write_all(self.text.as_bytes()).expect("written");
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) headers: Headers,
    pub(crate) body: Bytes,
}

/// Creates a streaming request to the model pool.
pub(crate) fn stream(id: &str, path: &'static str) -> Call {
    Call {
        method: Method::POST,
        path,
        headers: caller::stream_headers(id, "k1", 8_000),
        body: Bytes::from_static(PROMPT),
    }
}

/// Creates a request to the service without models.
pub(crate) fn plain(id: &str, method: Method, path: &'static str) -> Call {
    Call {
        method,
        path,
        headers: caller::headers(id, "k1", 4_000),
        body: Bytes::new(),
    }
}

impl Harness {
    /// Starts a table, two engines, two plain upstreams and the given number of gateways, and waits
    /// until every gateway lists all of them in its directory.
    pub(crate) async fn spawn(gateways: usize) -> Self {
        Self::spawn_with(gateways, |_, _| {}).await
    }

    /// The same, after the settings of each gateway have been changed.
    pub(crate) async fn spawn_with(gateways: usize, change: impl Fn(usize, &mut Value)) -> Self {
        Self::spawn_at(FakeTable::spawn().await, gateways, change).await
    }

    /// The same with a table that is already running.
    pub(crate) async fn spawn_at(
        table: FakeTable,
        gateways: usize,
        change: impl Fn(usize, &mut Value),
    ) -> Self {
        let mut upstreams = Vec::new();
        for (id, service) in [
            ("e1", "pool"),
            ("e2", "pool"),
            ("p1", "desk"),
            ("p2", "desk"),
        ] {
            let upstream = FakeUpstream::spawn(id).await;
            table.put("servers", id, &upstream.row(service, "v1"));
            upstreams.push(upstream);
        }
        table.put("op", "config", &configuration(1, &["k1"]));
        let mut harness = Self {
            table,
            upstreams,
            gateways: Vec::new(),
            folder: tempfile::tempdir().expect("a folder"),
            number: NEXT_HARNESS.fetch_add(1, Ordering::Relaxed),
        };
        for n in 0..gateways {
            harness.start_gateway_with(|settings| change(n, settings));
        }
        for gateway in &harness.gateways {
            wait_until(|| async { gateway.directory().await.len() == gateways }).await;
        }
        harness
    }

    /// Starts another gateway.
    pub(crate) fn start_gateway(&mut self) {
        self.start_gateway_with(|_| {});
    }

    /// The same, after its settings have been changed.
    pub(crate) fn start_gateway_with(&mut self, change: impl FnOnce(&mut Value)) {
        let number = u8::try_from(self.gateways.len() + 1).expect("few gateways");
        let ip = loopback(self.number, number);
        let mut settings = settings(&format!("front-{number}"), ip, self.table.address());
        change(&mut settings);
        let path = self.folder.path().join(format!("gateway-{number}.jsonc"));
        fs::write(&path, format!("// settings of a test\n{settings}")).expect("written");
        let log = self.folder.path().join(format!("gateway-{number}.log"));
        let process = spawn_process(&path, &log);
        self.gateways.push(Gateway { ip, process, log });
    }

    /// Starts another gateway and returns while it waits for the text of its settings.
    pub(crate) fn start_gateway_without_settings(&mut self) -> PendingSettings {
        let number = u8::try_from(self.gateways.len() + 1).expect("few gateways");
        let ip = loopback(self.number, number);
        let text = settings(&format!("front-{number}"), ip, self.table.address()).to_string();
        let file = self.folder.path().join(format!("gateway-{number}.jsonc"));
        let complete = file.with_extension("complete");
        fs::write(&complete, &text).expect("written");
        let made = Command::new("mkfifo").arg(&file).status();
        assert!(made.expect("started").success());
        let log = self.folder.path().join(format!("gateway-{number}.log"));
        let process = spawn_process(&file, &log);
        self.gateways.push(Gateway { ip, process, log });
        // Returns once the gateway has opened the pipe.
        let pipe = File::options().write(true).open(&file).expect("a reader");
        PendingSettings {
            pipe,
            text,
            complete,
            file,
        }
    }

    /// Starts a gateway that has exited again, at the same address and with a new log.
    pub(crate) fn restart_gateway(&mut self, index: usize) {
        let settings = self
            .folder
            .path()
            .join(format!("gateway-{}.jsonc", index + 1));
        prepare_restart(&settings).expect("changed settings");
        let gateway = &mut self.gateways[index];
        gateway.process = spawn_process(&settings, &gateway.log);
    }

    /// Kills a gateway and starts it again at once.
    pub(crate) fn kill_and_restart(&mut self, index: usize) {
        self.gateways[index].process.kill().expect("killed");
        self.gateways[index].process.wait().expect("a child");
        self.restart_gateway(index);
    }

    /// Changes a value in the settings file of the first gateway.
    pub(crate) fn change_settings(&self, key: &str, value: Value) {
        let path = self.folder.path().join("gateway-1.jsonc");
        let text = fs::read_to_string(&path).expect("settings");
        let json = text.lines().last().expect("a line of JSON");
        let mut settings: Value = serde_json::from_str(json).expect("JSON");
        settings[key] = value;
        fs::write(&path, settings.to_string()).expect("written");
    }

    /// Sends a request to the first gateway.
    pub(crate) async fn call(&self, call: &Call) -> Reply {
        self.gateways[0].call(call).await
    }

    /// Sets the behaviour of all plain upstreams.
    pub(crate) fn set_plain_upstreams(&self, behaviour: Behaviour) {
        for plain_upstream in self.plain_upstreams() {
            plain_upstream.set_behaviour(behaviour);
        }
    }

    /// Removes the plain upstreams from the table and waits until the first gateway has dropped them.
    pub(crate) async fn remove_plain_upstreams(&self) {
        for plain_upstream in self.plain_upstreams() {
            self.table.remove("servers", &plain_upstream.id);
        }
        let last = "event=upstream_left upstream=p2";
        wait_until(|| async { self.gateways[0].log().contains(last) }).await;
    }

    /// Cuts a gateway off from all upstreams.
    pub(crate) fn cut_off(&self, gateway: usize) {
        for upstream in &self.upstreams {
            upstream.cut_off(self.gateways[gateway].ip);
        }
    }

    /// Lets no data through between a gateway and the upstreams, which accept its connections.
    pub(crate) fn silence(&self, gateway: usize) {
        for upstream in &self.upstreams {
            upstream.silence(self.gateways[gateway].ip);
        }
    }

    /// Lets a gateway reach the upstreams again.
    pub(crate) fn reconnect(&self, gateway: usize) {
        for upstream in &self.upstreams {
            upstream.reconnect(self.gateways[gateway].ip);
        }
    }

    /// The engines.
    pub(crate) fn engines(&self) -> [&FakeUpstream; 2] {
        [&self.upstreams[0], &self.upstreams[1]]
    }

    /// The plain upstreams.
    pub(crate) fn plain_upstreams(&self) -> [&FakeUpstream; 2] {
        [&self.upstreams[2], &self.upstreams[3]]
    }
}

fn spawn_process(settings: &Path, log: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"))
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdout(File::create(log).expect("a log file"))
        .spawn()
        .expect("started")
}

impl Gateway {
    /// Sends a request and reads the complete response.
    pub(crate) async fn call(&self, call: &Call) -> Reply {
        let response = self.open(call).await;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .expect("a complete response")
            .to_bytes();
        Reply {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).expect("text"),
        }
    }

    /// Sends a request and reads the response head.
    pub(crate) async fn open(&self, call: &Call) -> http::Response<Incoming> {
        open(self.caller_address(), call).await.expect("a response")
    }

    /// Whether the gateway's readiness check succeeds.
    pub(crate) async fn is_ready(&self) -> bool {
        let request = caller::get("/ready");
        let response = exchange(address(self.ip, Port::Ready), request).await;
        response.is_some_and(|response| response.status() == StatusCode::OK)
    }

    /// Returns the addresses in the gateway's directory.
    pub(crate) async fn directory(&self) -> Vec<SocketAddr> {
        let request = caller::get(DIRECTORY_PATH);
        let Some(response) = exchange(address(self.ip, Port::Directory), request).await else {
            return Vec::new();
        };
        let body = response
            .into_body()
            .collect()
            .await
            .expect("a complete body")
            .to_bytes();
        let Ok(reply) = serde_json::from_slice::<Value>(&body) else {
            return Vec::new();
        };
        serde_json::from_value(reply["addresses"].clone()).expect("addresses")
    }

    /// Returns the text of the metrics endpoint.
    pub(crate) async fn metrics(&self) -> String {
        let response = exchange(address(self.ip, Port::Metrics), caller::get("/metrics")).await;
        let body = response
            .expect("a response")
            .into_body()
            .collect()
            .await
            .expect("a complete body");
        String::from_utf8(body.to_bytes().to_vec()).expect("text")
    }

    /// Returns the log so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    /// Returns the largest resident memory of the process so far in kB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("a peak").trim().trim_end_matches(" kB");
        peak.parse().expect("a number")
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the address for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        address(self.ip, Port::Front)
    }

    /// Returns the address of the metrics.
    pub(crate) fn metrics_address(&self) -> SocketAddr {
        address(self.ip, Port::Metrics)
    }

    /// Returns the address for queries of peers.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, name: &str) {
        signal(self.process.id(), name).expect("sent");
    }

    /// Waits until the process exits; returns whether it succeeded.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let exited = tokio::time::timeout(WAIT_TIMEOUT, async {
            loop {
                if let Some(status) = self.process.try_wait().expect("a child") {
                    return status.success();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        exited.await.expect("the process exits in time")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until a condition is true.
pub(crate) async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let satisfied = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    satisfied.await.expect("the condition is met in time");
}

/// Sends a request to a gateway and reads the response head; `None` if the connection breaks.
pub(crate) async fn open(gateway: SocketAddr, call: &Call) -> Option<http::Response<Incoming>> {
    let body = call.body.clone();
    let request = caller::request(call.method.clone(), call.path, &call.headers, body);
    exchange(gateway, request).await
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<http::Response<Incoming>> {
    let mut sender = caller::connect(address).await?;
    sender.send_request(request).await.ok()
}
