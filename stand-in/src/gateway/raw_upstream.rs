//! Fake of an upstream that answers with arbitrary bytes, as a faulty one does.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// A request that the upstream has read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// Id of the request.
    pub id: String,
    /// The event after which its stream should resume.
    pub last_event_id: Option<u64>,
}

/// Returns the bytes with which a request is answered before its connection is closed.
type Script = dyn Fn(&RawRequest) -> Vec<u8> + Send + Sync;

/// Running fake of a faulty upstream.
#[derive(Clone, Debug)]
pub struct RawUpstream {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawUpstream {
    /// Listens on a free port of the loopback address, and answers each request as `script` says.
    pub async fn spawn(script: impl Fn(&RawRequest) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let upstream = Self {
            address: listener.local_addr().expect("local address"),
            requests: Arc::default(),
        };
        let (serving, script): (_, Arc<Script>) = (upstream.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (upstream, script) = (serving.clone(), script.clone());
                // A caller that disconnects ends the exchange.
                tokio::spawn(async move { upstream.serve(stream, &*script).await.ok() });
            }
        });
        upstream
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests so far.
    pub fn requests(&self) -> Vec<RawRequest> {
        let requests = self.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn serve(&self, stream: TcpStream, script: &Script) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let request = read_request(&mut stream).await?;
        let answer = script(&request);
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
        stream.write_all(&answer).await?;
        stream.shutdown().await
    }
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<RawRequest> {
    let mut request = RawRequest::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ").unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "request-id" => request.id = value.into(),
            "last-event-id" => request.last_event_id = value.parse().ok(),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(request)
}
