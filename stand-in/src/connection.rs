//! TCP connection that can become silent or freeze while it stays open.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use futures::future::BoxFuture;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};

use crate::fault::{Epoch, PersistentFaults};

/// Size of the buffer for bytes that are read and discarded.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Bytes to send after the written data, shared with the requests of the connection.
pub(crate) type TrailingBytes = Arc<Mutex<Vec<u8>>>;

/// Connection to which the faults of its role apply.
pub(crate) struct FaultyConnection {
    stream: TcpStream,
    accept_epoch: Epoch,
    faults: watch::Receiver<PersistentFaults>,
    thaw_wait: Option<BoxFuture<'static, ()>>,
    trailing_bytes: TrailingBytes,
    pending: Vec<u8>,
}

impl FaultyConnection {
    pub(crate) fn new(
        stream: TcpStream,
        accept_epoch: Epoch,
        faults: watch::Receiver<PersistentFaults>,
    ) -> Self {
        Self {
            stream,
            accept_epoch,
            faults,
            thaw_wait: None,
            trailing_bytes: TrailingBytes::default(),
            pending: Vec::new(),
        }
    }

    pub(crate) fn trailing_bytes(&self) -> TrailingBytes {
        self.trailing_bytes.clone()
    }

    /// Returns the epoch in which the connection was accepted.
    pub(crate) fn accept_epoch(&self) -> Epoch {
        self.accept_epoch
    }

    fn is_silent(&self) -> bool {
        self.accept_epoch < self.faults.borrow().silent_before
    }

    /// Reads and discards input; end of file from the peer is ignored as well.
    fn discard_input(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Pending;
            }
        }
    }

    fn poll_thawed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.thaw_wait.is_none() && !self.faults.borrow().frozen {
            return Poll::Ready(());
        }
        let thaw_wait = self.thaw_wait.get_or_insert_with(|| {
            let mut faults = self.faults.clone();
            Box::pin(async move {
                let _ = faults.wait_for(|l| !l.frozen).await;
            })
        });
        ready!(thaw_wait.as_mut().poll(cx));
        self.thaw_wait = None;
        Poll::Ready(())
    }

    fn poll_write_trailing_bytes(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let trailing_bytes = std::mem::take(
            &mut *self
                .trailing_bytes
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        self.pending.extend(trailing_bytes);
        while !self.pending.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.pending))?;
            self.pending.drain(..sent);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FaultyConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return self.discard_input(cx);
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultyConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        ready!(self.poll_thawed(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_write_trailing_bytes(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
