//! HTTP server for operators: publications, fleet status, metrics and health.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt};
use http::StatusCode;
use tokio::time::timeout;
use viz::{Request, Response, Router, Tree};

use crate::{
    daemon::{configuration::Configuration, core::Core},
    protocol::operators::{GENERATIONS_PATH, INVOICE_PATH, PUBLISH_PATH, Readiness, STATUS_PATH},
    state::objects::OperatorName,
    transport::{body_memory::BodyMemory, http_server::HttpServer, operators::reply::RejectedCall},
};

mod auth;
mod publish;
mod query;
mod reply;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 128;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The running server.
#[derive(Debug)]
pub struct OperatorServer {
    server: HttpServer,
}

/// State shared by the request handlers.
struct OperatorApi {
    /// Memory for publications, which callers cannot use up.
    bodies: Arc<BodyMemory>,
    core: Arc<Core>,
    configuration: Arc<Configuration>,
}

impl OperatorServer {
    /// Listens on `address`.
    pub async fn bind(
        address: SocketAddr,
        core: Arc<Core>,
        configuration: Arc<Configuration>,
    ) -> io::Result<Self> {
        let clock = core.clock.clone();
        let bodies = BodyMemory::new(2 * publish::MAX_BODY_BYTES, clock.clone());
        let api = Arc::new(OperatorApi {
            bodies: Arc::new(bodies),
            core,
            configuration,
        });
        let tree = Tree::from(routes(&api));
        let server = HttpServer::bind(address, tree, MAX_CONNECTIONS, clock).await?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting connections and returns once all responses in flight have been sent.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

/// The endpoints of the operators' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endpoint {
    Health,
    Ready,
    Metrics,
    Publish,
    FailureDomain,
    Upstream,
    Version,
    Status,
    Generations,
    Explain,
    Invoice,
}

fn routes(api: &Arc<OperatorApi>) -> Router {
    let serve = |endpoint| handler(api, endpoint);
    Router::new()
        .get("/health", serve(Endpoint::Health))
        .get("/ready", serve(Endpoint::Ready))
        .get("/metrics", serve(Endpoint::Metrics))
        .post(PUBLISH_PATH, serve(Endpoint::Publish))
        .post(
            "/failure_domains/:name/:state",
            serve(Endpoint::FailureDomain),
        )
        .post("/upstreams/:name/:state", serve(Endpoint::Upstream))
        .post("/versions/:name/:state", serve(Endpoint::Version))
        .get(STATUS_PATH, serve(Endpoint::Status))
        .get(GENERATIONS_PATH, serve(Endpoint::Generations))
        .get("/explain/:request", serve(Endpoint::Explain))
        .get(INVOICE_PATH, serve(Endpoint::Invoice))
}

fn handler(
    api: &Arc<OperatorApi>,
    endpoint: Endpoint,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static {
    let api = api.clone();
    move |req| {
        let api = api.clone();
        async move { Ok(api.serve(endpoint, req).await) }.boxed()
    }
}

impl OperatorApi {
    async fn serve(&self, endpoint: Endpoint, req: Request) -> Response {
        let served = match endpoint {
            Endpoint::Health => Ok(reply::text("healthy\n".into())),
            Endpoint::Ready => Ok(self.ready()),
            Endpoint::Metrics => Ok(self.metrics()),
            _ => timeout(CALL_TIMEOUT, self.serve_operator(endpoint, req))
                .await
                .unwrap_or_else(|_| {
                    let reason = "the call timed out; its outcome is unknown";
                    Err(RejectedCall::new(StatusCode::GATEWAY_TIMEOUT, reason))
                }),
        };
        served.unwrap_or_else(RejectedCall::into_response)
    }

    async fn serve_operator(
        &self,
        endpoint: Endpoint,
        mut req: Request,
    ) -> Result<Response, RejectedCall> {
        let operator = self.authenticate(&req)?;
        match endpoint {
            Endpoint::Publish => self.publish(operator, &mut req).await,
            Endpoint::FailureDomain | Endpoint::Upstream | Endpoint::Version => {
                self.set_state(operator, endpoint, &req).await
            }
            Endpoint::Generations => Ok(self.generations().await),
            Endpoint::Explain => self.explain(&req).await,
            Endpoint::Invoice => self.invoice(&req).await,
            Endpoint::Health | Endpoint::Ready | Endpoint::Metrics | Endpoint::Status => {
                Ok(self.status())
            }
        }
    }

    fn authenticate(&self, req: &Request) -> Result<OperatorName, RejectedCall> {
        let snapshot = self.core.snapshot();
        auth::operator(req.headers(), &self.core.settings, &snapshot.objects).ok_or_else(|| {
            let reason = "the bearer key is missing or belongs to no operator";
            RejectedCall::new(StatusCode::UNAUTHORIZED, reason)
        })
    }

    fn readiness(&self) -> Readiness {
        if *self.core.leaving.borrow() {
            return Readiness::Leaving;
        }
        match self.configuration.readiness() {
            Ok(()) => Readiness::Ready,
            Err(not_ready) => Readiness::NotReady(not_ready),
        }
    }
}

impl Readiness {
    fn status(self) -> StatusCode {
        match self {
            Self::Ready => StatusCode::OK,
            Self::Leaving | Self::NotReady(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
