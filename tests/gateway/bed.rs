//! A table, upstreams and gateways, started for one test.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tempfile::TempDir;

use stand_in::gateway::{
    caller::{self, DIRECTORY_PATH, Headers, PROMPT},
    deployment::{Port, address, configuration, loopback, settings, signal},
    table::FakeTable,
    upstream::{Behaviour, FakeUpstream},
};

/// The time within which anything awaited must happen.
const PATIENCE: Duration = Duration::from_secs(20);
/// The time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

static NEXT_BED: AtomicU8 = AtomicU8::new(1);

/// All that one test needs.
pub(crate) struct Bed {
    pub(crate) table: FakeTable,
    pub(crate) upstreams: Vec<FakeUpstream>,
    pub(crate) gateways: Vec<Gateway>,
    folder: TempDir,
    number: u8,
}

/// A gateway's process.
pub(crate) struct Gateway {
    ip: IpAddr,
    process: Child,
    log: PathBuf,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
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

/// A stream to the model pool.
pub(crate) fn stream(id: &str, path: &'static str) -> Call {
    Call {
        method: Method::POST,
        path,
        headers: caller::stream_headers(id, "k1", 8_000),
        body: Bytes::from_static(PROMPT),
    }
}

/// A call of the plain service.
pub(crate) fn plain(id: &str, method: Method, path: &'static str) -> Call {
    Call {
        method,
        path,
        headers: caller::headers(id, "k1", 4_000),
        body: Bytes::new(),
    }
}

impl Bed {
    /// Starts a table, two engines, two plain upstreams and some gateways, and waits until all
    /// gateways know one another.
    pub(crate) async fn spawn(gateways: usize) -> Self {
        let table = FakeTable::spawn().await;
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
        let mut bed = Self {
            table,
            upstreams,
            gateways: Vec::new(),
            folder: tempfile::tempdir().expect("a folder"),
            number: NEXT_BED.fetch_add(1, Ordering::Relaxed),
        };
        for _ in 0..gateways {
            bed.start_gateway();
        }
        for gateway in &bed.gateways {
            wait(|| async { gateway.directory().await.len() == gateways }).await;
        }
        bed
    }

    /// Starts one more gateway.
    pub(crate) fn start_gateway(&mut self) {
        let number = u8::try_from(self.gateways.len() + 1).expect("few gateways");
        let ip = loopback(self.number, number);
        let settings = settings(&format!("front-{number}"), ip, self.table.address());
        let path = self.folder.path().join(format!("gateway-{number}.jsonc"));
        fs::write(&path, format!("// settings of a test\n{settings}")).expect("written");
        let log = self.folder.path().join(format!("gateway-{number}.log"));
        let process = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(File::create(&log).expect("a log file"))
            .spawn()
            .expect("started");
        self.gateways.push(Gateway { ip, process, log });
    }

    /// Changes a value in the settings file of the first gateway.
    pub(crate) fn change_settings(&self, key: &str, value: serde_json::Value) {
        let path = self.folder.path().join("gateway-1.jsonc");
        let text = fs::read_to_string(&path).expect("settings");
        let json = text.lines().last().expect("a line of JSON");
        let mut settings: serde_json::Value = serde_json::from_str(json).expect("JSON");
        settings[key] = value;
        fs::write(&path, settings.to_string()).expect("written");
    }

    /// Sends a call to the first gateway.
    pub(crate) async fn call(&self, call: &Call) -> Answer {
        self.gateways[0].call(call).await
    }

    /// Lets all plain upstreams behave alike.
    pub(crate) fn set_desks(&self, behaviour: Behaviour) {
        for desk in self.desks() {
            desk.set_behaviour(behaviour);
        }
    }

    /// Removes the plain upstreams from the table, and waits until the first gateway knows.
    pub(crate) async fn remove_desks(&self) {
        for desk in self.desks() {
            self.table.remove("servers", &desk.id);
        }
        let last = "event=upstream_left upstream=p2";
        wait(|| async { self.gateways[0].log().contains(last) }).await;
    }

    /// The engines.
    pub(crate) fn engines(&self) -> [&FakeUpstream; 2] {
        [&self.upstreams[0], &self.upstreams[1]]
    }

    /// The plain upstreams.
    pub(crate) fn desks(&self) -> [&FakeUpstream; 2] {
        [&self.upstreams[2], &self.upstreams[3]]
    }
}

impl Gateway {
    /// Sends a call and reads the whole answer.
    pub(crate) async fn call(&self, call: &Call) -> Answer {
        let response = self.open(call).await;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("a whole answer").to_bytes();
        Answer {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).expect("text"),
        }
    }

    /// Sends a call and reads the head of the answer.
    pub(crate) async fn open(&self, call: &Call) -> http::Response<Incoming> {
        let body = call.body.clone();
        let request = caller::request(call.method.clone(), call.path, &call.headers, body);
        exchange(address(self.ip, Port::Front), request)
            .await
            .expect("an answer")
    }

    /// Whether the gateway says that callers may come.
    pub(crate) async fn is_ready(&self) -> bool {
        let request = caller::get("/ready");
        let response = exchange(address(self.ip, Port::Ready), request).await;
        response.is_some_and(|response| response.status() == StatusCode::OK)
    }

    /// The addresses that the directory names.
    pub(crate) async fn directory(&self) -> Vec<SocketAddr> {
        let request = caller::get(DIRECTORY_PATH);
        let Some(response) = exchange(address(self.ip, Port::Directory), request).await else {
            return Vec::new();
        };
        let body = response
            .into_body()
            .collect()
            .await
            .expect("whole")
            .to_bytes();
        let Ok(answer) = serde_json::from_slice::<serde_json::Value>(&body) else {
            return Vec::new();
        };
        serde_json::from_value(answer["addresses"].clone()).expect("addresses")
    }

    /// The metrics.
    pub(crate) async fn metrics(&self) -> String {
        let response = exchange(address(self.ip, Port::Metrics), caller::get("/metrics")).await;
        let body = response
            .expect("an answer")
            .into_body()
            .collect()
            .await
            .expect("whole");
        String::from_utf8(body.to_bytes().to_vec()).expect("text")
    }

    /// What it has logged so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    /// The address for callers.
    pub(crate) fn front(&self) -> SocketAddr {
        address(self.ip, Port::Front)
    }

    /// Orders it to stop.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to its process.
    pub(crate) fn signal(&self, name: &str) {
        signal(self.process.id(), name).expect("sent");
    }

    /// Waits for its end.
    pub(crate) async fn ended(&mut self) -> bool {
        let ended = tokio::time::timeout(PATIENCE, async {
            loop {
                if let Some(status) = self.process.try_wait().expect("a child") {
                    return status.success();
                }
                tokio::time::sleep(LOOK).await;
            }
        });
        ended.await.expect("the process ends")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let waiting = tokio::time::timeout(PATIENCE, async {
        while !condition().await {
            tokio::time::sleep(LOOK).await;
        }
    });
    waiting.await.expect("the condition comes to hold");
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<http::Response<Incoming>> {
    let mut sender = caller::connect(address).await?;
    sender.send_request(request).await.ok()
}
