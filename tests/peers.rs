//! Calls between daemons: the fleet key, silence, and answers that belong to their own calls.

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
    transport::peers::{Handler, PeerError, PeerServer, Peers},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const KEY: &str = "6b6579";
const LIMIT: Duration = Duration::from_secs(5);

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

/// Answers `Of(id)` with one decision that names the id; later ids answer earlier.
fn echo(served: Arc<AtomicUsize>) -> Handler {
    Arc::new(move |req| {
        let served = served.clone();
        async move {
            served.fetch_add(1, Ordering::SeqCst);
            let PeerRequest::Decisions(decisions::Request::Of(id)) = req else {
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

fn ask(id: usize) -> PeerRequest {
    PeerRequest::Decisions(decisions::Request::Of(id.to_string().into()))
}

/// Relays TCP until it is told to swallow everything on the connections open so far.
struct Relay {
    addr: SocketAddr,
    opened: Arc<AtomicUsize>,
    silent_up_to: Arc<AtomicUsize>,
}

impl Relay {
    async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("relay");
        let addr = listener.local_addr().expect("relay");
        let opened = Arc::new(AtomicUsize::new(0));
        let silent_up_to = Arc::new(AtomicUsize::new(0));
        let relay = Self {
            addr,
            opened: opened.clone(),
            silent_up_to: silent_up_to.clone(),
        };
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                let onward = TcpStream::connect(to).await.expect("relay");
                let (from_read, from_write) = from.into_split();
                let (to_read, to_write) = onward.into_split();
                tokio::spawn(pump(from_read, to_write, number, silent_up_to.clone()));
                tokio::spawn(pump(to_read, from_write, number, silent_up_to.clone()));
            }
        });
        relay
    }

    fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_up_to.store(opened, Ordering::SeqCst);
    }
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    number: usize,
    silent_up_to: Arc<AtomicUsize>,
) {
    let mut buf = vec![0; 16_384];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let silent = number <= silent_up_to.load(Ordering::SeqCst);
        if !silent && to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn peers_wrong_key_gets_nothing() {
    let served = Arc::new(AtomicUsize::new(0));
    let server = PeerServer::bind(loopback(), KEY, echo(served.clone()))
        .await
        .unwrap();
    let stranger = Peers::new("a".into(), "other");
    let err = stranger
        .call(&member(server.local_addr()), PeerRequest::Ping, LIMIT)
        .await
        .unwrap_err();
    assert!(matches!(err, PeerError::Connect { .. }), "{err}");
    assert_eq!(served.load(Ordering::SeqCst), 0);

    let mut raw = TcpStream::connect(server.local_addr()).await.unwrap();
    raw.write_all(b"hyk1").await.unwrap();
    raw.write_all(&[7; 64]).await.unwrap();
    raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .unwrap();
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(LIMIT, raw.read_to_end(&mut answer)).await;
    assert_eq!(
        answer.len(),
        32,
        "a stranger got more than a nonce: {answer:?}"
    );
}

#[tokio::test]
async fn peers_server_without_key_is_refused() {
    let server = PeerServer::bind(loopback(), "other", echo(Arc::default()))
        .await
        .unwrap();
    let peers = Peers::new("a".into(), KEY);
    let err = peers
        .call(&member(server.local_addr()), PeerRequest::Ping, LIMIT)
        .await
        .unwrap_err();
    assert!(err.not_sent(), "{err}");
}

#[tokio::test]
async fn peers_crossed_calls_get_own_answers() {
    let server = PeerServer::bind(loopback(), KEY, echo(Arc::default()))
        .await
        .unwrap();
    let peers = Peers::new("a".into(), KEY);
    let to = member(server.local_addr());
    let calls = (0..200).map(|id| {
        let (peers, to) = (&peers, &to);
        async move { (id, peers.call(to, ask(id), LIMIT).await) }
    });
    for (id, res) in join_all(calls).await {
        let Ok(PeerResponse::Decisions(decisions::Response::Decisions(found))) = res else {
            panic!("call {id}: {res:?}");
        };
        assert_eq!(found[0].request_id, id.to_string());
    }
}

#[tokio::test]
async fn peers_idle_silent_connection_is_replaced() {
    let server = PeerServer::bind(loopback(), KEY, echo(Arc::default()))
        .await
        .unwrap();
    let relay = Relay::spawn(server.local_addr()).await;
    let peers = Peers::new("a".into(), KEY);
    let to = member(relay.addr);
    peers.call(&to, PeerRequest::Ping, LIMIT).await.unwrap();
    relay.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let begun = Instant::now();
    let res = peers.call(&to, PeerRequest::Ping, LIMIT).await;
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
    assert!(begun.elapsed() < Duration::from_secs(3));
    assert_eq!(relay.opened.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn peers_connection_silent_during_call_fails_early_and_is_replaced() {
    let served = Arc::new(AtomicUsize::new(0));
    let server = PeerServer::bind(loopback(), KEY, echo(served.clone()))
        .await
        .unwrap();
    let relay = Relay::spawn(server.local_addr()).await;
    let peers = Peers::new("a".into(), KEY);
    let to = member(relay.addr);
    peers.call(&to, PeerRequest::Ping, LIMIT).await.unwrap();
    relay.silence_open_connections();
    let begun = Instant::now();
    let err = peers
        .call(&to, PeerRequest::Ping, Duration::from_secs(30))
        .await
        .unwrap_err();
    assert!(!err.not_sent(), "a sent call may have run: {err}");
    assert!(begun.elapsed() < Duration::from_secs(3), "{err}");
    assert_eq!(served.load(Ordering::SeqCst), 1, "a sent call was repeated");
    let res = peers.call(&to, PeerRequest::Ping, LIMIT).await;
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
}

#[tokio::test]
async fn peers_shutdown_finishes_calls() {
    let begun = Arc::new(AtomicBool::new(false));
    let flag = begun.clone();
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
    let peers = Arc::new(Peers::new("a".into(), KEY));
    let caller = peers.clone();
    let target = to.clone();
    let call = tokio::spawn(async move { caller.call(&target, PeerRequest::Ping, LIMIT).await });
    let deadline = Instant::now() + LIMIT;
    while !begun.load(Ordering::SeqCst) {
        assert!(Instant::now() < deadline);
        tokio::task::yield_now().await;
    }
    let begun = Instant::now();
    server.shutdown(LIMIT).await;
    assert!(begun.elapsed() < LIMIT);
    let res = call.await.unwrap();
    assert!(matches!(res, Ok(PeerResponse::Pong)), "{res:?}");
    let err = peers.call(&to, PeerRequest::Ping, LIMIT).await.unwrap_err();
    assert!(err.not_sent(), "{err}");
}
