//! Tests the client of model engines against the stand-in.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hibiscusyoke::transport::{
    engine::{
        EngineClient, EngineRequest,
        error::{EngineError, FailureCause},
    },
    http_client::Reuse,
};
use platform_api::engine::{ChatMessage, ChatRequest};
use stand_in::{
    engine::{Engine, EngineConfig, VersionConfig},
    server::RoleHandle,
    stats::RoleStats,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const VERSION: &str = "draft-1";
/// Size of an event that does not end.
const EVENT_BYTES: usize = 64 << 20;

fn engine_request(attempt: &str) -> EngineRequest {
    EngineRequest {
        attempt: attempt.into(),
        req: ChatRequest {
            model: VERSION.into(),
            messages: vec![ChatMessage {
                role: "user".into(),
                content: "tokens=1 lease".into(),
            }],
            stream: false,
            max_tokens: None,
        },
        priority: 0,
        resume_from: 0,
        limit: Duration::from_secs(10),
    }
}

fn attempts(engine: &RoleHandle) -> usize {
    match engine.stats().role {
        RoleStats::Engine(stats) => stats.attempts.len(),
        other => panic!("{other:?}"),
    }
}

/// Returns a check of a lease that expires after `checks` checks, as during a process pause.
fn lease_expiring_after(checks: u32) -> Arc<dyn Fn() -> bool + Send + Sync> {
    let left = AtomicU32::new(checks);
    Arc::new(move || {
        left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
            .is_ok()
    })
}

#[tokio::test]
async fn complete_sends_nothing_after_the_lease_expires() {
    let cfg = EngineConfig::warm([VersionConfig::new(VERSION, 0.7)]);
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = Engine::spawn(cfg, address).await.unwrap();
    let client = EngineClient::new(engine.address).with_send_check(lease_expiring_after(1));
    client
        .complete(&engine_request("one"), Reuse::Idle)
        .await
        .unwrap();
    for reuse in [Reuse::Idle, Reuse::Fresh] {
        let e = client
            .complete(&engine_request("two"), reuse)
            .await
            .unwrap_err();
        assert!(e.not_run(), "{e}");
        assert_eq!(e.failure_cause(), FailureCause::Busy);
    }
    assert_eq!(attempts(&engine), 1);
}

/// Sends the start of an event and then more of it, and keeps the connection open.
async fn send_event_without_end(mut connection: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = connection.read(&mut request).await?;
    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
    connection.write_all(head).await?;
    connection.write_all(&vec![b'x'; EVENT_BYTES]).await?;
    std::future::pending().await
}

/// The bytes must not be kept until the memory is used up.
#[tokio::test]
async fn stream_of_one_event_without_end_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EngineClient::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(send_event_without_end(connection));
        }
    });
    let request = engine_request("one");
    let mut stream = client.stream(&request, Reuse::Fresh).await.unwrap();
    let error = stream.next().await.unwrap_err();
    assert!(matches!(error, EngineError::Truncated { .. }), "{error}");
}

/// An answer of an engine that runs a request, after the refusal that it gives first.
const SERVED: &str = "{\"id\":\"ID\",\"model\":\"draft-1\",\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":0,\"total_tokens\":1}}";

/// Answers the first request of each connection as asked, and the second one with a refusal that names
/// `second_id` as its attempt.
async fn serve_late_refusal(
    mut connection: TcpStream,
    second_id: Option<&str>,
) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = connection.read(&mut request).await?;
    let body = SERVED.replace("ID", "one");
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: one\r\ncontent-length: {length}\r\n\r\n");
    connection
        .write_all(format!("{head}{body}").as_bytes())
        .await?;
    let _ = connection.read(&mut request).await?;
    let echoed = second_id.map_or_else(String::new, |id| format!("x-attempt-id: {id}\r\n"));
    let refusal =
        format!("HTTP/1.1 503 Full\r\n{echoed}x-not-run: true\r\ncontent-length: 4\r\n\r\nfull");
    connection.write_all(refusal.as_bytes()).await?;
    std::future::pending().await
}

/// A request that an engine may have run counted as not run, as the refusal of an earlier one was written
/// once more on a kept connection.
#[tokio::test]
async fn late_refusal_on_a_kept_connection_promises_nothing() {
    for (second_id, is_refusal) in [(Some("earlier"), false), (None, false), (Some("two"), true)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = EngineClient::new(listener.local_addr().unwrap());
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serve_late_refusal(connection, second_id));
            }
        });
        let first = client.complete(&engine_request("one"), Reuse::Idle).await;
        first.unwrap();
        let second = client.complete(&engine_request("two"), Reuse::Idle).await;
        let error = second.unwrap_err();
        assert_eq!(error.not_run(), is_refusal, "{second_id:?}: {error}");
    }
}
