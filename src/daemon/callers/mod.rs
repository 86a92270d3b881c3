//! The callers' HTTP interface: `locate`, chat completions and plain services.

use std::{io, sync::Arc};

use viz::{Request, Response, Router, Tree};

use crate::{
    daemon::{
        callers::{
            head::Head,
            reply::{problem, to_response},
        },
        chat,
        node::Node,
    },
    protocol::problem::{Refusal, RefusalKind},
    transport::http_server::HttpServer,
};

mod body;
mod chat_request;
mod head;
mod locate;
mod reply;
mod service_request;

/// The greatest number of callers' connections open at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Listens for callers.
pub async fn bind(node: Arc<Node>) -> io::Result<HttpServer> {
    let address = node.core.settings.callers;
    HttpServer::bind(address, routes(node), MAX_CONNECTIONS).await
}

fn routes(node: Arc<Node>) -> Tree {
    let locating = node.clone();
    let chatting = node.clone();
    let router = Router::new()
        .get("/v1/locate", move |req: Request| {
            let node = locating.clone();
            async move {
                let served = locate::serve(&node, &req);
                Ok::<_, viz::Error>(served.unwrap_or_else(|r| {
                    let request_id = node.next_request_id();
                    refuse(&node, &request_id, &r)
                }))
            }
        })
        .post("/v1/chat/completions", move |req: Request| {
            let node = chatting.clone();
            async move { Ok::<_, viz::Error>(chat_completions(node, req).await) }
        })
        .any("/v1/services/:service/*", move |req: Request| {
            let node = node.clone();
            async move { Ok::<_, viz::Error>(plain_service(node, req).await) }
        });
    Tree::from(router)
}

async fn chat_completions(node: Arc<Node>, req: Request) -> Response {
    let request_id = node.next_request_id();
    let served = async {
        let (head, incoming) = Head::read(&node, req)?;
        let body = body::read(incoming, body::MAX_CHAT_BYTES).await?;
        let call = chat_request::read(&node, &request_id, head, &body)?;
        chat::serve(&node, call).await
    };
    match served.await {
        Ok(reply) => to_response(&request_id, reply),
        Err(refusal) => refuse(&node, &request_id, &refusal),
    }
}

async fn plain_service(node: Arc<Node>, req: Request) -> Response {
    let request_id = node.next_request_id();
    let served = async {
        let method = req.method().clone();
        let uri = req.uri().clone();
        let (head, incoming) = Head::read(&node, req)?;
        let body = body::read(incoming, body::MAX_SERVICE_BYTES).await?;
        service_request::serve(&node, &request_id, head, &method, &uri, body).await
    };
    match served.await {
        Ok(res) => res,
        Err(refusal) => refuse(&node, &request_id, &refusal),
    }
}

fn refuse(node: &Node, request_id: &str, refusal: &Refusal) -> Response {
    node.core.decide(
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
