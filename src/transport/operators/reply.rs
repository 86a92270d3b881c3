//! Responses to operators.

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, WWW_AUTHENTICATE},
};
use http_body_util::Full;
use serde::Serialize;
use viz::Body;

use crate::{
    coordination::configuration::outcome::{Outcome, Refusal},
    protocol::operators::Rejection,
};

/// A rejected call.
#[derive(Clone, Debug)]
pub(super) struct RejectedCall {
    status: StatusCode,
    reason: String,
}

impl RejectedCall {
    pub(super) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
        }
    }

    pub(super) fn bad_request(reason: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason)
    }

    pub(super) fn into_response(self) -> Response<Body> {
        let rejection = Rejection {
            error: self.reason.into(),
        };
        let mut res = json(self.status, &rejection);
        if self.status == StatusCode::UNAUTHORIZED {
            let headers = res.headers_mut();
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        res
    }
}

pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => full_response(status, "application/json", body),
        Err(e) => full_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            e.to_string().into(),
        ),
    }
}

pub(super) fn text(body: String) -> Response<Body> {
    full_response(StatusCode::OK, "text/plain; version=0.0.4", body.into())
}

fn full_response(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut res = Response::new(Body::Full(Full::new(Bytes::from(body))));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    res
}

/// Returns the HTTP status for a publication's outcome.
pub(super) fn status_of(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. }
        | Outcome::Repeated { .. }
        | Outcome::Unchanged { .. }
        | Outcome::Previewed { .. } => StatusCode::OK,
        Outcome::Refused(Refusal::Faults { .. }) => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Refused(
            Refusal::Conflicts { .. } | Refusal::BaseTooOld { .. } | Refusal::Raced { .. },
        ) => StatusCode::CONFLICT,
        Outcome::Refused(Refusal::TableDown { .. }) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Refused(Refusal::TableUnreadable { .. }) => StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}
