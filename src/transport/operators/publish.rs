//! Handlers that publish configuration changes or change the state of one object.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use rand::Rng;
use viz::{Request, RequestExt, Response};

use crate::{
    coordination::configuration::{edit::Edit, outcome::PublishRequest},
    metrics,
    protocol::operators::PublishBody,
    state::{
        names::is_valid_name,
        objects::{OperatorName, ServiceState, VersionState},
        record::PublishId,
    },
    transport::{
        body_memory::{BodyError, BodyMemory, HeldBody},
        caller_stream::RequestBody,
        http_body::{self, ReadError},
        operators::{
            Endpoint, OperatorApi,
            reply::{self, RejectedCall},
        },
    },
};

/// Maximum length of a publication in bytes.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;
/// Timeout for receiving the body of a publication.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Request header with the publish id of a state change.
const PUBLISH_ID_HEADER: &str = "idempotency-key";

impl OperatorApi {
    pub(super) async fn publish(
        &self,
        operator: OperatorName,
        req: &mut Request,
    ) -> Result<Response, RejectedCall> {
        let body = read_body(&self.bodies, req).await?;
        let body: PublishBody =
            serde_json::from_slice(&body).map_err(|e| RejectedCall::bad_request(e.to_string()))?;
        self.execute_publish(PublishRequest {
            id: body.id,
            operator,
            edit: body.edit,
            base: body.base,
            dry_run: body.dry_run,
        })
        .await
    }

    pub(super) async fn set_state(
        &self,
        operator: OperatorName,
        endpoint: Endpoint,
        req: &Request,
    ) -> Result<Response, RejectedCall> {
        let name = param(req, "name")?;
        let state = param(req, "state")?;
        let edit = match endpoint {
            Endpoint::FailureDomain => Edit::FailureDomain {
                name,
                state: service_state(&state)?,
            },
            Endpoint::Upstream => Edit::Upstream {
                name,
                state: service_state(&state)?,
            },
            _ => Edit::Version {
                name,
                state: version_state(&state)?,
            },
        };
        self.execute_publish(PublishRequest {
            id: req.header(PUBLISH_ID_HEADER).unwrap_or_else(random_id),
            operator,
            edit,
            base: None,
            dry_run: false,
        })
        .await
    }

    async fn execute_publish(&self, request: PublishRequest) -> Result<Response, RejectedCall> {
        if !is_valid_name(&request.id) {
            return Err(RejectedCall::bad_request(
                "the publish id is not a valid name",
            ));
        }
        let configuration = self.configuration.clone();
        // Runs in a separate task, so that a disconnecting caller does not cancel it.
        let report = tokio::spawn(async move { configuration.publish(request).await })
            .await
            .map_err(|e| RejectedCall::new(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))?;
        let labels = [self.core.name().as_str(), report.outcome.label()];
        metrics::PUBLICATIONS.with_label_values(&labels).inc();
        Ok(reply::json(reply::status_of(&report.outcome), &report))
    }
}

fn random_id() -> PublishId {
    format!("{:032x}", rand::rng().random::<u128>()).into()
}

pub(super) fn param(req: &Request, name: &str) -> Result<CompactString, RejectedCall> {
    req.param::<String>(name)
        .map(CompactString::from)
        .map_err(|e| RejectedCall::bad_request(e.to_string()))
}

fn service_state(text: &str) -> Result<ServiceState, RejectedCall> {
    match text {
        "in" => Ok(ServiceState::In),
        "out" => Ok(ServiceState::Out),
        _ => Err(RejectedCall::bad_request("the state must be in or out")),
    }
}

fn version_state(text: &str) -> Result<VersionState, RejectedCall> {
    match text {
        "enabled" => Ok(VersionState::Enabled),
        "draining" => Ok(VersionState::Draining),
        "withdrawn" => Ok(VersionState::Withdrawn),
        _ => {
            let reason = "the state must be enabled, draining or withdrawn";
            Err(RejectedCall::bad_request(reason))
        }
    }
}

async fn read_body(bodies: &Arc<BodyMemory>, req: &mut Request) -> Result<Bytes, RejectedCall> {
    let body = RequestBody::take(req);
    let read = http_body::read(bodies, body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    read.map(HeldBody::into_bytes).map_err(|e| {
        let status = match e {
            ReadError::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::Body(BodyError::NoMemory) => StatusCode::SERVICE_UNAVAILABLE,
            ReadError::Body(BodyError::Broken(_)) => StatusCode::BAD_REQUEST,
            ReadError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        };
        RejectedCall::new(status, e.to_string())
    })
}
