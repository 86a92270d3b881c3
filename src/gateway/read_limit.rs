//! A connection that reads a limited number of bytes at a time, and before the head of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes that may still be read before the head of a response is complete, also those of interim responses.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Allows this many bytes.
    pub(super) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Ends the limit, as the head is complete.
    pub(super) fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let left = self.left();
        if left < usize::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that reads at most `limit` bytes at a time. hyper doubles its read buffer each time that
/// it is filled, and the buffer's size is also the limit of a response head.
#[derive(Debug)]
pub(super) struct LimitedReads<S> {
    stream: S,
    limit: usize,
    head: HeadLimit,
}

impl<S> LimitedReads<S> {
    /// Limits the reads of a connection.
    pub(super) fn new(stream: S, limit: usize, head: HeadLimit) -> Self {
        Self {
            stream,
            limit,
            head,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.head.left();
        if left == 0 {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "the response has no end of its head",
            );
            return Poll::Ready(Err(error));
        }
        let size = self.limit.min(buf.remaining()).min(left);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        self.head.take(read);
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
