//! Parses requests to plain services and converts answers into HTTP responses.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, StatusCode, Uri};
use viz::{Body, Response};

use crate::{
    coordination::admission::AdmitRequest,
    daemon::{
        callers::{head::RequestHead, malformed, reply::set_request_id},
        components::Components,
        policy::AdmissionGuard,
        service::{ServiceAnswer, ServiceCall},
    },
    protocol::problem::{Refusal, RefusalKind},
};

/// Path prefix of plain services.
const PREFIX: &str = "/v1/services/";

/// Serves a call to a plain service.
pub(super) async fn serve(
    components: &Arc<Components>,
    request_id: &str,
    head: RequestHead,
    method: &Method,
    uri: &Uri,
    body: Bytes,
) -> Result<Response, Refusal> {
    let (service, path) = split_path(uri)?;
    let call = ServiceCall {
        request_id: request_id.into(),
        deadline: head.time_limit.map(|d| head.received + d),
        customer: head.customer,
        service: service.into(),
        method: method.as_str().into(),
        path,
        headers: head.forwarded_headers,
        body,
        idempotency_key: head.idempotency_key,
    };
    let _admission_guard = admit(components, &call).await?;
    let answer = components.services.serve(call).await?;
    Ok(to_response(request_id, answer))
}

/// Waits for admission to the service, in fair order with the calls of other customers.
async fn admit(
    components: &Arc<Components>,
    call: &ServiceCall,
) -> Result<AdmissionGuard, Refusal> {
    let snapshot = components.core.snapshot();
    let service = snapshot
        .objects
        .services
        .get(&call.service)
        .ok_or_else(|| {
            let detail = format!("unknown service {:?}", call.service);
            Refusal::not_run(RefusalKind::NotFound, "parse", detail)
        })?;
    let default_deadline = components.core.clock.now() + Duration::from_millis(service.deadline_ms);
    let req = AdmitRequest {
        request_id: call.request_id.clone(),
        customer: call.customer.clone(),
        priority: service.priority,
        deadline: call.deadline.unwrap_or(default_deadline),
    };
    let result = components
        .policy
        .admit_service(call.service.clone(), req)
        .await;
    result.map_err(|refused| {
        Refusal::not_run(RefusalKind::Overloaded, "admit", refused.to_string())
            .retry_after(refused.retry_after)
    })
}

/// Splits the URI into the service name and the path with query after it.
fn split_path(uri: &Uri) -> Result<(&str, String), Refusal> {
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = rest
        .split_once('/')
        .ok_or_else(|| malformed("the path has no operation after the service name"))?;
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((service, format!("/{path}{query}")))
}

fn to_response(request_id: &str, answer: ServiceAnswer) -> Response {
    let mut res = Response::new(Body::from(http_body_util::Full::from(answer.body)));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::try_from(header.value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().insert(name, value);
        }
    }
    set_request_id(&mut res, request_id);
    res
}
