//! HTTP/2 connections with many requests that stop short.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{
    StreamExt,
    future::{join, join_all},
    stream,
};
use http::Request;
use http_body_util::StreamBody;
use hyper::{body::Frame, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// Time that a crowd of streams is given to send.
pub(crate) const STREAM_TIME: Duration = Duration::from_secs(8);

/// Number of streams of a connection.
const STREAMS: usize = 64;
/// Content of each stream, of which more is announced.
const SENT_BYTES: usize = (1 << 20) - 1;

/// Opens a connection whose streams all send a body that stops short, until the task is dropped.
pub(crate) async fn send_streams_that_stop_short(
    address: SocketAddr,
    path: &'static str,
    key: &'static str,
) {
    let Ok(connection) = TcpStream::connect(address).await else {
        return;
    };
    let builder = http2::Builder::new(TokioExecutor::new());
    let Ok((sender, connection)) = builder.handshake(TokioIo::new(connection)).await else {
        return;
    };
    let streams = (0..STREAMS).map(|_| {
        let mut sender = sender.clone();
        async move {
            let block = Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; SENT_BYTES])));
            let body = StreamBody::new(stream::iter([block]).chain(stream::pending()));
            let req = Request::post(format!("http://{address}{path}"))
                .header("authorization", format!("Bearer {key}"))
                .body(body)
                .expect("a valid request");
            // A refused stream ends early.
            let _ = sender.send_request(req).await;
        }
    });
    // Either ends if the connection is closed.
    let _ = join(connection, join_all(streams)).await;
}
