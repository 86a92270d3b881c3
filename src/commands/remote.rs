//! Operator requests to daemons; tries the next daemon when one does not respond.

use std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use http::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    cli::RemoteArgs,
    commands::Status,
    coordination::configuration::outcome::{Outcome, Refusal},
    protocol::operators::{PUBLISH_PATH, PublishBody, PublishReport, Rejection},
    transport::http_client::{HttpClient, HttpError, Reuse, Sent, Timeouts},
};

/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    head: Duration::from_secs(20),
    chunk: Duration::from_secs(5),
};

/// Why a verb failed on all daemons.
#[derive(Debug, thiserror::Error)]
pub enum RemoteError {
    /// The key file is unreadable or invalid.
    #[error("{}: {reason}", file.display())]
    KeyFile {
        /// The file.
        file: PathBuf,
        /// Why it cannot be used.
        reason: io::Error,
    },
    /// The HTTP request is invalid.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
    /// Every daemon was tried; this is the error response of the last one.
    #[error("{daemon}: {status}: {error}")]
    Rejected {
        /// The daemon.
        daemon: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
        /// The error message.
        error: String,
    },
    /// No daemon responded, and none has executed the request.
    #[error("no daemon answered: {0}")]
    NoResponse(HttpError),
    /// A daemon may have executed the request, and none returned the outcome.
    #[error("outcome unknown, run it again: {0}")]
    Unknown(String),
}

impl RemoteError {
    /// Returns the exit status for this error.
    pub fn status(&self) -> Status {
        match self {
            Self::KeyFile { .. } | Self::Request(_) => Status::Usage,
            Self::Rejected { .. } | Self::NoResponse(_) => Status::Failed,
            Self::Unknown(_) => Status::Unknown,
        }
    }
}

/// Client for the operators' endpoints of the fleet.
#[derive(Debug)]
pub struct FleetClient {
    daemons: Vec<SocketAddr>,
    key: String,
}

/// Response of one daemon.
struct Response {
    daemon: SocketAddr,
    status: StatusCode,
    body: Bytes,
}

impl FleetClient {
    /// Reads the operator's key.
    pub fn open(args: &RemoteArgs) -> Result<Self, RemoteError> {
        let failed = |reason| RemoteError::KeyFile {
            file: args.key_file.clone(),
            reason,
        };
        let key = fs::read_to_string(&args.key_file).map_err(failed)?;
        let key = key.trim().to_owned();
        if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(failed(io::Error::other(
                "must contain a single key of visible ASCII characters",
            )));
        }
        Ok(Self {
            daemons: args.daemons.clone(),
            key,
        })
    }

    /// Reads `path` from the first daemon that returns a valid response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RemoteError> {
        let mut failure = None;
        for daemon in &self.daemons {
            match send(*daemon, self.request(Method::GET, path, Bytes::new())?).await {
                Ok(response) if response.status == StatusCode::OK => match response.parse() {
                    Ok(value) => return Ok(value),
                    Err(e) => failure = Some(e),
                },
                Ok(response) => failure = Some(response.rejected()),
                Err(e) => failure = failure.or(Some(RemoteError::NoResponse(e))),
            }
        }
        Err(failure.unwrap_or_else(|| RemoteError::Unknown("no daemon address was given".into())))
    }

    /// Publishes through the first daemon that returns a final outcome. All daemons get the same
    /// publish id, so that the edit is applied at most once.
    pub async fn publish(&self, body: &PublishBody) -> Result<PublishReport, RemoteError> {
        let body = encode(body)?;
        let mut attempts = PublishAttempts::default();
        for daemon in &self.daemons {
            let req = self.request(Method::POST, PUBLISH_PATH, body.clone())?;
            match send(*daemon, req).await {
                Ok(response) => match response.parse::<PublishReport>() {
                    Ok(report) if is_final(&report.outcome) => return attempts.conclude(report),
                    Ok(report) => attempts.record_inconclusive(report),
                    Err(_) => attempts.rejected(&response),
                },
                Err(e) => attempts.failed(e),
            }
        }
        attempts.finish()
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, RemoteError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        Ok(req)
    }
}

async fn send(daemon: SocketAddr, req: Request<Full<Bytes>>) -> Result<Response, HttpError> {
    let client = HttpClient::new(daemon);
    let mut exchange = client.send(req, Reuse::Fresh, TIMEOUTS).await?;
    let status = exchange.status();
    let body = exchange.bytes(MAX_RESPONSE_BYTES).await?;
    Ok(Response {
        daemon,
        status,
        body,
    })
}

impl Response {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, RemoteError> {
        serde_json::from_slice(&self.body).map_err(|e| RemoteError::Rejected {
            daemon: self.daemon,
            status: self.status,
            error: e.to_string(),
        })
    }

    fn rejected(&self) -> RemoteError {
        let error = match serde_json::from_slice::<Rejection>(&self.body) {
            Ok(rejection) => rejection.error.into(),
            Err(_) => String::from_utf8_lossy(&self.body).into_owned(),
        };
        RemoteError::Rejected {
            daemon: self.daemon,
            status: self.status,
            error,
        }
    }
}

/// Results of the daemons tried so far for one publish request.
#[derive(Default)]
struct PublishAttempts {
    /// Whether a daemon may have executed the request without returning the outcome.
    uncertain: bool,
    report: Option<PublishReport>,
    failure: Option<RemoteError>,
}

impl PublishAttempts {
    fn record_inconclusive(&mut self, report: PublishReport) {
        self.uncertain |= matches!(report.outcome, Outcome::Unknown { .. });
        self.report = Some(report);
    }

    fn rejected(&mut self, response: &Response) {
        self.uncertain |= response.status == StatusCode::GATEWAY_TIMEOUT;
        self.failure = Some(response.rejected());
    }

    fn failed(&mut self, e: HttpError) {
        self.uncertain |= e.sent == Sent::Maybe;
        if self.failure.is_none() {
            self.failure = Some(RemoteError::NoResponse(e));
        }
    }

    /// Returns a final report, or an unknown outcome if the report is a `Raced` refusal while an
    /// earlier attempt may still take effect.
    fn conclude(&self, report: PublishReport) -> Result<PublishReport, RemoteError> {
        match report.outcome {
            Outcome::Refused(Refusal::Raced { .. }) if self.uncertain => {
                Err(RemoteError::Unknown(report.outcome.to_string()))
            }
            _ => Ok(report),
        }
    }

    fn finish(self) -> Result<PublishReport, RemoteError> {
        let failure = self.failure;
        match self.report {
            Some(report) if self.uncertain && report.outcome.generation().is_none() => {
                Err(RemoteError::Unknown(report.outcome.to_string()))
            }
            Some(report) => Ok(report),
            None if self.uncertain => Err(RemoteError::Unknown(
                failure.map_or_else(|| "no daemon answered".into(), |e| e.to_string()),
            )),
            None => Err(failure
                .unwrap_or_else(|| RemoteError::Unknown("no daemon address was given".into()))),
        }
    }
}

/// Whether trying another daemon cannot give a better outcome.
fn is_final(outcome: &Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Unknown { .. }
            | Outcome::Refused(Refusal::TableDown { .. } | Refusal::TableUnreadable { .. })
    )
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, RemoteError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| RemoteError::Unknown(e.to_string()))
}
