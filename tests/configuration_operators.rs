//! The operators' listener and the command line: every refusal, and exit statuses.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    process::Command,
    sync::Arc,
    time::Duration,
};

use hibiscusyoke::{
    clock::SystemClock,
    daemon::{configuration::Configuration, core::Core},
    settings::Settings,
    state::document::Document,
    transport::{
        http_client::{HttpClient, Reuse, Timeouts},
        operators::OperatorServer,
    },
};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use stand_in::{server::RoleHandle, table::Table};
use support::{
    objects::{CUSTOMER_KEY, OPERATOR_KEY, key_hash, objects},
    wait_until,
};
use tempfile::TempDir;
use tokio::io::AsyncReadExt;

const BOOTSTRAP_KEY: &str = "first";
const LIMIT: Duration = Duration::from_secs(5);
const TIMEOUTS: Timeouts = Timeouts {
    connect: LIMIT,
    head: LIMIT,
    chunk: LIMIT,
};

/// One daemon's configuration and operators' listener, with a table.
struct Site {
    operators: OperatorServer,
    table: RoleHandle,
    core: Arc<Core>,
    dir: TempDir,
}

struct Answer {
    status: StatusCode,
    text: String,
}

impl Site {
    async fn spawn() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let table = Table::spawn(any).await.unwrap();
        let settings = json!({
            "name": "entry-1", "failure_domain": "padana-a",
            "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3",
            "platform": {
                "table": table.address, "objects": table.address, "instances": table.address,
            },
            "fleet_key": "00112233445566778899aabbccddeeff",
            "bootstrap_operator": key_hash(BOOTSTRAP_KEY),
        });
        let settings = Settings::read(&Document::new("settings", settings.to_string())).unwrap();
        let core = Arc::new(Core::new(settings, Arc::new(SystemClock), 1));
        let configuration = Configuration::spawn(core.clone());
        let operators = OperatorServer::bind(any, core.clone(), configuration)
            .await
            .unwrap();
        let dir = TempDir::new().unwrap();
        Self {
            operators,
            table,
            core,
            dir,
        }
    }

    async fn call(&self, method: Method, path: &str, key: &str, body: &str) -> Answer {
        let mut req = Request::builder().method(method).uri(path);
        if !key.is_empty() {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        let req = req.body(Full::from(body.to_owned())).unwrap();
        let client = HttpClient::new(self.operators.address());
        let mut exchange = client.send(req, Reuse::Fresh, TIMEOUTS).await.unwrap();
        let text = exchange.bytes(16 << 20).await.unwrap();
        Answer {
            status: exchange.status(),
            text: String::from_utf8(text.to_vec()).unwrap(),
        }
    }

    async fn get(&self, path: &str, key: &str) -> Answer {
        self.call(Method::GET, path, key, "").await
    }

    async fn publish(&self, key: &str, body: &Value) -> Answer {
        self.call(Method::POST, "/publish", key, &body.to_string())
            .await
    }

    /// Publishes the tests' objects with the bootstrap key.
    async fn begin(&self) {
        let edit = json!({ "objects": { "changes": objects(&[]).puts(), "prune": false } });
        let answer = self
            .publish(BOOTSTRAP_KEY, &json!({ "id": "first", "edit": edit }))
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }

    /// Runs a verb and returns its exit status and all that it printed.
    async fn run(&self, args: &[&str]) -> (i32, String) {
        let key_file = self.dir.path().join("key");
        fs::write(&key_file, OPERATOR_KEY).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"));
        command.args(args).arg("--key-file").arg(key_file);
        command.args(["--daemon", &self.operators.address().to_string()]);
        let out = tokio::task::spawn_blocking(move || command.output()).await;
        let out = out.unwrap().unwrap();
        let text = [out.stdout, out.stderr].concat();
        (out.status.code().unwrap(), String::from_utf8(text).unwrap())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_refused() {
    let site = Site::spawn().await;
    assert_eq!(
        site.get("/status", "").await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(
        site.get("/status", BOOTSTRAP_KEY).await.status,
        StatusCode::OK
    );
    site.begin().await;
    // The bootstrap key ends with the first operator; a customer's key is no operator's.
    for key in ["", "wrong", BOOTSTRAP_KEY, CUSTOMER_KEY] {
        for path in ["/status", "/generations", "/invoice", "/explain/x"] {
            let answer = site.get(path, key).await;
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{key} {path}");
        }
        let answer = site.publish(key, &json!({})).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{key}");
    }
    let long = "k".repeat(600);
    assert_eq!(
        site.get("/status", &long).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(
        site.get("/status", OPERATOR_KEY).await.status,
        StatusCode::OK
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_refused() {
    let site = Site::spawn().await;
    site.begin().await;
    let edit = json!({ "failure_domain": { "name": "padana-a", "state": "out" } });
    let huge = " ".repeat(9 << 20);
    let post = async |path: &str, body: &str| {
        let answer = site.call(Method::POST, path, OPERATOR_KEY, body).await;
        answer.status
    };
    assert_eq!(post("/publish", "{").await, StatusCode::BAD_REQUEST);
    assert_eq!(post("/publish", &huge).await, StatusCode::PAYLOAD_TOO_LARGE);
    let unknown = json!({ "id": "a", "edit": edit, "more": 1 }).to_string();
    assert_eq!(post("/publish", &unknown).await, StatusCode::BAD_REQUEST);
    let bad_id = json!({ "id": "a/b", "edit": edit }).to_string();
    assert_eq!(post("/publish", &bad_id).await, StatusCode::BAD_REQUEST);
    assert_eq!(
        post("/failure_domains/padana-a/away", "").await,
        StatusCode::BAD_REQUEST
    );
    assert_eq!(
        post("/versions/draft-1/out", "").await,
        StatusCode::BAD_REQUEST
    );
    let unknown = post("/upstreams/none/out", "").await;
    assert_eq!(unknown, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(post("/nothing", "").await, StatusCode::NOT_FOUND);
    assert_eq!(site.core.snapshot().generation, 1);
    assert_eq!(
        post("/failure_domains/padana-a/out", "").await,
        StatusCode::OK
    );
    assert_eq!(site.core.snapshot().generation, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn health_without_key() {
    let site = Site::spawn().await;
    assert_eq!(site.get("/health", "").await.status, StatusCode::OK);
    let ready = site.get("/ready", "").await;
    assert_eq!(
        ready.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{}",
        ready.text
    );
    site.begin().await;
    wait_until("ready", LIMIT, async || {
        site.get("/ready", "").await.status == StatusCode::OK
    })
    .await;
    let metrics = site.get("/metrics", "").await.text;
    let line = "hibiscusyoke_configuration_generation{daemon=\"entry-1\"} 1";
    assert!(metrics.lines().any(|l| l == line), "{metrics}");
    for secret in [BOOTSTRAP_KEY, OPERATOR_KEY, CUSTOMER_KEY] {
        assert!(!metrics.contains(&key_hash(secret).to_string()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn verbs_exit_statuses() {
    let site = Site::spawn().await;
    site.begin().await;
    let (status, text) = site.run(&["domain", "out", "padana-a"]).await;
    assert_eq!(status, 0, "{text}");
    assert!(
        text.contains("accepted: generation 2\nin force on: entry-1"),
        "{text}"
    );
    let (status, text) = site.run(&["domain", "out", "padana-a"]).await;
    assert_eq!(
        (status, text.as_str()),
        (0, "unchanged: generation 2\nin force on: entry-1\n")
    );
    let (status, text) = site.run(&["version", "withdraw", "none"]).await;
    assert_eq!(status, 1, "{text}");
    assert!(text.contains("there is no version \"none\""), "{text}");
    let (status, text) = site.run(&["domain", "away", "padana-a"]).await;
    assert_eq!(status, 2, "{text}");
    let (status, text) = site.run(&["generations", "--json"]).await;
    assert_eq!(status, 0, "{text}");
    let listed: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(listed[0]["objects"][0]["name"], "padana-a");
    for verb in [&["status"][..], &["explain", "first"], &["invoice"]] {
        let (status, text) = site.run(verb).await;
        assert_eq!(status, 0, "{verb:?}: {text}");
    }
}

/// A daemon that takes the call and closes without an answer: the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn verb_outcome_unknown() {
    let site = Site::spawn().await;
    site.begin().await;
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let mute = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 64];
            stream.read_exact(&mut head).await.unwrap();
        }
    });
    let key_file = site.dir.path().join("key");
    fs::write(&key_file, OPERATOR_KEY).unwrap();
    let verb = |daemons: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"));
        command
            .args(["domain", "out", "padana-b", "--key-file"])
            .arg(&key_file);
        for daemon in daemons {
            command.args(["--daemon", daemon]);
        }
        command.output().unwrap().status.code()
    };
    assert_eq!(verb(&[&mute]), Some(3));
    assert_eq!(verb(&["127.0.0.1:1"]), Some(1));
    let live = site.operators.address().to_string();
    assert_eq!(verb(&[&mute, "127.0.0.1:1", &live]), Some(0));
    site.operators.shutdown().await;
    drop(site.table);
}
