//! The client of the platform's instance list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::instances::{Instance, Instances, PATH};

use crate::transport::http_client::{HttpClient, HttpError, Reuse, Timeouts};

/// The greatest length of the list.
const MAX_BODY_BYTES: usize = 4 << 20;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_millis(1_000),
    chunk: Duration::from_millis(1_000),
};

/// Why the instance list could not be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum InstancesError {
    /// The exchange failed.
    #[error("instance list: {0}")]
    Http(#[from] HttpError),
    /// The platform refused.
    #[error("instance list {peer} refused: status {status}")]
    Refused {
        /// The list's address.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The answer could not be read.
    #[error("instance list {peer} answered nonsense: {reason}")]
    InvalidResponse {
        /// The list's address.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

/// The client of the instance list.
#[derive(Clone, Debug)]
pub struct InstancesClient {
    http: HttpClient,
}

impl InstancesClient {
    /// A client of the list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(addr),
        }
    }

    /// Reads the list, on a new connection if a kept one has gone silent.
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
