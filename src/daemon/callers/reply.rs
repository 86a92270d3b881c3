//! Converts replies and refusals into HTTP responses.

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderName, HeaderValue, header};
use serde::Serialize;
use tokio_stream::wrappers::ReceiverStream;
use viz::{Body, Response};

use crate::{
    daemon::chat::call::{ChatReply, ReplyBody},
    protocol::problem::{MEDIA_TYPE, Problem, Refusal, RefusalKind, retry_after_seconds},
};

/// Header with the request id, for `explain`.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("request-id");
/// Header with the version that produced the answer.
const VERSION_HEADER: HeaderName = HeaderName::from_static("version");
/// Header with the session token.
const SESSION_HEADER: HeaderName = HeaderName::from_static("session");

/// Converts a completion reply into a response.
pub(super) fn to_response(request_id: &str, reply: ChatReply) -> Response {
    let (body, media_type) = match reply.body {
        ReplyBody::Unstreamed(answer) => match serde_json::to_vec(&answer) {
            Ok(json) => (
                Body::from(http_body_util::Full::from(json)),
                "application/json",
            ),
            Err(e) => {
                let refusal = Refusal::unknown(RefusalKind::Internal, "deliver", e.to_string());
                return problem_response(request_id, &refusal);
            }
        },
        ReplyBody::Stream(events) => {
            let chunks = ReceiverStream::new(events).map(Ok::<Bytes, std::io::Error>);
            (Body::from_stream(chunks), "text/event-stream")
        }
    };
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    insert_header(headers, REQUEST_ID_HEADER, request_id);
    insert_header(headers, VERSION_HEADER, &reply.version);
    if let Some(session) = &reply.session {
        insert_header(headers, SESSION_HEADER, session);
    }
    res
}

/// Returns a response with a JSON body.
pub(super) fn json_response<T: Serialize>(value: &T) -> Result<Response, Refusal> {
    let body = serde_json::to_vec(value)
        .map_err(|e| Refusal::not_run(RefusalKind::Internal, "deliver", e.to_string()))?;
    let mut res = Response::new(Body::from(http_body_util::Full::from(body)));
    let media_type = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, media_type);
    Ok(res)
}

/// Converts a refusal into a problem response.
pub(super) fn problem_response(request_id: &str, refusal: &Refusal) -> Response {
    let body = serde_json::to_vec(&Problem::new(request_id, refusal)).unwrap_or_default();
    let mut res = Response::new(Body::from(http_body_util::Full::from(body)));
    *res.status_mut() = refusal.status();
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    insert_header(headers, REQUEST_ID_HEADER, request_id);
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, retry_after_seconds(after).into());
    }
    res
}

/// Sets the header with the request id.
pub(super) fn set_request_id(res: &mut Response, request_id: &str) {
    insert_header(res.headers_mut(), REQUEST_ID_HEADER, request_id);
}

fn insert_header(headers: &mut http::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
