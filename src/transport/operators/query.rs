//! Read-only handlers of the operators' API.

use std::time::Duration;

use futures::{StreamExt, stream};
use http::StatusCode;
use serde::Deserialize;
use viz::{Request, RequestExt, Response};

use crate::{
    coordination::{
        decisions::Decision,
        membership::{DaemonName, Member, MemberState},
    },
    daemon::billing,
    metrics,
    protocol::{
        operators::{Explanation, FleetStatus, MemberStatus},
        peer::{PeerRequest, PeerResponse, decisions},
    },
    state::objects::CustomerName,
    transport::operators::{
        OperatorApi,
        publish::param,
        reply::{self, RejectedCall},
    },
};

/// Maximum number of peers queried concurrently.
const MAX_CONCURRENT_PEERS: usize = 16;
/// Timeout for a peer to return its decisions.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Membership states that the metrics count.
const MEMBER_STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
];

/// Query parameters of an invoice.
#[derive(Debug, Default, Deserialize)]
struct InvoiceQuery {
    customer: Option<CustomerName>,
}

/// Decisions of one peer about a request; `None` if the peer did not respond.
struct PeerDecisions {
    peer: DaemonName,
    decisions: Option<Vec<Decision>>,
}

impl OperatorApi {
    pub(super) fn ready(&self) -> Response {
        let readiness = self.readiness();
        reply::json(readiness.status(), &readiness)
    }

    pub(super) fn metrics(&self) -> Response {
        let name = self.core.name().as_str();
        let generation = i64::try_from(self.core.snapshot().generation).unwrap_or(i64::MAX);
        let ready = self.readiness().status() == StatusCode::OK;
        let labels = [name];
        metrics::CONFIGURATION_GENERATION
            .with_label_values(&labels)
            .set(generation);
        metrics::READY
            .with_label_values(&labels)
            .set(i64::from(ready));
        let members = self.core.members();
        for state in MEMBER_STATES {
            let count = members.iter().filter(|m| m.state == state).count();
            let gauge = metrics::MEMBERS.with_label_values(&[name, &state.to_string()]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        reply::text(metrics::render())
    }

    pub(super) fn status(&self) -> Response {
        let generation = self.core.snapshot().generation;
        let mut members: Vec<MemberStatus> = self
            .core
            .members()
            .iter()
            .map(|member| self.member_status(member, generation))
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let status = FleetStatus {
            daemon: self.core.name().clone(),
            generation,
            readiness: self.readiness(),
            members,
        };
        reply::json(StatusCode::OK, &status)
    }

    fn member_status(&self, member: &Member, local_generation: u64) -> MemberStatus {
        let is_self = member.name == *self.core.name();
        MemberStatus {
            name: member.name.clone(),
            failure_domain: member.failure_domain.clone(),
            state: member.state,
            generation: if is_self {
                local_generation
            } else {
                member.generation
            },
            callers: member.callers,
        }
    }

    pub(super) async fn generations(&self) -> Response {
        reply::json(StatusCode::OK, &self.configuration.generations().await)
    }

    pub(super) async fn explain(&self, req: &Request) -> Result<Response, RejectedCall> {
        let request = param(req, "request")?;
        let mut explanation = Explanation {
            decisions: self.core.decisions().for_request(&request),
            silent: Vec::new(),
        };
        let peers = self.core.reachable_peers();
        let mut replies = stream::iter(peers)
            .map(|peer| self.fetch_decisions(peer, &request))
            .buffer_unordered(MAX_CONCURRENT_PEERS);
        while let Some(response) = replies.next().await {
            match response.decisions {
                Some(decisions) => explanation.decisions.extend(decisions),
                None => explanation.silent.push(response.peer),
            }
        }
        explanation.silent.sort();
        explanation.decisions.sort_by_key(|decision| decision.at_ms);
        explanation.decisions.dedup();
        Ok(reply::json(StatusCode::OK, &explanation))
    }

    async fn fetch_decisions(&self, peer: Member, request: &str) -> PeerDecisions {
        let req = PeerRequest::Decisions(decisions::Request::ForRequest(request.into()));
        let response = self.core.peers.call(&peer, req, EXPLAIN_TIMEOUT).await;
        let decisions = match response {
            Ok(PeerResponse::Decisions(decisions::Response::Decisions(found))) => Some(found),
            _ => None,
        };
        PeerDecisions {
            peer: peer.name,
            decisions,
        }
    }

    pub(super) async fn invoice(&self, req: &Request) -> Result<Response, RejectedCall> {
        let query: InvoiceQuery = req
            .query()
            .map_err(|e| RejectedCall::bad_request(e.to_string()))?;
        let read = billing::invoice(&self.core.table).await;
        let mut invoice =
            read.map_err(|e| RejectedCall::new(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
        if let Some(customer) = query.customer {
            invoice.customers.retain(|name, _| *name == customer);
        }
        Ok(reply::json(StatusCode::OK, &invoice))
    }
}
