//! Orders to load and unload versions, checked by fencing number.

use std::sync::Arc;

use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use platform_api::{
    engine::{Command, Order, OrderOutcome},
    weights,
};

use crate::{
    client,
    engine::{Engine, lock},
    http::{HttpResponse, json, read_json, refusal},
};

/// The highest fencing number received; kept across crashes.
#[derive(Default)]
pub(crate) struct Orders {
    fence: u64,
}

impl Orders {
    fn admit(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }
}

impl Engine {
    pub(super) async fn order(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<HttpResponse, HttpResponse> {
        let order: Order = read_json(req).await?;
        let admitted = lock(&self.orders).admit(order.fence);
        if self.cfg.honours_fence && !admitted {
            self.records().fenced += 1;
            return Ok(json(&OrderOutcome::Fenced));
        }
        match order.command {
            Command::Load { version } => {
                // The load continues if the caller disconnects.
                let load = tokio::spawn(self.clone().load(version));
                let failed = |_| refusal(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
                load.await.map_err(failed)??;
            }
            Command::Unload { version } => self.versions().set_loaded(&version, false),
        }
        self.publish_load();
        Ok(json(&OrderOutcome::Done))
    }

    async fn load(self: Arc<Self>, version: CompactString) -> Result<(), HttpResponse> {
        if let Some(store) = self.cfg.weights {
            let path = format!("{}{version}", weights::PATH);
            let unread =
                |e: crate::server::Error| refusal(StatusCode::SERVICE_UNAVAILABLE, &e.to_string());
            let res = client::call(store, Method::GET, &path, Vec::new())
                .await
                .map_err(unread)?;
            client::read_body(store, res).await.map_err(unread)?;
        }
        tokio::time::sleep(self.cfg.load_time).await;
        self.versions().set_loaded(&version, true);
        self.publish_load();
        Ok(())
    }
}
