//! Outcomes of requests.

use std::time::Duration;

use http::StatusCode;
use platform_api::engine::ChatResponse;
use stand_in::engine::text::parse_true_quality;

use crate::{
    local::{
        LocalError,
        caller::{Response, StreamedResponse},
    },
    measure::traffic::Traffic,
};

/// The outcome of a request, as seen by the caller.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// A complete answer.
    Answered {
        /// The version that answered; empty if a plain service did.
        version: String,
        /// The answer's true quality, if a version answered.
        quality: Option<f64>,
        /// Time to first token, if the answer was streamed.
        first_token: Option<Duration>,
    },
    /// A refusal.
    Refused {
        /// Whether the response has a `Retry-After` header.
        has_retry_after: bool,
    },
    /// An error or an incomplete answer.
    Failed {
        /// Description of the error.
        reason: String,
    },
}

/// A request's traffic, timing and outcome.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) traffic: Traffic,
    /// Scheduled time of arrival since the start of the run.
    pub(super) at: Duration,
    /// Time from the scheduled arrival to completion; delays in sending are included.
    pub(super) latency: Duration,
    pub(super) outcome: Outcome,
}

impl Outcome {
    pub(super) fn from_response(answer: Result<Response, LocalError>) -> Self {
        let answer = match answer {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => return Self::from_error_response(&answer),
            Err(e) => return Self::failed(&e),
        };
        match serde_json::from_slice::<ChatResponse>(&answer.body) {
            Ok(chat) => Self::from_chat(&chat),
            Err(e) => Self::failed(&e),
        }
    }

    pub(super) fn from_chat(chat: &ChatResponse) -> Self {
        let text = chat.choices.first().map_or("", |c| &c.message.content);
        Self::Answered {
            version: chat.model.to_string(),
            quality: parse_true_quality(text),
            first_token: None,
        }
    }

    pub(super) fn from_stream(answer: Result<StreamedResponse, LocalError>) -> Self {
        let streamed = match answer {
            Ok(streamed) => streamed,
            Err(e) => return Self::failed(&e),
        };
        if streamed.complete {
            let version = streamed.headers.get("version");
            let version = version.and_then(|v| v.to_str().ok()).unwrap_or_default();
            return Self::Answered {
                version: version.into(),
                quality: parse_true_quality(&streamed.text),
                first_token: Some(streamed.first_token),
            };
        }
        let reason = streamed.error.unwrap_or_else(|| "cut short".into());
        let has_retry_after = streamed.headers.contains_key("retry-after");
        let refused = has_retry_after || reason.contains("not_run");
        if streamed.tokens == 0 && refused {
            return Self::Refused { has_retry_after };
        }
        Self::Failed { reason }
    }

    pub(super) fn from_lookup(answer: Result<Response, LocalError>) -> Self {
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => Self::Answered {
                version: String::new(),
                quality: None,
                first_token: None,
            },
            Ok(answer) => Self::from_error_response(&answer),
            Err(e) => Self::failed(&e),
        }
    }

    pub(super) fn failed(reason: &dyn ToString) -> Self {
        Self::Failed {
            reason: reason.to_string(),
        }
    }

    /// Classifies an error response. Only an overload status counts as a refusal: the request was
    /// not run, and no upstream failed.
    fn from_error_response(answer: &Response) -> Self {
        let has_retry_after = answer.headers.contains_key("retry-after");
        let overloaded = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if overloaded.contains(&answer.status) {
            return Self::Refused { has_retry_after };
        }
        let body = String::from_utf8_lossy(&answer.body);
        Self::Failed {
            reason: format!("{}: {body}", answer.status),
        }
    }
}
