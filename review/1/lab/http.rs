//! HTTP/1.1 messages on blocking connections.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Names and values of headers; names are in lower case.
pub type Headers = Vec<(String, String)>;

/// A request that was received.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Returns the value of a header, or an empty text.
pub fn header<'a>(headers: &'a Headers, name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map_or("", |(_, value)| value.as_str())
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let target = parts.next().unwrap_or_default().to_owned();
    let length = header(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes a whole response.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says.
    Complete,
    /// Before that.
    Cut,
}

/// A response as its caller saw it; status 0 stands for none.
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub end: End,
}

impl Response {
    fn none() -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            end: End::Cut,
        }
    }
}

/// Sends a request on a new connection and reads the response until `deadline`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Instant,
) -> Response {
    exchange(address, method, path, headers, body, deadline).unwrap_or_else(|_| Response::none())
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Instant,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_nodelay(true)?;
    let mut message = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        message.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(Response::none());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut body = Vec::new();
    let ended = read_body(&mut reader, &headers, &mut body);
    Ok(Response {
        status: status.unwrap_or(0),
        headers,
        body,
        end: match ended {
            Ok(()) => End::Complete,
            Err(_) => End::Cut,
        },
    })
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &Headers,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if header(headers, "transfer-encoding") == "chunked" {
        return read_chunks(reader, body);
    }
    match header(headers, "content-length").parse::<usize>() {
        Ok(length) => {
            body.resize(length, 0);
            reader.read_exact(body)
        }
        Err(_) => reader.read_to_end(body).map(|_| ()),
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Ok(());
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Headers)>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line.ends_with(b"\n") || line.ends_with(b"\r") {
        line.pop();
    }
    String::from_utf8(line).map(Some).map_err(io::Error::other)
}
