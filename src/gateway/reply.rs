//! Answers to callers: those of upstreams, and the gateway's own.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use platform::headers::retry_after;
use thiserror::Error;
use tokio_stream::wrappers::ReceiverStream;

/// A stream that ended before its last event; the connection is closed without an end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream was broken off")]
pub struct StreamAborted;

/// The events of a stream, as they come.
pub type EventBody = StreamBody<ReceiverStream<Result<Frame<Bytes>, StreamAborted>>>;
/// The body of an answer: whole, or as it comes.
pub type Body = Either<Full<Bytes>, EventBody>;

/// Why the gateway answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The head of the request is not valid.
    BadRequest,
    /// No route serves it.
    NoRoute,
    /// Its key is missing or not in force.
    NoCustomer,
    /// Its body is over the limit.
    BodyTooLarge,
    /// Its body did not come whole.
    BodyBroken,
    /// No configuration has been read yet.
    NoConfiguration,
    /// No upstream can take it now; it has not run.
    #[display("no_place")]
    NoSlot,
    /// It has crashed upstreams; it has not run this time.
    Poison,
    /// Each upstream that it was sent to refused to run it.
    RefusedByUpstreams,
    /// It may have run, but no whole answer came.
    NoAnswer,
    /// Its time ran out.
    Timeout,
}

impl RefusalReason {
    /// The status with which the caller is told.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoCustomer => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration | Self::NoSlot | Self::Poison | Self::RefusedByUpstreams => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The gateway's own answer; `wait` says when to come back.
pub fn refuse(reason: RefusalReason, wait: Option<Duration>) -> Response<Body> {
    let text = Bytes::from(format!("{{\"error\":\"{reason}\"}}"));
    let mut response = Response::new(Either::Left(Full::new(text)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Some(wait) = wait {
        let (name, value) = retry_after(wait);
        headers.insert(name, value);
    }
    response
}

/// An upstream's whole answer.
pub fn buffered(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    build_response(status, headers, Either::Left(Full::new(body)))
}

/// An upstream's answer whose events come one after another.
pub fn stream(status: StatusCode, headers: HeaderMap, body: EventBody) -> Response<Body> {
    build_response(status, headers, Either::Right(body))
}

/// A plain answer of the directory, the readiness check or the metrics.
pub fn plain(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// An answer that cannot fail, as hyper's services want it.
pub type InfallibleResult<T> = Result<T, Infallible>;

fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
