//! Clients that send part of a request and stay connected.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use crate::usage::bytes_under_way;

/// Maximum size of a request body in the configuration of these tests.
pub(crate) const BODY_LIMIT: usize = 4 << 20;
/// Time that a crowd is given to send what it sends.
const SEND_TIME: Duration = Duration::from_secs(8);
/// Time that a gateway is given to read what a crowd has sent.
const READ_TIME: Duration = Duration::from_secs(8);
/// Interval between checks of whether a crowd has sent everything.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a client sends its request.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    /// Method and path.
    pub(crate) target: &'static str,
    /// Header lines beside those that every request has.
    pub(crate) headers: String,
    /// What is sent after the head, in parts of `part_bytes`.
    pub(crate) body: Arc<Vec<u8>>,
    /// Size of one write.
    pub(crate) part_bytes: usize,
    /// What is sent after that, again and again.
    pub(crate) endless: Vec<u8>,
    /// Pause before each repetition of `endless`.
    pub(crate) pause: Duration,
    /// Number of bytes after which a client stops sending.
    pub(crate) most_bytes: usize,
}

impl Script {
    /// Announces a length and sends `sent` bytes of it.
    pub(crate) fn with_length(target: &'static str, announced: u64, sent: usize) -> Self {
        Self {
            target,
            headers: format!("content-length: {announced}\r\n"),
            body: Arc::new(vec![b'x'; sent]),
            part_bytes: 64 << 10,
            endless: Vec::new(),
            pause: Duration::ZERO,
            most_bytes: usize::MAX,
        }
    }

    /// Sends `content` bytes in chunks of each of these sizes in turn, and no last chunk.
    pub(crate) fn chunked(target: &'static str, content: usize, sizes: &[usize]) -> Self {
        let mut body = Vec::new();
        let mut left = content;
        for size in sizes.iter().cycle() {
            if left == 0 {
                break;
            }
            let size = left.min(*size);
            body.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            body.extend(std::iter::repeat_n(b'x', size));
            body.extend_from_slice(b"\r\n");
            left -= size;
        }
        Self {
            headers: "transfer-encoding: chunked\r\n".into(),
            body: Arc::new(body),
            ..Self::with_length(target, 0, 0)
        }
    }

    /// Sends this again and again until the connection ends or `most_bytes` have been sent.
    pub(crate) fn then_endless(mut self, bytes: &[u8], most_bytes: usize) -> Self {
        self.endless = bytes.to_vec();
        self.most_bytes = most_bytes;
        self
    }

    /// Adds a header line.
    pub(crate) fn header(mut self, line: &str) -> Self {
        self.headers += line;
        self.headers += "\r\n";
        self
    }

    /// The head of the request with this id.
    fn head(&self, id: &str) -> String {
        let (target, headers) = (self.target, &self.headers);
        format!(
            "{target} HTTP/1.1\r\nhost: h\r\nrequest-id: {id}\r\nx-api-key: k1\r\n{headers}\r\n"
        )
    }

    /// Sends the request; returns whether the connection took all of it.
    async fn send(&self, connection: &mut (impl AsyncWriteExt + Unpin), id: &str) -> bool {
        let mut sent = 0;
        let head = self.head(id);
        let mut parts = vec![head.as_bytes()];
        parts.extend(self.body.chunks(self.part_bytes));
        for part in parts {
            if connection.write_all(part).await.is_err() {
                return false;
            }
        }
        while !self.endless.is_empty() && sent < self.most_bytes {
            tokio::time::sleep(self.pause).await;
            if connection.write_all(&self.endless).await.is_err() {
                return false;
            }
            sent += self.endless.len();
        }
        true
    }

    /// Sends the request from one client, which reads only after it can send no more; returns whether the
    /// connection took all of it, and the status line that it has received.
    pub(crate) async fn send_then_read(&self, address: SocketAddr, id: &str) -> (bool, String) {
        let mut connection = TcpStream::connect(address).await.expect("connected");
        let is_sent = self.send(&mut connection, id).await;
        (is_sent, read_status_line(&mut connection).await)
    }

    /// Sends the request from one client, which reads meanwhile; returns the status line.
    pub(crate) async fn send_and_read(&self, address: SocketAddr, id: &str) -> String {
        let connection = TcpStream::connect(address).await.expect("connected");
        let (mut rx, mut tx) = connection.into_split();
        tokio::select! {
            line = read_status_line(&mut rx) => line,
            () = async {
                self.send(&mut tx, id).await;
                std::future::pending::<()>().await;
            } => unreachable!("sending does not end"),
        }
    }
}

async fn read_status_line(connection: &mut (impl AsyncReadExt + Unpin)) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while let Ok(1) = connection.read(&mut byte).await {
        if byte[0] == b'\r' {
            break;
        }
        line.push(byte[0]);
    }
    String::from_utf8_lossy(&line).into_owned()
}

/// Clients that follow the same script and stay connected until they are dropped.
pub(crate) struct Crowd {
    tasks: JoinSet<()>,
    done: Arc<AtomicUsize>,
    size: usize,
    ip: IpAddr,
}

impl Crowd {
    /// Connects this many clients, which read nothing.
    pub(crate) fn connect(address: SocketAddr, size: usize, script: &Script) -> Self {
        let done = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for n in 0..size {
            let (script, done) = (script.clone(), done.clone());
            tasks.spawn(async move {
                let Ok(mut connection) = TcpStream::connect(address).await else {
                    done.fetch_add(1, Ordering::SeqCst);
                    return;
                };
                script.send(&mut connection, &format!("c{n}")).await;
                done.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
            });
        }
        Self {
            tasks,
            done,
            size,
            ip: address.ip(),
        }
    }

    /// Waits until all clients have sent what they send and it has been read, or for a time that suffices.
    pub(crate) async fn sent(&self) {
        let all_done = async {
            while self.done.load(Ordering::SeqCst) < self.size {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        // A client whose bytes are not read any more does not get done.
        let _ = tokio::time::timeout(SEND_TIME, all_done).await;
        let all_read = async {
            while bytes_under_way(self.ip) > 0 {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(READ_TIME, all_read).await;
    }

    /// Disconnects all clients.
    pub(crate) async fn leave(mut self) {
        self.tasks.shutdown().await;
    }
}
