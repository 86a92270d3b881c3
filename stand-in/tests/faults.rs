//! Tests the faults common to all roles, as seen from a caller's connection.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use platform_api::engine::{ATTEMPT_HEADER, INCARNATION_HEADER, NOT_RUN_HEADER};
use stand_in::{
    client,
    control::{Control, Down, NextRequests},
    relay::Relay,
    server::RoleHandle,
    service::{IDEMPOTENCY_HEADER, Service, ServiceAnswer, ServiceConfig},
};
use support::{loopback, service_stats, wait_until};
use tokio::{net::TcpStream, time::timeout};

/// Longer than any response takes that arrives at all.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

async fn service() -> RoleHandle {
    Service::spawn(ServiceConfig::default(), loopback())
        .await
        .expect("spawn")
}

fn booking(key: &str) -> Request<Full<Bytes>> {
    Request::post("/book")
        .header(IDEMPOTENCY_HEADER, key)
        .header(ATTEMPT_HEADER, format!("attempt-{key}"))
        .header("host", "stand-in")
        .body(Full::default())
        .expect("request")
}

/// A connection that is kept open between calls.
struct Connection(SendRequest<Full<Bytes>>);

impl Connection {
    async fn open(peer: SocketAddr) -> Self {
        let stream = TcpStream::connect(peer).await.expect("connect");
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("handshake");
        tokio::spawn(connection);
        Self(sender)
    }

    async fn book(&mut self, key: &str) -> hyper::Result<Response<Incoming>> {
        self.0.ready().await?;
        self.0.send_request(booking(key)).await
    }
}

async fn answer(res: Response<Incoming>) -> ServiceAnswer {
    let body = res.into_body().collect().await.expect("body").to_bytes();
    serde_json::from_slice(&body).expect("answer")
}

#[tokio::test]
async fn service_counts_executions_and_echoes_headers() {
    let service = service().await;
    let mut connection = Connection::open(service.address).await;
    for _ in 0..2 {
        let res = connection.book("k1").await.unwrap();
        assert_eq!(res.headers()[ATTEMPT_HEADER], "attempt-k1");
        assert_eq!(answer(res).await.key, "k1");
    }
    assert_eq!(answer(connection.book("k2").await.unwrap()).await.serial, 2);
    let listed = client::get_json(service.control_address, "/executions").await;
    assert_eq!(service_stats(&service), listed.unwrap());
    assert_eq!(service_stats(&service).executions_of_key("k1"), 2);
    assert_eq!(service.stats().accepted, 1);
}

#[tokio::test]
async fn lost_answers_are_still_executed() {
    let service = service().await;
    let control = Control::LoseAnswers {
        next: NextRequests::on_path("/book", 1),
    };
    client::control(service.control_address, &control)
        .await
        .unwrap();
    assert!(client::send(service.address, booking("k1")).await.is_err());
    assert_eq!(service_stats(&service).executions_of_key("k1"), 1);
    assert!(client::send(service.address, booking("k2")).await.is_ok());
}

#[tokio::test]
async fn each_down_mode_rejects_requests() {
    let service = service().await;
    let mut old = Connection::open(service.address).await;
    old.book("k0").await.unwrap();
    for how in [Down::Refuse, Down::Close] {
        service.control(&Control::Down { how }).unwrap();
        wait_until(|| service.stats().open == 0).await;
        assert!(old.book("k1").await.is_err());
        assert!(client::send(service.address, booking("k1")).await.is_err());
        service.control(&Control::Up).unwrap();
    }
    let how = Down::Unavailable;
    service.control(&Control::Down { how }).unwrap();
    let res = client::send(service.address, booking("k1")).await.unwrap();
    assert_eq!(res.headers()[NOT_RUN_HEADER], "true");
    assert_eq!(service_stats(&service).executions_of_key("k1"), 0);
    service.control(&Control::Heal).unwrap();
    let res = client::send(service.address, booking("k1")).await.unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(service_stats(&service).executions_of_key("k1"), 1);
}

#[tokio::test]
async fn refuse_mode_closes_the_listener() {
    let service = service().await;
    let how = Down::Refuse;
    service.control(&Control::Down { how }).unwrap();
    let mut refused = false;
    for _ in 0..1000 {
        refused = TcpStream::connect(service.address).await.is_err();
        if refused {
            break;
        }
    }
    assert!(refused);
}

#[tokio::test]
async fn freeze_blocks_old_and_new_connections() {
    let service = service().await;
    let mut old = Connection::open(service.address).await;
    old.book("k0").await.unwrap();
    service.control(&Control::Freeze { millis: None }).unwrap();
    let mut new = Connection::open(service.address).await;
    let both = futures::future::join(old.book("k1"), new.book("k2"));
    let mut both = Box::pin(both);
    assert!(timeout(RESPONSE_TIMEOUT, &mut both).await.is_err());
    assert_eq!(service_stats(&service).executed, 1);
    let stats = client::stats(service.control_address).await.unwrap();
    assert_eq!(stats.requests, 1);
    service.control(&Control::Thaw).unwrap();
    let (one, two) = both.await;
    assert_eq!(answer(one.unwrap()).await.key, "k1");
    assert_eq!(answer(two.unwrap()).await.key, "k2");
}

#[tokio::test]
async fn freeze_ends_after_its_duration() {
    let service = service().await;
    let millis = Some(50);
    service.control(&Control::Freeze { millis }).unwrap();
    let res = client::send(service.address, booking("k1")).await.unwrap();
    assert_eq!(answer(res).await.key, "k1");
}

#[tokio::test]
async fn silence_affects_only_established_connections() {
    let service = service().await;
    let mut one = Connection::open(service.address).await;
    let mut two = Connection::open(service.address).await;
    one.book("k0").await.unwrap();
    two.book("k0").await.unwrap();
    service.control(&Control::SilenceEstablished).unwrap();
    assert!(timeout(RESPONSE_TIMEOUT, one.book("k1")).await.is_err());
    let res = client::send(service.address, booking("k2")).await.unwrap();
    assert_eq!(answer(res).await.key, "k2");
    service.control(&Control::Heal).unwrap();
    assert!(timeout(RESPONSE_TIMEOUT, two.book("k3")).await.is_err());
    assert_eq!(service_stats(&service).executions_of_key("k1"), 0);
    assert_eq!(service_stats(&service).executions_of_key("k3"), 0);
}

#[tokio::test]
async fn crash_starts_a_new_incarnation() {
    let service = service().await;
    let first = client::send(service.address, booking("k1")).await.unwrap();
    let mut old = Connection::open(service.address).await;
    let restart = Duration::from_millis(30);
    service.control(&Control::Crash { restart }).unwrap();
    assert!(old.book("k2").await.is_err());
    let mut second = client::send(service.address, booking("k3")).await;
    while second.is_err() {
        second = client::send(service.address, booking("k3")).await;
    }
    let incarnation = |res: &Response<Incoming>| res.headers()[INCARNATION_HEADER].clone();
    assert_ne!(incarnation(&first), incarnation(&second.unwrap()));
    assert_eq!(service_stats(&service).executions_of_key("k2"), 0);
    assert_eq!(service.stats().crashes, 1);
}

#[tokio::test]
async fn crossed_answers_are_swapped() {
    let service = service().await;
    let next = NextRequests::any(2);
    service.control(&Control::CrossAnswers { next }).unwrap();
    let one = client::send(service.address, booking("k1"));
    let two = client::send(service.address, booking("k2"));
    let (one, two) = futures::future::join(one, two).await;
    let (one, two) = (one.unwrap(), two.unwrap());
    assert_eq!(one.headers()[ATTEMPT_HEADER], "attempt-k2");
    assert_eq!(answer(one).await.key, "k2");
    assert_eq!(answer(two).await.key, "k1");
}

#[tokio::test]
async fn delayed_answers_are_held_back() {
    let service = service().await;
    let by = RESPONSE_TIMEOUT;
    let next = NextRequests::any(1);
    service
        .control(&Control::DelayAnswers { next, by })
        .unwrap();
    let late = tokio::spawn(client::send(service.address, booking("k1")));
    wait_until(|| service_stats(&service).executions_of_key("k1") == 1).await;
    let other = client::send(service.address, booking("k2")).await.unwrap();
    assert_eq!(answer(other).await.key, "k2");
    assert!(!late.is_finished());
    assert_eq!(answer(late.await.unwrap().unwrap()).await.key, "k1");
}

#[tokio::test]
async fn duplicated_answers_are_sent_twice() {
    let service = service().await;
    let next = NextRequests::any(1);
    service
        .control(&Control::DuplicateAnswers { next })
        .unwrap();
    let mut stream = TcpStream::connect(service.address).await.unwrap();
    let head = "POST /book HTTP/1.1\r\nhost: s\r\nidempotency-key: k1\r\ncontent-length: 0\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
        .await
        .unwrap();
    let mut text = String::new();
    while text.matches("\"key\":\"k1\"").count() < 2 {
        let mut buf = [0; 4096];
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buf);
        let read = timeout(Duration::from_secs(5), read)
            .await
            .unwrap()
            .unwrap();
        assert!(read > 0, "{text}");
        text.push_str(std::str::from_utf8(&buf[..read]).unwrap());
    }
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
    assert_eq!(service_stats(&service).executions_of_key("k1"), 1);
}

#[tokio::test]
async fn truncated_answers_end_early() {
    let service = service().await;
    let control = Control::TruncateAnswers {
        next: NextRequests::any(1),
        after_bytes: 5,
    };
    service.control(&control).unwrap();
    let res = client::send(service.address, booking("k1")).await.unwrap();
    let mut body = res.into_body();
    let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
    assert_eq!(first.len(), 5);
    assert!(body.frame().await.unwrap().is_err());
}

#[tokio::test]
async fn slow_role_delays_execution() {
    let service = service().await;
    service
        .control(&Control::Slow {
            by: RESPONSE_TIMEOUT,
        })
        .unwrap();
    let late = tokio::spawn(client::send(service.address, booking("k1")));
    wait_until(|| service.stats().open == 1).await;
    assert_eq!(service_stats(&service).executed, 0);
    late.await.unwrap().unwrap();
    assert_eq!(service_stats(&service).executed, 1);
}

#[tokio::test]
async fn relay_connections_are_cut_and_silenced() {
    let service = service().await;
    let relay = Relay::spawn(service.address, loopback()).await.unwrap();
    let mut connection = Connection::open(relay.address).await;
    let res = connection.book("k1").await.unwrap();
    assert_eq!(answer(res).await.key, "k1");
    relay.control(&Control::Cut).unwrap();
    wait_until(|| relay.stats().open == 0).await;
    assert!(connection.book("k2").await.is_err());
    let mut connection = Connection::open(relay.address).await;
    connection.book("k3").await.unwrap();
    relay.control(&Control::SilenceEstablished).unwrap();
    assert!(
        timeout(RESPONSE_TIMEOUT, connection.book("k4"))
            .await
            .is_err()
    );
    assert_eq!(service_stats(&service).executions_of_key("k4"), 0);
    let mut fresh = Connection::open(relay.address).await;
    assert_eq!(answer(fresh.book("k5").await.unwrap()).await.key, "k5");
}
