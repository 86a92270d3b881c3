//! Tests calls between daemons: authentication, silent connections, and matching of responses to
//! calls.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{FutureExt, future::join_all};
use hibiscusyoke::{
    coordination::{
        decisions::Decision,
        membership::{Member, MemberState},
    },
    protocol::peer::{PeerRequest, PeerResponse, decisions},
    transport::peers::{Handler, PeerClient, PeerError, PeerServer},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const KEY: &str = "6b6579";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn member(peers: SocketAddr) -> Member {
    Member {
        name: "b".into(),
        incarnation: 1,
        failure_domain: "padana-a".into(),
        callers: loopback(),
        peers,
        state: MemberState::Alive,
        generation: 0,
    }
}

/// Responds to `ForRequest(id)` with one decision that contains the id; larger ids respond earlier.
fn echo(calls_served: Arc<AtomicUsize>) -> Handler {
    Arc::new(move |req| {
        let calls_served = calls_served.clone();
        async move {
            calls_served.fetch_add(1, Ordering::SeqCst);
            let PeerRequest::Decisions(decisions::Request::ForRequest(id)) = req else {
                return PeerResponse::Pong;
            };
            let number: u64 = id.parse().unwrap_or_default();
            tokio::time::sleep(Duration::from_millis(100 - number.min(100))).await;
            let decision = Decision {
                request_id: id,
                daemon: "b".into(),
                at_ms: 0,
                step: "echo".into(),
                detail: "x".repeat(20_000),
            };
            PeerResponse::Decisions(decisions::Response::Decisions(vec![decision]))
        }
        .boxed()
    })
}

fn decisions_request(id: usize) -> PeerRequest {
    PeerRequest::Decisions(decisions::Request::ForRequest(id.to_string().into()))
}

/// Relays TCP until told to discard all data on the connections opened so far.
struct Relay {
    addr: SocketAddr,
    opened: Arc<AtomicUsize>,
    silenced_connections: Arc<AtomicUsize>,
}

impl Relay {
    async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("relay");
        let addr = listener.local_addr().expect("relay");
        let opened = Arc::new(AtomicUsize::new(0));
        let silenced_connections = Arc::new(AtomicUsize::new(0));
        let relay = Self {
            addr,
            opened: opened.clone(),
            silenced_connections: silenced_connections.clone(),
        };
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                let upstream_socket = TcpStream::connect(to).await.expect("relay");
                let (from_read, from_write) = from.into_split();
                let (to_read, to_write) = upstream_socket.into_split();
                tokio::spawn(copy_until_silenced(
                    from_read,
                    to_write,
                    number,
                    silenced_connections.clone(),
                ));
                tokio::spawn(copy_until_silenced(
                    to_read,
                    from_write,
                    number,
                    silenced_connections.clone(),
                ));
            }
        });
        relay
    }

    fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silenced_connections.store(opened, Ordering::SeqCst);
    }
}

async fn copy_until_silenced(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    number: usize,
    silenced_connections: Arc<AtomicUsize>,
) {
    let mut buf = vec![0; 16_384];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let silent = number <= silenced_connections.load(Ordering::SeqCst);
        if !silent && to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn client_with_wrong_key_gets_no_service() {
    let calls_served = Arc::new(AtomicUsize::new(0));
    let server = PeerServer::bind(loopback(), KEY, echo(calls_served.clone()))
        .await
        .unwrap();
    let unauthorized = PeerClient::new("a".into(), "other");
    let err = unauthorized
        .call(
            &member(server.local_addr()),
            PeerRequest::Ping,
            CALL_TIMEOUT,
        )
        .await
        .unwrap_err();
    assert!(matches!(err, PeerError::Connect { .. }), "{err}");
    assert_eq!(calls_served.load(Ordering::SeqCst), 0);

    let mut raw = TcpStream::connect(server.local_addr()).await.unwrap();
    raw.write_all(b"hyk1").await.unwrap();
    raw.write_all(&[7; 64]).await.unwrap();
    raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .unwrap();
    let mut received = Vec::new();
    let _ = tokio::time::timeout(CALL_TIMEOUT, raw.read_to_end(&mut received)).await;
    assert_eq!(
        received.len(),
        32,
        "an unauthenticated client received more than a nonce: {received:?}"
    );
}

#[tokio::test]
async fn server_with_wrong_key_is_refused() {
    let server = PeerServer::bind(loopback(), "other", echo(Arc::default()))
        .await
        .unwrap();
    let peers = PeerClient::new("a".into(), KEY);
    let err = peers
        .call(
            &member(server.local_addr()),
            PeerRequest::Ping,
            CALL_TIMEOUT,
        )
        .await
        .unwrap_err();
    assert!(err.not_sent(), "{err}");
}

#[tokio::test]
async fn concurrent_calls_get_their_own_responses() {
    let server = PeerServer::bind(loopback(), KEY, echo(Arc::default()))
        .await
        .unwrap();
    let peers = PeerClient::new("a".into(), KEY);
    let to = member(server.local_addr());
    let calls = (0..200).map(|id| {
        let (peers, to) = (&peers, &to);
        async move {
            (
                id,
                peers.call(to, decisions_request(id), CALL_TIMEOUT).await,
            )
        }
    });
    for (id, res) in join_all(calls).await {
        let Ok(PeerResponse::Decisions(decisions::Response::Decisions(found))) = res else {
            panic!("call {id}: {res:?}");
        };
        assert_eq!(found[0].request_id, id.to_string());
    }
}

#[tokio::test]
async fn idle_silent_connection_is_replaced() {
    let server = PeerServer::bind(loopback(), KEY, echo(Arc::default()))
        .await
        .unwrap();
    let relay = Relay::spawn(server.local_addr()).await;
    let peers = PeerClient::new("a".into(), KEY);
    let to = member(relay.addr);
    peers
        .call(&to, PeerRequest::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    relay.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let started = Instant::now();
    let res = peers.call(&to, PeerRequest::Ping, CALL_TIMEOUT).await;
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(relay.opened.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn connection_silent_during_call_fails_early_and_is_replaced() {
    let calls_served = Arc::new(AtomicUsize::new(0));
    let server = PeerServer::bind(loopback(), KEY, echo(calls_served.clone()))
        .await
        .unwrap();
    let relay = Relay::spawn(server.local_addr()).await;
    let peers = PeerClient::new("a".into(), KEY);
    let to = member(relay.addr);
    peers
        .call(&to, PeerRequest::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    relay.silence_open_connections();
    let started = Instant::now();
    let err = peers
        .call(&to, PeerRequest::Ping, Duration::from_secs(30))
        .await
        .unwrap_err();
    assert!(!err.not_sent(), "a sent call may have run: {err}");
    assert!(started.elapsed() < Duration::from_secs(3), "{err}");
    assert_eq!(
        calls_served.load(Ordering::SeqCst),
        1,
        "a sent call was repeated"
    );
    let res = peers.call(&to, PeerRequest::Ping, CALL_TIMEOUT).await;
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
}

#[tokio::test]
async fn shutdown_finishes_calls_in_flight() {
    let started = Arc::new(AtomicBool::new(false));
    let flag = started.clone();
    let handler: Handler = Arc::new(move |_| {
        flag.store(true, Ordering::SeqCst);
        async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            PeerResponse::Pong
        }
        .boxed()
    });
    let server = PeerServer::bind(loopback(), KEY, handler).await.unwrap();
    let to = member(server.local_addr());
    let peers = Arc::new(PeerClient::new("a".into(), KEY));
    let caller = peers.clone();
    let target = to.clone();
    let call =
        tokio::spawn(async move { caller.call(&target, PeerRequest::Ping, CALL_TIMEOUT).await });
    let deadline = Instant::now() + CALL_TIMEOUT;
    while !started.load(Ordering::SeqCst) {
        assert!(Instant::now() < deadline);
        tokio::task::yield_now().await;
    }
    let started = Instant::now();
    server.shutdown(CALL_TIMEOUT).await;
    assert!(started.elapsed() < CALL_TIMEOUT);
    let res = call.await.unwrap();
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
    let err = peers
        .call(&to, PeerRequest::Ping, CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert!(err.not_sent(), "{err}");
}
