//! Answers where a request would go now, without sending it, on the metrics listener.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::headers::RequestHead;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    coordination::dispatch::{PlacementRequest, explain::Explanation},
    gateway::{call::DEFAULT_CALLER_TIMEOUT, reply::plain, shared::Shared},
};

/// HTTP path of the answers.
pub const PATH: &str = "/explain-route";
/// Maximum size of a question in bytes.
const MAX_QUESTION_BYTES: usize = 16 << 10;
/// Time within which a question must arrive.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// The properties of a request that its placement depends on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteQuestion {
    /// Name of the route.
    pub route: CompactString,
    /// Name of the customer.
    pub customer: Option<CompactString>,
    /// The model; `*` if the gateway chooses it.
    pub model: Option<CompactString>,
    /// The session, or the request's id.
    pub session: Option<CompactString>,
    /// Parts of the prompt as in the header `prompt-prefix`.
    pub prompt_parts: Option<CompactString>,
    /// Tokens of the prompt and of the response as in the header `token-usage`.
    pub tokens: Option<CompactString>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Size of the body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

/// Where a request would go, and what was assumed of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// The model that the gateway would choose first.
    pub model: Option<CompactString>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The decision.
    #[serde(flatten)]
    pub explanation: Explanation,
}

/// Why a question cannot be answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
enum QuestionError {
    /// It comes from another instance.
    NotFromThisInstance,
    /// It is not a question, or a value in it is invalid.
    BadQuestion,
    /// The gateway has not read a configuration yet.
    NoConfiguration,
    /// There is no such route.
    NoRoute,
    /// There is no such customer.
    NoCustomer,
    /// The route has no service.
    NoService,
}

impl QuestionError {
    fn status(self) -> StatusCode {
        match self {
            Self::NotFromThisInstance => StatusCode::FORBIDDEN,
            Self::BadQuestion => StatusCode::BAD_REQUEST,
            Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoCustomer | Self::NoService => StatusCode::NOT_FOUND,
        }
    }
}

/// The two ends of the connection on which a question arrives.
#[derive(Clone, Copy, Debug)]
pub struct Ends {
    /// Address of the asking process.
    pub peer: SocketAddr,
    /// Address that it connected to.
    pub local: SocketAddr,
}

/// Answers a question from a process on this instance.
pub async fn answer(shared: &Shared, ends: Ends, req: Request<Incoming>) -> Response<Full<Bytes>> {
    const JSON: &str = "application/json";
    let answered = match is_from_this_instance(shared, ends) {
        true => read_question(req)
            .await
            .and_then(|question| explain(shared, &question)),
        false => Err(QuestionError::NotFromThisInstance),
    };
    let (status, body) = match answered.map(|answer| serde_json::to_vec(&answer)) {
        Ok(Ok(body)) => (StatusCode::OK, body),
        Ok(Err(e)) => {
            log::error!("event=explanation_unwritable error=\"{e}\"");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
        Err(e) => (e.status(), format!("{{\"error\":\"{e}\"}}").into_bytes()),
    };
    plain(status, JSON, body.into())
}

/// Returns whether questions are answered on a listening address, which is that of the metrics.
pub fn is_answered_on(shared: &Shared, local: SocketAddr) -> bool {
    shared.settings.metrics.is_some_and(|metrics| {
        let same_ip = metrics.ip().is_unspecified() || metrics.ip() == local.ip();
        same_ip && metrics.port() == local.port()
    })
}

/// Whether both ends of a connection have addresses of this instance. Other hosts cannot connect from
/// one of them.
fn is_from_this_instance(shared: &Shared, ends: Ends) -> bool {
    let settings = &shared.settings;
    let own: [IpAddr; 3] = [ends.local.ip(), settings.ip, settings.front.ip()];
    own.contains(&ends.peer.ip())
}

async fn read_question(req: Request<Incoming>) -> Result<RouteQuestion, QuestionError> {
    if req.method() != Method::POST {
        return Err(QuestionError::BadQuestion);
    }
    let body = Limited::new(req.into_body(), MAX_QUESTION_BYTES).collect();
    let body = tokio::time::timeout(QUESTION_TIMEOUT, body).await;
    let body = body.map_err(|_| QuestionError::BadQuestion)?;
    let body = body.map_err(|_| QuestionError::BadQuestion)?.to_bytes();
    serde_json::from_slice(&body).map_err(|_| QuestionError::BadQuestion)
}

fn explain(shared: &Shared, question: &RouteQuestion) -> Result<RouteAnswer, QuestionError> {
    let head = request_head(question).ok_or(QuestionError::BadQuestion)?;
    let now = shared.now();
    let dispatcher = shared.dispatcher();
    let routes = dispatcher.routes().ok_or(QuestionError::NoConfiguration)?;
    let route = routes
        .by_name(&question.route)
        .ok_or(QuestionError::NoRoute)?;
    let priority = match &question.customer {
        Some(name) => routes
            .customer(name)
            .ok_or(QuestionError::NoCustomer)?
            .priority
            .unwrap_or(route.priority),
        None => route.priority,
    };
    let mut draws = dispatcher.next_draws();
    let service = draws.pick_service(route).ok_or(QuestionError::NoService)?;
    let model = head.any_model.then(|| route.models.first()).flatten();
    let session = head.session.as_deref().unwrap_or_default();
    let caller_timeout = head.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let request = PlacementRequest {
        service: &service,
        route: &route.name,
        session: xxh3_64(session.as_bytes()),
        model: model.map(CompactString::as_str),
        prompt: head.prompt.as_ref(),
        body_bytes: question.body_bytes,
        tried: &[],
        remaining: caller_timeout.min(route.timeout),
    };
    Ok(RouteAnswer {
        model: model.cloned(),
        priority,
        explanation: dispatcher.explain(&request, draws, now),
    })
}

/// Decodes the question like the headers of a request; `None` if a value is invalid.
fn request_head(question: &RouteQuestion) -> Option<RequestHead> {
    let deadline_ms = question.deadline_ms.map(|ms| ms.to_string());
    let values = [
        ("model", question.model.as_deref()),
        ("session", question.session.as_deref()),
        ("prompt-prefix", question.prompt_parts.as_deref()),
        ("token-usage", question.tokens.as_deref()),
        ("deadline-ms", deadline_ms.as_deref()),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in values {
        if let Some(value) = value {
            let value = HeaderValue::from_str(value).ok()?;
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    RequestHead::decode(&headers).ok()
}
