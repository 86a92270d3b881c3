//! Client of the platform's instance list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::instances::{Instance, Instances, PATH};

use crate::transport::http_client::{HttpClient, HttpError, Reuse, Timeouts};

/// Maximum length of the list in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_millis(1_000),
    chunk: Duration::from_millis(1_000),
};

/// An error that occurred while reading the instance list.
#[derive(Clone, Debug, thiserror::Error)]
pub enum InstancesError {
    /// The HTTP exchange failed.
    #[error("instance list: {0}")]
    Http(#[from] HttpError),
    /// The platform refused the request.
    #[error("instance list {peer} refused the request: status {status}")]
    Refused {
        /// Address of the instance list.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response is invalid.
    #[error("instance list {peer} sent an invalid response: {reason}")]
    InvalidResponse {
        /// Address of the instance list.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
    },
}

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct InstancesClient {
    http: HttpClient,
}

impl InstancesClient {
    /// Creates a client of the list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(addr),
        }
    }

    /// Reads the list; retries on a new connection if a pooled one has gone silent.
    pub async fn read(&self) -> Result<Vec<Instance>, InstancesError> {
        match self.read_on(Reuse::Idle).await {
            Err(InstancesError::Http(e)) if e.timed_out => self.read_on(Reuse::Fresh).await,
            other => other,
        }
    }

    async fn read_on(&self, reuse: Reuse) -> Result<Vec<Instance>, InstancesError> {
        let peer = self.http.peer();
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = http::Uri::from_static(PATH);
        let mut res = self.http.send(req, reuse, TIMEOUTS).await?;
        let status = res.status();
        if status != StatusCode::OK {
            return Err(InstancesError::Refused { peer, status });
        }
        let body = res.bytes(MAX_BODY_BYTES).await?;
        let list: Instances =
            serde_json::from_slice(&body).map_err(|e| InstancesError::InvalidResponse {
                peer,
                reason: e.to_string(),
            })?;
        Ok(list.instances)
    }
}
