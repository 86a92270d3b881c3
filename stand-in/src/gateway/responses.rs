//! Responses of a fake of an upstream.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio_stream::wrappers::ReceiverStream;

use super::behaviour::{Behaviour, ErrorAnswer};

/// A response body, either whole or a stream.
pub(super) type Body =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, std::io::Error>>>>;

/// Returns the text of a header; empty if it is missing.
pub(super) fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the refusal of an upstream that refuses requests, as one that did not execute the request.
pub(super) fn refusal(behaviour: Behaviour, id: &str) -> Option<Response<Body>> {
    let pause = match behaviour {
        Behaviour::Refuse => None,
        Behaviour::RefuseWithPause(seconds) => Some(seconds),
        _ => return None,
    };
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, id, None);
    let headers = response.headers_mut();
    headers.insert("not-executed", "1".parse().expect("valid header value"));
    if let Some(seconds) = pause {
        headers.insert("retry-after", seconds.into());
    }
    Some(response)
}

/// Adds what an upstream with this behaviour announces of itself.
pub(super) fn announce(behaviour: Behaviour, response: &mut Response<Body>) {
    let headers = response.headers_mut();
    match behaviour {
        Behaviour::Leave => {
            let value = "1".parse().expect("valid header value");
            headers.insert("server-leaving", value);
        }
        Behaviour::Limit(per_kilosecond) => {
            let per_second = f64::from(per_kilosecond) / 1e3;
            let value = per_second.to_string().parse().expect("valid header value");
            headers.insert("server-limit", value);
        }
        Behaviour::Brittle(max_refusals) => name_brittle(response, max_refusals),
        _ => {}
    }
}

/// Adds that the upstream is brittle.
pub(super) fn name_brittle(response: &mut Response<Body>, max_refusals: u32) {
    let headers = response.headers_mut();
    headers.insert("server-brittle", max_refusals.into());
}

/// Returns a response with a body that names the request.
pub(super) fn full_response(status: StatusCode, id: &str, seal: Option<&str>) -> Response<Body> {
    let body = Bytes::from(format!("answer to {id}"));
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    sign(&mut response, id, seal);
    response
}

/// Adds the id of the request and, if there is one, the signature.
pub(super) fn sign(response: &mut Response<Body>, id: &str, seal: Option<&str>) {
    let headers = response.headers_mut();
    headers.insert("request-id", id.parse().expect("valid header value"));
    if let Some(seal) = seal {
        headers.insert("response-seal", seal.parse().expect("valid header value"));
    }
}

/// Returns the answer of an upstream that has executed a request and reports a failure.
pub(super) fn error_response(error: ErrorAnswer, id: &str) -> Response<Body> {
    let mut response = full_response(error.status, id, error.is_signed.then_some("s"));
    if let Some(seconds) = error.retry_after_s {
        let headers = response.headers_mut();
        headers.insert("retry-after", seconds.into());
    }
    response
}
