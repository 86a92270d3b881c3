//! HTTP interface for callers: `locate`, chat completions and plain services.

use std::{io, sync::Arc};

use viz::{Request, Response, Router, Tree};

use crate::{
    daemon::{
        callers::{
            head::RequestHead,
            reply::{problem_response, to_response},
            request_metrics::{RequestKind, RequestMetrics},
        },
        chat,
        components::Components,
    },
    protocol::problem::{Refusal, RefusalKind},
    transport::http_server::HttpServer,
};

mod body;
mod chat_request;
mod head;
mod locate;
mod reply;
mod request_metrics;
mod service_request;

/// Binds the listener for callers.
pub async fn bind(components: Arc<Components>) -> io::Result<HttpServer> {
    let core = components.core.clone();
    let address = core.settings.callers;
    let max_connections = core.settings.budgets().callers;
    HttpServer::bind(
        address,
        routes(components),
        max_connections,
        core.clock.clone(),
    )
    .await
}

fn routes(components: Arc<Components>) -> Tree {
    let locate_components = components.clone();
    let chat_components = components.clone();
    let router = Router::new()
        .get("/v1/locate", move |req: Request| {
            let components = locate_components.clone();
            async move {
                let result = locate::serve(&components, &req);
                Ok::<_, viz::Error>(result.unwrap_or_else(|r| {
                    let request_id = components.generate_request_id();
                    refusal_response(&components, &request_id, &r)
                }))
            }
        })
        .post("/v1/chat/completions", move |req: Request| {
            let components = chat_components.clone();
            async move { Ok::<_, viz::Error>(chat_completions(components, req).await) }
        })
        .any("/v1/services/:service/*", move |req: Request| {
            let components = components.clone();
            async move { Ok::<_, viz::Error>(plain_service(components, req).await) }
        });
    Tree::from(router)
}

async fn chat_completions(components: Arc<Components>, req: Request) -> Response {
    let request_id = components.generate_request_id();
    let metrics = RequestMetrics::start(&components, RequestKind::Chat);
    let result = async {
        let (head, incoming) = RequestHead::read(&components, req)?;
        let body = body::read(&components.core, incoming, body::MAX_CHAT_BYTES).await?;
        let body = body.into_bytes();
        let call = chat_request::parse(&components, &request_id, head, &body)?;
        chat::serve(&components, call).await
    };
    let result = result.await;
    metrics.finish(result.as_ref().err());
    match result {
        Ok(reply) => to_response(&request_id, reply),
        Err(refusal) => refusal_response(&components, &request_id, &refusal),
    }
}

async fn plain_service(components: Arc<Components>, req: Request) -> Response {
    let request_id = components.generate_request_id();
    let metrics = RequestMetrics::start(&components, RequestKind::Service);
    let result = async {
        let method = req.method().clone();
        let uri = req.uri().clone();
        let (head, incoming) = RequestHead::read(&components, req)?;
        let body = body::read(&components.core, incoming, body::MAX_SERVICE_BYTES).await?;
        let body = body.into_bytes();
        service_request::serve(&components, &request_id, head, &method, &uri, body).await
    };
    let result = result.await;
    metrics.finish(result.as_ref().err());
    match result {
        Ok(res) => res,
        Err(refusal) => refusal_response(&components, &request_id, &refusal),
    }
}

fn refusal_response(components: &Components, request_id: &str, refusal: &Refusal) -> Response {
    components.core.record_decision(
        request_id,
        "refuse",
        format_args!(
            "kind={} run={} at={} peer={} reason={:?}",
            refusal.kind,
            refusal.run,
            refusal.step,
            refusal.peer.as_deref().unwrap_or("none"),
            refusal.detail,
        ),
    );
    problem_response(request_id, refusal)
}

/// Refusal for a caller that can't be authenticated.
fn unauthenticated(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Unauthenticated, "authenticate", detail)
}

/// Refusal for a request that can't be parsed.
fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, "parse", detail)
}
