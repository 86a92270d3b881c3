//! Client of the service that rates completions.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use platform_api::rating::{PATH, RateRequest, Rating};

use crate::transport::http_client::{HttpClient, HttpError, Reuse, Timeouts};

/// Maximum length of a response in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// An error that occurred while requesting a rating.
#[derive(Clone, Debug, thiserror::Error)]
pub enum RatingError {
    /// The HTTP exchange failed.
    #[error("rating service: {0}")]
    Http(#[from] HttpError),
    /// The service refused the request.
    #[error("rating service {peer} refused the request: status {status}")]
    Refused {
        /// Address of the service.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response is invalid.
    #[error("rating service {peer} sent an invalid response: {reason}")]
    InvalidResponse {
        /// Address of the service.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
    },
}

/// Client of the rating service; clones share connections.
#[derive(Clone, Debug)]
pub struct RatingClient {
    http: HttpClient,
}

impl RatingClient {
    /// Creates a client of the service at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
        }
    }

    /// Requests a rating and waits at most `limit` for each step; the service is idempotent.
    pub async fn rate(&self, req: &RateRequest, limit: Duration) -> Result<Rating, RatingError> {
        let invalid_response = |e: &dyn ToString| RatingError::InvalidResponse {
            peer: self.http.peer(),
            reason: e.to_string(),
        };
        let body = serde_json::to_vec(req).map_err(|e| invalid_response(&e))?;
        let req = Request::post(PATH)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| invalid_response(&e))?;
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT.min(limit),
            head: limit,
            chunk: limit,
        };
        let mut exchange = self.http.send(req, Reuse::Idle, timeouts).await?;
        if exchange.status() != StatusCode::OK {
            return Err(RatingError::Refused {
                peer: self.http.peer(),
                status: exchange.status(),
            });
        }
        let body = exchange.bytes(MAX_BODY_BYTES).await?;
        serde_json::from_slice(&body).map_err(|e| invalid_response(&e))
    }
}
