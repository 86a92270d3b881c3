//! Requests that callers send to gateways, including directory queries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

/// Hostname of all routes.
pub const HOST: &str = "h";

/// Directory query for the gateways that callers can use.
pub const DIRECTORY_PATH: &str = "/resolve?name=h&region=r&zone=a";
/// Prompt of all streams.
pub const PROMPT: &[u8] = b"a prompt";

/// Statuses that promise a caller that its request has not run and never will.
pub const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Ordered request headers.
pub type Headers = Vec<(&'static str, String)>;

/// Returns the headers of a request with an id and an API key.
pub fn headers(id: &str, key: &str, deadline_ms: u32) -> Headers {
    vec![
        ("host", HOST.into()),
        ("request-id", id.into()),
        ("x-api-key", key.into()),
        ("deadline-ms", deadline_ms.to_string()),
    ]
}

/// Returns the headers of a streaming request to the model pool, in a session of its own.
pub fn stream_headers(id: &str, key: &str, deadline_ms: u32) -> Headers {
    let mut headers = headers(id, key, deadline_ms);
    headers.extend([
        ("model", "*".into()),
        ("session", format!("session-{id}")),
        ("token-usage", "900,24".into()),
        ("prompt-prefix", "a:500,b:200".into()),
    ]);
    headers
}

/// Builds a request.
///
/// # Panics
///
/// If a header or the path is invalid.
pub fn request(method: Method, path: &str, headers: &Headers, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("valid path");
    for (name, value) in headers {
        let value = value.parse().expect("valid header value");
        request.headers_mut().append(*name, value);
    }
    request
}

/// Builds a `GET` request without an API key.
pub fn get(path: &'static str) -> Request<Full<Bytes>> {
    let headers = vec![("host", HOST.into())];
    request(Method::GET, path, &headers, Bytes::new())
}

/// Receive buffer of a slow reader. It is small, so that what is not read reaches the sender.
const SLOW_BUFFER_BYTES: u32 = 4 << 10;

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    handshake(TcpStream::connect(address).await.ok()?).await
}

/// Opens a connection of a caller that reads slowly.
pub async fn connect_slow(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    handshake(connect_with_small_buffer(address).await?).await
}

/// Opens a connection with a small receive buffer.
pub async fn connect_with_small_buffer(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).ok()?;
    socket.connect(address).await.ok()
}

async fn handshake(stream: TcpStream) -> Option<SendRequest<Full<Bytes>>> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Errors are reported to the sender of each request.
        let _ = connection.await;
    });
    Some(sender)
}
