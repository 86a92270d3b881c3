//! Fake of the platform's table: rows, change feed, conditional transactions and fault injection.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

/// Fault of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are answered.
    #[default]
    None,
    /// Calls are accepted and never answered.
    Silent,
    /// Calls for changes are accepted and never answered; others are answered.
    SilentFeeds,
    /// Full reads are accepted and never answered; others are answered.
    SilentReads,
    /// Calls are refused with status 429.
    Busy,
    /// Calls are executed and their connection is closed without a response.
    LostAnswers,
}

type TableRows = BTreeMap<(String, String), (Option<String>, u64)>;

/// Copy of the table from which it can be restored.
#[derive(Clone, Debug)]
pub struct TableCopy {
    rows: TableRows,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: TableRows,
    /// Number of restores so far.
    restores: u64,
    /// Era to announce instead of the real one; `Some(None)` for none.
    announced_era: Option<Option<String>>,
    version: u64,
    /// Feed requests for older versions than this are answered with status 410.
    oldest_version: u64,
    fault: Fault,
    calls: u64,
    /// Full reads by table.
    reads: BTreeMap<String, u64>,
    /// How many more calls for the changes of each table are accepted and never answered.
    feeds_to_lose: BTreeMap<String, u64>,
}

impl State {
    /// Returns whether a call for the changes of a table is to be lost.
    fn takes_lost_feed(&mut self, table: &str) -> bool {
        let Some(left) = self.feeds_to_lose.get_mut(table) else {
            return false;
        };
        let is_lost = *left > 0;
        *left = left.saturating_sub(1);
        is_lost
    }
}

/// Running fake of the table.
#[derive(Clone, Debug)]
pub struct FakeTable {
    address: SocketAddr,
    started_at: Instant,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl FakeTable {
    /// Listens on a free port of the loopback address.
    pub async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let table = Self {
            address: listener.local_addr().expect("local address"),
            started_at: Instant::now(),
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        };
        let serving = table.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let table = serving.clone();
                let service = service_fn(move |req| {
                    let table = table.clone();
                    async move { table.answer(req).await.ok_or(std::io::Error::other("lost")) }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        table
    }

    /// Returns the address on which the table listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the table.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Never answers the next `count` calls for the changes of a table.
    pub fn lose_feeds(&self, table: &str, count: u64) {
        self.state().feeds_to_lose.insert(table.into(), count);
    }

    /// Returns whether all calls that were to be lost have arrived.
    pub fn has_lost_feeds(&self) -> bool {
        self.state().feeds_to_lose.values().all(|left| *left == 0)
    }

    /// Discards the history of changes.
    pub fn compact(&self) {
        let mut state = self.state();
        state.oldest_version = state.version;
    }

    /// Copies all rows.
    pub fn copy(&self) -> TableCopy {
        let state = self.state();
        TableCopy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Copies all rows but those of one table.
    pub fn copy_without(&self, table: &str) -> TableCopy {
        let mut copy = self.copy();
        copy.rows.retain(|(name, _), _| name != table);
        copy
    }

    /// Restores the table from a copy and begins another era. Changes before the copy are no longer
    /// available.
    pub fn restore(&self, copy: &TableCopy) {
        let mut state = self.state();
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.oldest_version = copy.version;
        state.restores += 1;
        drop(state);
        self.changed.send_replace(copy.version);
    }

    /// Announces another era than the real one, or none.
    pub fn announce_era(&self, era: Option<&str>) {
        self.state().announced_era = Some(era.map(str::to_owned));
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Writes a row, as operators and upstreams do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, Some(encode(value.to_string().as_bytes())));
    }

    /// Writes a row whose value is this text as it is, which need not be base64.
    pub fn put_unencoded(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value.to_owned()));
    }

    /// Writes a row whose value holds these bytes, which need not be JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.write(table, key, Some(encode(value)));
    }

    /// Removes a row, as operators and upstreams do.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        use base64::{Engine as _, engine::general_purpose::STANDARD};
        let state = self.state();
        let (value, _) = state.rows.get(&(table.into(), key.into()))?;
        let bytes = STANDARD.decode(value.as_ref()?).expect("valid base64");
        Some(String::from_utf8(bytes).expect("UTF-8 text"))
    }

    /// Returns the number of full reads of a table so far.
    pub fn reads(&self, table: &str) -> u64 {
        self.state().reads.get(table).copied().unwrap_or(0)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let version = {
            let mut state = self.state();
            state.version += 1;
            let version = state.version;
            state
                .rows
                .insert((table.into(), key.into()), (value, version));
            version
        };
        self.changed.send_replace(version);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let fault = {
            let mut state = self.state();
            state.calls += 1;
            state.fault
        };
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::SilentFeeds if req.uri().path() == "/rows-feed" => std::future::pending().await,
            Fault::SilentReads if req.uri().path() == "/rows-get" => std::future::pending().await,
            Fault::Busy => {
                let response = reply(StatusCode::TOO_MANY_REQUESTS, &json!({}));
                return Some(self.with_era(response));
            }
            Fault::None | Fault::SilentFeeds | Fault::SilentReads | Fault::LostAnswers => {}
        }
        let query = query(req.uri().query().unwrap_or_default());
        let path = req.uri().path().to_owned();
        if path == "/rows-feed" && self.state().takes_lost_feed(&query["table"]) {
            return std::future::pending().await;
        }
        let restores = self.state().restores;
        let response = match (req.method().clone(), path.as_str()) {
            (Method::GET, "/rows-get") => self.read(&query),
            (Method::GET, "/rows-feed") => self.feed(&query).await,
            (Method::POST, "/rows-tx") => {
                let body = req.into_body().collect().await.ok()?.to_bytes();
                self.transact(&serde_json::from_slice(&body).ok()?)
            }
            _ => reply(StatusCode::NOT_FOUND, &json!({})),
        };
        let response = self.with_era(response);
        // The table is away while it is restored, so calls in progress get no answer.
        let was_restored = self.state().restores != restores;
        (fault != Fault::LostAnswers && !was_restored).then_some(response)
    }

    fn with_era(&self, mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let state = self.state();
        let real = Some((state.restores + 1).to_string());
        let era = state.announced_era.clone().unwrap_or(real);
        if let Some(era) = era {
            let value = era.parse().expect("valid header value");
            response.headers_mut().insert("store-era", value);
        }
        response
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let mut state = self.state();
        *state.reads.entry(query["table"].clone()).or_default() += 1;
        let limit: usize = query
            .get("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(500);
        let from = query.get("from").cloned().unwrap_or_default();
        let mut rows = rows(&state, &query["table"], 0)
            .into_iter()
            .filter(|row| row.get("value").is_some() && row["key"].as_str() >= Some(from.as_str()))
            .collect::<Vec<_>>();
        rows.sort_by_key(|row| row["key"].as_str().map(str::to_owned));
        let more = rows.len() > limit;
        rows.truncate(limit);
        let body =
            json!({"rows": rows, "has_more": more, "ver": state.version, "now_ms": self.now_ms()});
        reply(StatusCode::OK, &body)
    }

    /// Returns the table's monotonic clock in milliseconds.
    fn now_ms(&self) -> u64 {
        let elapsed = self.started_at.elapsed().as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let after: u64 = query["after"].parse().expect("valid version");
        let wait = Duration::from_millis(query["wait_ms"].parse().expect("milliseconds"));
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        let restores = self.state().restores;
        loop {
            {
                let state = self.state();
                let was_restored = state.restores != restores;
                if was_restored || after < state.oldest_version || after > state.version {
                    return reply(StatusCode::GONE, &json!({}));
                }
                let rows = rows(&state, &query["table"], after);
                if !rows.is_empty() || tokio::time::Instant::now() >= until {
                    let body = json!({"rows": rows, "ver": state.version, "now_ms": self.now_ms()});
                    return reply(StatusCode::OK, &body);
                }
            }
            // A change or a timeout; the loop checks which one it was.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn transact(&self, body: &Value) -> Response<Full<Bytes>> {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        {
            let state = self.state();
            let holds = list("expected_revision").iter().all(|row| {
                let known = state.rows.get(&key(row));
                let version = known
                    .filter(|known| known.0.is_some())
                    .map_or(0, |known| known.1);
                Some(version) == row["ver"].as_u64()
            });
            if !holds {
                return reply(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
            }
        }
        for row in list("put") {
            let (table, name) = key(&row);
            self.write(&table, &name, row["value"].as_str().map(str::to_owned));
        }
        for row in list("remove") {
            let (table, name) = key(&row);
            self.write(&table, &name, None);
        }
        let version = self.state().version;
        reply(
            StatusCode::OK,
            &json!({"ver": version, "now_ms": self.now_ms()}),
        )
    }
}

fn rows(state: &State, table: &str, after: u64) -> Vec<Value> {
    let mut rows: Vec<(u64, Value)> = state
        .rows
        .iter()
        .filter(|((t, _), (_, version))| t == table && *version > after)
        .map(|((table, key), (value, version))| {
            let mut row = json!({"table": table, "part": "", "key": key, "ver": version});
            match value {
                Some(value) => row["value"] = json!(value),
                None => row["deleted"] = json!(true),
            }
            (*version, row)
        })
        .collect();
    rows.sort_by_key(|(version, _)| *version);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn query(text: &str) -> BTreeMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.into(), value.replace("%2F", "/").replace("%00", "\0")))
        .collect()
}

fn encode(bytes: &[u8]) -> String {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
