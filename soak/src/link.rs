//! A loopback proxy whose connections can be delayed, reset, cut one way or silenced.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// The bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What becomes of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// They are passed on.
    Open,
    /// Each chunk comes later by this much.
    Delayed(Duration),
    /// They are reset, and new ones as well.
    Reset,
    /// Nothing is passed on, and nobody is told.
    Silent,
    /// What callers send does not arrive.
    RequestsLost,
    /// What is answered does not arrive.
    AnswersLost,
}

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Link {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Open | Self::Delayed(_) | Self::Reset => false,
            Self::Silent => true,
            Self::RequestsLost => direction == Direction::Request,
            Self::AnswersLost => direction == Direction::Answer,
        }
    }
}

/// A running proxy; it ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: watch::Sender<Link>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a free port before `target`.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (link, watched) = watch::channel(Link::Open);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watched.clone()));
            }
        });
        Ok(Self {
            address,
            link,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of connections, of those that are open as well.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Passes one connection on until either side ends it.
async fn pass(caller: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Reset {
        // A connection that is gone already needs no reset.
        let _ = caller.set_zero_linger();
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let requests = pump(from_caller, to_callee, Direction::Request, link.clone());
    let answers = pump(from_callee, to_caller, Direction::Answer, link);
    // Both halves are dropped, and the connection closed, once one direction has failed.
    let _ = futures::future::try_join(requests, answers).await;
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read?,
            () = reset(&mut link) => return abort(&from, &to),
        };
        loop {
            let now = *link.borrow_and_update();
            match now {
                Link::Reset => return abort(&from, &to),
                Link::Delayed(delay) => break tokio::time::sleep(delay).await,
                _ if !now.holds(direction) => break,
                _ => link.changed().await.map_err(io::Error::other)?,
            }
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..read]).await?;
    }
}

async fn reset(link: &mut watch::Receiver<Link>) {
    let ended = link.wait_for(|link| *link == Link::Reset).await.is_err();
    if ended {
        // The proxy has ended; its connections end by themselves.
        std::future::pending::<()>().await;
    }
}

fn abort(from: &OwnedReadHalf, to: &OwnedWriteHalf) -> io::Result<()> {
    from.as_ref().set_zero_linger()?;
    to.as_ref().set_zero_linger()?;
    Err(io::ErrorKind::ConnectionReset.into())
}
