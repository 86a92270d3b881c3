//! The stream of a caller's connection, with bounds on what is received and an end that lets a refusal arrive.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::transport::caller_connections::{CallerConnection, RequestGuard};

/// Time for which the rest of a refused request is discarded. If the connection were closed while its client
/// sends, the client would be reset and might not read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of bytes that are discarded at most: twice the usual limit of a body.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// Size in bytes of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    linger: Linger,
}

/// How far the end of a connection has come.
enum Linger {
    Open,
    /// The side that is written has been closed, and what arrives is discarded.
    Discarding {
        bytes: usize,
        timeout: Pin<Box<Sleep>>,
    },
    Closed,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream,
            connection,
            linger: Linger::Open,
        }
    }

    /// Discards bytes until the client closes the connection or the limits are reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Linger::Discarding { bytes, timeout } = &mut self.linger else {
            return Poll::Ready(());
        };
        let mut buf = [0; DISCARD_BUFFER_BYTES];
        while *bytes < MAX_LINGER_BYTES && timeout.as_mut().poll(cx).is_pending() {
            let mut part = ReadBuf::new(&mut buf);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part)) {
                Ok(()) if !part.filled().is_empty() => *bytes += part.filled().len(),
                // A reset ends the connection as well.
                Ok(()) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.allowance() == 0 {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "the body has too little content",
            );
            return Poll::Ready(Err(error));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.connection.receive(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Linger::Open = self.linger {
            let is_sending = self.connection.begin_close();
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.linger = match is_sending {
                true => Linger::Discarding {
                    bytes: 0,
                    timeout: Box::pin(sleep(LINGER_TIMEOUT)),
                },
                false => Linger::Closed,
            };
        }
        ready!(self.poll_discard(cx));
        self.linger = Linger::Closed;
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a request, which tells its connection what is received.
pub struct RequestBody<B> {
    body: B,
    /// Absent if other requests share the connection.
    connection: Option<Arc<CallerConnection>>,
}

impl<B: Body> RequestBody<B> {
    /// Begins a request on a connection, which lasts until the guard is dropped.
    pub fn begin(body: B, connection: Arc<CallerConnection>) -> (Self, RequestGuard) {
        let guard = connection.begin_request(!body.is_end_stream());
        let body = Self {
            body,
            connection: Some(connection),
        };
        (body, guard)
    }
}

impl<B: Default> RequestBody<B> {
    /// Takes the body of a request whose connection is among its extensions.
    pub fn take(req: &mut Request<B>) -> Self {
        Self {
            body: std::mem::take(req.body_mut()),
            connection: req.extensions_mut().remove(),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for RequestBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(connection) = &self.connection {
            match &frame {
                Some(Ok(frame)) => {
                    connection.receive_content(frame.data_ref().map_or(0, Bytes::len));
                }
                Some(Err(_)) => {}
                None => connection.end_body(),
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response, which tells its connection when it has been handed over.
pub struct ResponseBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> ResponseBody<B> {
    /// Wraps the body of the response to a request.
    pub fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
