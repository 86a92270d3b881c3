//! Systems under test: a fleet of daemons or the naive baseline.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::{
    coordination::configuration::edit::Edit,
    daemon::Daemon,
    local::{
        LocalError,
        caller::LocalCaller,
        fleet::{self, DaemonIdentity},
    },
    measure::{
        arrivals::Arrival,
        harness::Harness,
        naive::Naive,
        objects::DOMAINS,
        sample::Outcome,
        traffic::{CUSTOMERS, RequestKind},
    },
    state::objects::ServiceState,
};

/// Timeout for the daemons to discover each other or to apply a generation.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Kind of system under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TargetKind {
    /// Three daemons.
    Fleet,
    /// The naive baseline: always the best version, round robin, one unbounded queue, no cascade.
    Naive,
}

/// Three daemons, each with one caller per customer.
pub(super) struct LocalFleet {
    daemons: Vec<Daemon>,
    callers: Vec<Vec<LocalCaller>>,
}

/// The system under test.
pub(super) enum Target {
    Fleet(LocalFleet),
    Naive(Naive),
}

impl Target {
    pub(super) async fn spawn(kind: TargetKind, harness: &Harness) -> Result<Self, LocalError> {
        match kind {
            TargetKind::Fleet => Ok(Self::Fleet(LocalFleet::spawn(harness).await?)),
            TargetKind::Naive => Ok(Self::Naive(Naive::new(harness))),
        }
    }

    /// Sends a request and reads the response to its end.
    pub(super) async fn send(&self, arrival: &Arrival) -> Outcome {
        match self {
            Self::Fleet(fleet) => fleet.send(arrival).await,
            Self::Naive(naive) => naive.send(arrival).await,
        }
    }

    /// Takes a failure domain out of service or puts it back, and waits until this is in force.
    pub(super) async fn set_domain(&self, domain: &str, state: ServiceState) {
        match self {
            Self::Fleet(fleet) => fleet.set_domain(domain, state).await,
            Self::Naive(naive) => naive.set_domain(domain, state),
        }
    }

    pub(super) async fn shutdown(self) {
        if let Self::Fleet(fleet) = self {
            let daemons = fleet.daemons.into_iter().map(Daemon::shutdown);
            futures::future::join_all(daemons).await;
        }
    }
}

impl LocalFleet {
    async fn spawn(harness: &Harness) -> Result<Self, LocalError> {
        let mut settings = Vec::new();
        for (i, domain) in DOMAINS.iter().enumerate() {
            let location = DaemonIdentity {
                name: format!("entry-{}", i + 1).into(),
                failure_domain: (*domain).into(),
            };
            settings.push(fleet::settings(location, harness.platform.addresses(), 0)?);
        }
        fleet::register_daemons(&harness.platform, &settings)?;
        let daemons = fleet::spawn(settings).await?;
        fleet::wait_for_members(&daemons, SETTLE_TIMEOUT).await?;
        let edit = Edit::Objects {
            changes: harness.objects.puts(),
            prune: true,
        };
        let generation = fleet::publish(&daemons[0], edit).await?;
        fleet::wait_for_generation(&daemons, generation, SETTLE_TIMEOUT).await?;
        let callers = |daemon: &Daemon| {
            let address = daemon.components().core.settings.callers;
            let customers = CUSTOMERS.iter();
            customers
                .map(|name| LocalCaller::new(address, name))
                .collect()
        };
        let callers = daemons.iter().map(callers).collect();
        Ok(Self { daemons, callers })
    }

    async fn send(&self, arrival: &Arrival) -> Outcome {
        let traffic = &arrival.traffic;
        let daemon = arrival.index as usize % self.callers.len();
        let customer = CUSTOMERS.iter().position(|c| *c == traffic.customer);
        let caller = &self.callers[daemon][customer.unwrap_or(0)];
        let mut headers = http::HeaderMap::new();
        let millis = traffic.deadline.as_millis() as u64;
        headers.insert("deadline", millis.into());
        match traffic.request_kind {
            RequestKind::Unstreamed => {
                let answer = caller.chat(traffic.rule, &arrival.prompt, &headers).await;
                Outcome::from_response(answer)
            }
            RequestKind::Stream => {
                let answer = caller.stream(traffic.rule, &arrival.prompt, &headers).await;
                Outcome::from_stream(answer)
            }
            RequestKind::Lookup => {
                let path = format!("lookup/{}", arrival.index);
                let method = http::Method::GET;
                let service = crate::measure::objects::SERVICE;
                let body = bytes::Bytes::new();
                let answer = caller.service(method, service, &path, &headers, body).await;
                Outcome::from_lookup(answer)
            }
        }
    }

    async fn set_domain(&self, domain: &str, state: ServiceState) {
        let edit = Edit::FailureDomain {
            name: domain.into(),
            state,
        };
        let published = fleet::publish(&self.daemons[0], edit).await;
        let result = match published {
            Ok(generation) => {
                fleet::wait_for_generation(&self.daemons, generation, SETTLE_TIMEOUT).await
            }
            Err(e) => Err(e),
        };
        if let Err(e) = result {
            log::warn!("step=measure domain={domain} state={state} error={e}");
        }
    }
}
