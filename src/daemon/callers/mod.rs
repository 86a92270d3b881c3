//! The callers' HTTP interface: `locate`, chat completions and plain services.

use std::{io, sync::Arc};

use viz::{Request, Response, Router, Tree};

use crate::{
    daemon::{
        callers::{
            count::{Count, Kind},
            head::Head,
            reply::{problem, to_response},
        },
        chat,
        parts::Parts,
    },
    protocol::problem::{Refusal, RefusalKind},
    transport::http_server::HttpServer,
};

mod body;
mod chat_request;
mod count;
mod head;
mod locate;
mod reply;
mod service_request;

/// The greatest number of callers' connections open at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Listens for callers.
pub async fn bind(parts: Arc<Parts>) -> io::Result<HttpServer> {
    let address = parts.core.settings.callers;
    HttpServer::bind(address, routes(parts), MAX_CONNECTIONS).await
}

fn routes(parts: Arc<Parts>) -> Tree {
    let locating = parts.clone();
    let chatting = parts.clone();
    let router = Router::new()
        .get("/v1/locate", move |req: Request| {
            let parts = locating.clone();
            async move {
                let served = locate::serve(&parts, &req);
                Ok::<_, viz::Error>(served.unwrap_or_else(|r| {
                    let request_id = parts.next_request_id();
                    refuse(&parts, &request_id, &r)
                }))
            }
        })
        .post("/v1/chat/completions", move |req: Request| {
            let parts = chatting.clone();
            async move { Ok::<_, viz::Error>(chat_completions(parts, req).await) }
        })
        .any("/v1/services/:service/*", move |req: Request| {
            let parts = parts.clone();
            async move { Ok::<_, viz::Error>(plain_service(parts, req).await) }
        });
    Tree::from(router)
}

async fn chat_completions(parts: Arc<Parts>, req: Request) -> Response {
    let request_id = parts.next_request_id();
    let count = Count::begin(&parts, Kind::Chat);
    let served = async {
        let (head, incoming) = Head::read(&parts, req)?;
        let body = body::read(incoming, body::MAX_CHAT_BYTES).await?;
        let call = chat_request::read(&parts, &request_id, head, &body)?;
        chat::serve(&parts, call).await
    };
    let served = served.await;
    count.end(served.as_ref().err());
    match served {
        Ok(reply) => to_response(&request_id, reply),
        Err(refusal) => refuse(&parts, &request_id, &refusal),
    }
}

async fn plain_service(parts: Arc<Parts>, req: Request) -> Response {
    let request_id = parts.next_request_id();
    let count = Count::begin(&parts, Kind::Service);
    let served = async {
        let method = req.method().clone();
        let uri = req.uri().clone();
        let (head, incoming) = Head::read(&parts, req)?;
        let body = body::read(incoming, body::MAX_SERVICE_BYTES).await?;
        service_request::serve(&parts, &request_id, head, &method, &uri, body).await
    };
    let served = served.await;
    count.end(served.as_ref().err());
    match served {
        Ok(res) => res,
        Err(refusal) => refuse(&parts, &request_id, &refusal),
    }
}

fn refuse(parts: &Parts, request_id: &str, refusal: &Refusal) -> Response {
    parts.core.decide(
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
    problem(request_id, refusal)
}

/// The refusal of a caller whose key is unknown.
fn unauthenticated(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Unauthenticated, "authenticate", detail)
}

/// The refusal of a request that cannot be understood.
fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, "parse", detail)
}
