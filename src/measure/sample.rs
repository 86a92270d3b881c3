//! What became of one request.

use std::time::Duration;

use http::StatusCode;
use platform_api::engine::ChatResponse;
use stand_in::engine::text::parse_true_quality;

use crate::{
    local::{
        LocalError,
        caller::{Answer, Streamed},
    },
    measure::traffic::Traffic,
};

/// What the caller got.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The whole answer.
    Answered {
        /// The version that answered, if a version did.
        version: String,
        /// The true quality of the answer, if a version answered.
        quality: Option<f64>,
        /// From sending to the first token, if the answer was streamed.
        first_token: Option<Duration>,
    },
    /// A refusal, and whether it says when to come back.
    Refused {
        /// Whether it does.
        comes_back: bool,
    },
    /// An error, or an answer that is not whole.
    Failed {
        /// What went wrong.
        reason: String,
    },
}

/// One request with its outcome.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) traffic: Traffic,
    /// When it was due, from the run's start.
    pub(super) at: Duration,
    /// When its end came, from the time at which it was due.
    pub(super) took: Duration,
    pub(super) outcome: Outcome,
}

impl Outcome {
    pub(super) fn of_whole(answer: Result<Answer, LocalError>) -> Self {
        let answer = match answer {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => return Self::of_refusal(&answer),
            Err(e) => return Self::failed(&e),
        };
        match serde_json::from_slice::<ChatResponse>(&answer.body) {
            Ok(chat) => Self::of_chat(&chat),
            Err(e) => Self::failed(&e),
        }
    }

    pub(super) fn of_chat(chat: &ChatResponse) -> Self {
        let text = chat.choices.first().map_or("", |c| &c.message.content);
        Self::Answered {
            version: chat.model.to_string(),
            quality: parse_true_quality(text),
            first_token: None,
        }
    }

    pub(super) fn of_stream(answer: Result<Streamed, LocalError>) -> Self {
        let streamed = match answer {
            Ok(streamed) => streamed,
            Err(e) => return Self::failed(&e),
        };
        if streamed.whole {
            let version = streamed.headers.get("version");
            let version = version.and_then(|v| v.to_str().ok()).unwrap_or_default();
            return Self::Answered {
                version: version.into(),
                quality: parse_true_quality(&streamed.text),
                first_token: Some(streamed.first_token),
            };
        }
        let reason = streamed.error.unwrap_or_else(|| "cut short".into());
        let comes_back = streamed.headers.contains_key("retry-after");
        let refused = comes_back || reason.contains("not_run");
        if streamed.tokens == 0 && refused {
            return Self::Refused { comes_back };
        }
        Self::Failed { reason }
    }

    pub(super) fn of_lookup(answer: Result<Answer, LocalError>) -> Self {
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => Self::Answered {
                version: String::new(),
                quality: None,
                first_token: None,
            },
            Ok(answer) => Self::of_refusal(&answer),
            Err(e) => Self::failed(&e),
        }
    }

    pub(super) fn failed(reason: &dyn ToString) -> Self {
        Self::Failed {
            reason: reason.to_string(),
        }
    }

    /// Only a refusal that was not run and is not the upstreams' fault counts as one.
    fn of_refusal(answer: &Answer) -> Self {
        let comes_back = answer.headers.contains_key("retry-after");
        let overloaded = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if overloaded.contains(&answer.status) {
            return Self::Refused { comes_back };
        }
        let body = String::from_utf8_lossy(&answer.body);
        Self::Failed {
            reason: format!("{}: {body}", answer.status),
        }
    }
}
