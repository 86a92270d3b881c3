//! Stand-in of the platform's store: rows, change feed and conditional transactions.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json,
};

/// Table and key of a row.
type RowKey = (String, String);

#[derive(Default)]
struct Rows {
    /// Values in base64, absent for removed rows, and the versions of their last changes.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Condvar>,
    started_at: Instant,
}

impl Store {
    /// Listens on a free port of a loopback address.
    pub fn spawn() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            rows: Arc::default(),
            changed: Arc::default(),
            started_at: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row, as operators and replicas do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode_base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.into(), key.into()), (value, version));
        drop(rows);
        self.changed.notify_all();
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    /// Serves a connection until it ends; errors are those of the other side.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&req);
            let headers = [("Content-Type", "application/json")];
            if http::write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (&'static str, String) {
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(n, _)| *n == name);
            found.map_or(String::new(), |(_, value)| decode_percent(value))
        };
        let number = |name: &str, default: u64| parameter(name).parse().unwrap_or(default);
        match (req.method.as_str(), path) {
            ("GET", "/rows-get") => {
                let limit = number("limit", 500) as usize;
                self.read(&parameter("table"), &parameter("from"), limit)
            }
            ("GET", "/rows-feed") => {
                let wait = Duration::from_millis(number("wait_ms", 0));
                self.feed(&parameter("table"), number("after", 0), wait)
            }
            ("POST", "/rows-tx") => self.transact(&req.body),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn read(&self, table: &str, from: &str, limit: usize) -> (&'static str, String) {
        let rows = self.rows();
        let found = rows
            .rows
            .iter()
            .filter(|((t, key), (value, _))| t == table && key.as_str() >= from && value.is_some());
        let all: Vec<String> = found.map(row_json).collect();
        let has_more = all.len() > limit;
        let page = all[..all.len().min(limit)].join(",");
        let (version, now) = (rows.version, self.now_ms());
        let body = format!(
            "{{\"rows\":[{page}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now}}}"
        );
        ("200 OK", body)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut rows = self.rows();
        loop {
            if after > rows.version {
                return ("410 Gone", "{}".into());
            }
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, _), (_, version))| t == table && *version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, (_, version))| *version);
                let changes: Vec<String> = found.into_iter().map(row_json).collect();
                let (changes, version, now) = (changes.join(","), rows.version, self.now_ms());
                let body = format!("{{\"rows\":[{changes}],\"ver\":{version},\"now_ms\":{now}}}");
                return ("200 OK", body);
            }
            rows = self
                .changed
                .wait_timeout(rows, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(transaction) = json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let key_of = |row: &json::Value| -> RowKey {
            (row.get("table").text().into(), row.get("key").text().into())
        };
        let version = {
            let mut rows = self.rows();
            let holds = transaction
                .get("expected_revision")
                .list()
                .iter()
                .all(|row| {
                    let known = rows.rows.get(&key_of(row));
                    let known = known.filter(|(value, _)| value.is_some());
                    known.map_or(0, |(_, version)| *version) == row.get("ver").number()
                });
            if !holds {
                return ("412 Precondition Failed", "{\"rows\":[]}".into());
            }
            rows.version += 1;
            let version = rows.version;
            for row in transaction.get("put").list() {
                let value = Some(row.get("value").text().to_owned());
                rows.rows.insert(key_of(row), (value, version));
            }
            for row in transaction.get("remove").list() {
                rows.rows.insert(key_of(row), (None, version));
            }
            version
        };
        self.changed.notify_all();
        let now = self.now_ms();
        ("200 OK", format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }
}

fn row_json((key, row): (&RowKey, &(Option<String>, u64))) -> String {
    let ((table, key), (value, version)) = (key, row);
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".into(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for i in 0..3 {
            bits = bits << 8 | u32::from(group.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            match i <= group.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
