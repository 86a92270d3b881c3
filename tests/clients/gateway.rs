//! A gateway with little memory and few descriptors, and ordinary callers beside a crowd.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use stand_in::gateway::{caller, deployment::configuration};
use tokio::sync::{Mutex, MutexGuard};

use crate::{
    crowd::{BODY_LIMIT, Crowd, Script},
    harness::{Call, Harness, open, plain, wait_until},
    usage::{Peak, Usage},
};

/// Descriptors of the instance, fewer than those of any deployment in force.
pub(crate) const MAX_OPEN_FILES: usize = 600;
/// An instance with less memory than any of the deployments in force.
const INSTANCE: Instance = Instance {
    memory_mb: 64,
    max_open_files: MAX_OPEN_FILES,
};
/// The smallest instance of the deployments in force.
const SMALLEST_IN_FORCE: Instance = Instance {
    memory_mb: 120,
    max_open_files: 3_075,
};
/// The descriptors of an instance that are kept for files.
pub(crate) const RESERVED_FILES: usize = 200;
/// Size of a crowd of large bodies; half of them exceed the instance's memory.
pub(crate) const CROWD: usize = 32;

/// Time for which an ordinary caller that is refused tries again.
const RETRY_TIME: Duration = Duration::from_secs(20);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Held by the test that runs.
pub(crate) static ALONE: Mutex<()> = Mutex::const_new(());

/// What a gateway may use.
#[derive(Clone, Copy, Debug)]
struct Instance {
    memory_mb: u64,
    max_open_files: usize,
}

/// A small deployment whose first gateway is observed.
pub(crate) struct Deployment {
    pub(crate) harness: Harness,
    usage: Usage,
    instance: Instance,
    _alone: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts one gateway.
    pub(crate) async fn spawn() -> Self {
        Self::spawn_with(1, 0, |_| {}).await
    }

    /// Starts one gateway on the smallest instance of the deployments in force.
    pub(crate) async fn spawn_in_force() -> Self {
        Self::spawn_on(SMALLEST_IN_FORCE, 1, 0, |_| {}).await
    }

    /// Starts several gateways and observes one of them, after the limits on callers have been changed.
    pub(crate) async fn spawn_with(
        gateways: usize,
        observed: usize,
        change_limits: impl FnOnce(&mut Value),
    ) -> Self {
        Self::spawn_on(INSTANCE, gateways, observed, change_limits).await
    }

    async fn spawn_on(
        instance: Instance,
        gateways: usize,
        observed: usize,
        change_limits: impl FnOnce(&mut Value),
    ) -> Self {
        let alone = ALONE.lock().await;
        let harness = Harness::spawn_with(gateways, |_, settings| {
            settings["memory_mb"] = json!(instance.memory_mb);
            settings["max_open_files"] = json!(instance.max_open_files);
        })
        .await;
        let mut config = configuration(2, &["k1"]);
        config["limits"] = json!({
            "max_header_bytes": 16_384, "max_body_bytes": BODY_LIMIT,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        });
        change_limits(&mut config["limits"]);
        harness.table.put("op", "config", &config);
        for gateway in &harness.gateways {
            let address = gateway.caller_address();
            wait_until(|| async move {
                let reply = open(address, &with_body("w", 8 << 10)).await;
                reply.is_some_and(|reply| reply.status() == StatusCode::OK)
            })
            .await;
        }
        let gateway = &harness.gateways[observed];
        Self {
            usage: Usage::observe(gateway.process_id(), gateway.caller_address()),
            harness,
            instance,
            _alone: alone,
        }
    }

    /// Returns the most that the observed gateway has used.
    pub(crate) fn peak(&self) -> Peak {
        self.usage.peak()
    }

    /// Lets a crowd send to the first gateway while an ordinary caller asks, and checks the bounds.
    pub(crate) async fn assert_bears(&self, size: usize, script: &Script) {
        let address = self.harness.gateways[0].caller_address();
        let crowd = Crowd::connect(address, size, script);
        crowd.sent().await;
        self.assert_answered("beside", 2 << 10).await;
        crowd.leave().await;
        self.assert_answered("afterwards", 2 << 10).await;
        self.assert_answered("large", BODY_LIMIT - 1).await;
        self.assert_within_bounds();
    }

    /// Checks that an ordinary caller is answered, who tries again if it is refused.
    pub(crate) async fn assert_answered(&self, id: &str, bytes: usize) {
        let gateway = self.harness.gateways[0].caller_address();
        let answered = async {
            loop {
                let reply = open(gateway, &with_body(id, bytes)).await;
                if reply.is_some_and(|reply| reply.status() == StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        let answered = tokio::time::timeout(RETRY_TIME, answered).await;
        answered.unwrap_or_else(|_| panic!("request {id} is not answered"));
    }

    /// Checks the bounds on memory and descriptors.
    pub(crate) fn assert_within_bounds(&self) {
        let peak = self.peak();
        println!("peak {peak:?}");
        let memory_limit = self.instance.memory_mb * 1_000_000;
        assert!(peak.memory_bytes > 0, "the process was not observed");
        assert!(peak.memory_bytes <= memory_limit, "{peak:?}");
        let socket_limit = self.instance.max_open_files - RESERVED_FILES;
        assert!(peak.descriptors <= socket_limit, "{peak:?}");
    }
}

/// Creates an idempotent request with a body.
pub(crate) fn with_body(id: &str, bytes: usize) -> Call {
    Call {
        headers: caller::headers(id, "k1", 4_000),
        body: Bytes::from(vec![b'x'; bytes]),
        ..plain(id, Method::POST, "/look/1")
    }
}
