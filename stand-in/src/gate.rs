//! A connection that can go silent or freeze while it stays open.

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

use crate::fault::{Epoch, Lasting};

/// The size of the buffer into which swallowed bytes are read.
const SWALLOW_BYTES: usize = 4096;

/// Bytes to send after what has been written, shared with the requests of the connection.
pub(crate) type Extra = Arc<Mutex<Vec<u8>>>;

/// A connection under the faults of its role.
pub(crate) struct Gate {
    stream: TcpStream,
    born: Epoch,
    faults: watch::Receiver<Lasting>,
    thaw: Option<BoxFuture<'static, ()>>,
    extra: Extra,
    pending: Vec<u8>,
}

impl Gate {
    pub(crate) fn new(stream: TcpStream, born: Epoch, faults: watch::Receiver<Lasting>) -> Self {
        Self {
            stream,
            born,
            faults,
            thaw: None,
            extra: Extra::default(),
            pending: Vec::new(),
        }
    }

    pub(crate) fn extra(&self) -> Extra {
        self.extra.clone()
    }

    /// When the connection was accepted.
    pub(crate) fn born(&self) -> Epoch {
        self.born
    }

    fn silent(&self) -> bool {
        self.born < self.faults.borrow().silent_before
    }

    /// Reads and forgets; the end of the peer's bytes goes unnoticed as well.
    fn swallow(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; SWALLOW_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Pending;
            }
        }
    }

    fn poll_thawed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.thaw.is_none() && !self.faults.borrow().frozen {
            return Poll::Ready(());
        }
        let thaw = self.thaw.get_or_insert_with(|| {
            let mut faults = self.faults.clone();
            Box::pin(async move {
                let _ = faults.wait_for(|l| !l.frozen).await;
            })
        });
        ready!(thaw.as_mut().poll(cx));
        self.thaw = None;
        Poll::Ready(())
    }

    fn poll_write_extra(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let extra = std::mem::take(&mut *self.extra.lock().unwrap_or_else(PoisonError::into_inner));
        self.pending.extend(extra);
        while !self.pending.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.pending))?;
            self.pending.drain(..sent);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent() {
            return self.swallow(cx);
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        ready!(self.poll_thawed(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_write_extra(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
