//! HTTP bodies and responses.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use platform_api::engine::NOT_RUN_HEADER;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum length of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 20;

/// Error that makes the server close the connection in the middle of an exchange.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("connection cut by an injected fault")]
pub(crate) struct ConnectionCut;

/// Response body.
pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionCut>;

/// Response with a full or streamed body.
pub(crate) type HttpResponse = Response<Body>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|e: Infallible| match e {})
        .boxed_unsync()
}

pub(crate) fn json<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type("application/json", full(body)),
        Err(e) => refusal(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

pub(crate) fn with_content_type(content_type: &'static str, body: Body) -> HttpResponse {
    let mut res = Response::new(body);
    res.headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    res
}

/// Builds a response to a request that was not executed.
pub(crate) fn refusal(status: StatusCode, reason: &str) -> HttpResponse {
    let mut res = Response::new(full(reason.to_owned()));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(NOT_RUN_HEADER, http::HeaderValue::from_static("true"));
    res
}

pub(crate) fn header<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Sets a header unless its value is invalid.
pub(crate) fn set_header(res: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

pub(crate) async fn read_bytes(req: Request<Incoming>) -> Result<Bytes, HttpResponse> {
    let limited = Limited::new(req.into_body(), MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) => Err(refusal(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}

pub(crate) async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<T, HttpResponse> {
    let body = read_bytes(req).await?;
    serde_json::from_slice(&body).map_err(|e| refusal(StatusCode::BAD_REQUEST, &e.to_string()))
}
