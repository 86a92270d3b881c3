//! Client of the transactional table service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::table::{
    COMMIT_PATH, CommitOutcome, CommitRequest, Key, READ_PATH, ReadRequest, Row, Rows, SCAN_PATH,
    ScanRequest,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::transport::http_client::{HttpClient, HttpError, Reuse, Sent, Timeouts};

/// Maximum number of rows per scan request.
const PAGE_ROWS: usize = 500;

/// Maximum length of a response in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    head: Duration::from_millis(1_000),
    chunk: Duration::from_millis(1_000),
};

/// An error of a call to the table.
#[derive(Clone, Debug, thiserror::Error)]
pub enum TableError {
    /// The call definitely had no effect.
    #[error("table call not applied: {0}")]
    NotApplied(HttpError),
    /// A commit may or may not have taken effect.
    #[error("outcome of the table call unknown: {0}")]
    Unknown(HttpError),
    /// The table refused the call; it had no effect.
    #[error("table {peer} refused the call: status {status}")]
    Refused {
        /// Address of the table.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response is invalid; a commit may have taken effect.
    #[error("table {peer} sent an invalid response: {reason}")]
    InvalidResponse {
        /// Address of the table.
        peer: SocketAddr,
        /// Description of the error.
        reason: String,
    },
}

impl TableError {
    /// Returns whether the call definitely had no effect.
    pub fn not_applied(&self) -> bool {
        matches!(self, Self::NotApplied(_) | Self::Refused { .. })
    }
}

/// Client of the table; clones share connections.
#[derive(Clone, Debug)]
pub struct TableClient {
    http: HttpClient,
}

impl TableClient {
    /// Creates a client of the table at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
        }
    }

    /// Reads rows by key; absent rows are omitted.
    pub async fn read(&self, keys: Vec<Key>) -> Result<Vec<Row>, TableError> {
        let response: Rows = self.idempotent(READ_PATH, &ReadRequest { keys }).await?;
        Ok(response.rows)
    }

    /// Reads one row.
    pub async fn read_one(&self, key: &str) -> Result<Option<Row>, TableError> {
        Ok(self.read(vec![key.into()]).await?.pop())
    }

    /// Reads all rows whose keys begin with `prefix`, page by page; the pages are not one
    /// consistent view.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.scan_after(prefix, "").await
    }

    /// Reads all rows whose keys begin with `prefix` and are greater than `after`, page by page.
    pub async fn scan_after(&self, prefix: &str, after: &str) -> Result<Vec<Row>, TableError> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows
                .last()
                .map_or_else(|| after.into(), |row| row.key.clone());
            let page: Rows = self
                .idempotent(
                    SCAN_PATH,
                    &ScanRequest {
                        prefix: prefix.into(),
                        after,
                        limit: PAGE_ROWS,
                    },
                )
                .await?;
            rows.extend(page.rows);
            if !page.more {
                return Ok(rows);
            }
        }
    }

    /// Commits without a retry; after [`TableError::Unknown`] the caller must read the rows to find
    /// the outcome.
    pub async fn commit(&self, req: &CommitRequest) -> Result<CommitOutcome, TableError> {
        self.call(COMMIT_PATH, req, Reuse::Idle).await
    }

    async fn idempotent<Req: Serialize, Res: DeserializeOwned>(
        &self,
        path: &str,
        req: &Req,
    ) -> Result<Res, TableError> {
        match self.call(path, req, Reuse::Idle).await {
            Err(TableError::Unknown(_)) => self.call(path, req, Reuse::Fresh).await,
            other => other,
        }
    }

    async fn call<Req: Serialize, Res: DeserializeOwned>(
        &self,
        path: &str,
        req: &Req,
        reuse: Reuse,
    ) -> Result<Res, TableError> {
        let body = serde_json::to_vec(req).map_err(|e| self.invalid_response(&e))?;
        let req = Request::post(path)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| self.invalid_response(&e))?;
        let mut exchange = self
            .http
            .send(req, reuse, TIMEOUTS)
            .await
            .map_err(Self::classify_error)?;
        if exchange.status() != StatusCode::OK {
            return Err(TableError::Refused {
                peer: self.http.peer(),
                status: exchange.status(),
            });
        }
        let body = exchange
            .bytes(MAX_BODY_BYTES)
            .await
            .map_err(Self::classify_error)?;
        serde_json::from_slice(&body).map_err(|e| self.invalid_response(&e))
    }

    fn classify_error(e: HttpError) -> TableError {
        match e.sent {
            Sent::No => TableError::NotApplied(e),
            Sent::Maybe => TableError::Unknown(e),
        }
    }

    fn invalid_response(&self, reason: &dyn ToString) -> TableError {
        TableError::InvalidResponse {
            peer: self.http.peer(),
            reason: reason.to_string(),
        }
    }
}
