//! Options of TCP connections.

use std::time::Duration;

use platform::net;
use socket2::SockRef;
use tokio::net::TcpListener;

/// `TCP_USER_TIMEOUT` also decides when keepalive probes give up.
#[tokio::test]
async fn silence_timeout_bounds_data_and_keepalive_probes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let silence = Duration::from_millis(2_500);
    let timeout = Duration::from_secs(1);
    let stream = net::connect(address, timeout, silence)
        .await
        .expect("connected");
    let socket = SockRef::from(&stream);
    assert_eq!(socket.tcp_user_timeout().expect("read"), Some(silence));
    let probed_after = socket.tcp_keepalive_time().expect("read");
    assert!(socket.keepalive().expect("read") && probed_after < silence);
}

#[tokio::test]
async fn connections_leave_from_the_own_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let local = "127.0.0.9".parse().expect("an address");
    let timeout = Duration::from_secs(1);
    let connected = net::connect_from(local, address, timeout, timeout).await;
    connected.expect("connected");
    let (_, from) = listener.accept().await.expect("accepted");
    assert_eq!(from.ip(), local);
}
