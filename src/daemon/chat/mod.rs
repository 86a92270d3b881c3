//! Completions: admission, routing, dispatch, rating, billing and delivery.

use std::sync::Arc;

use crate::{
    coordination::{
        admission::AdmitRequest,
        hash::{hash_bytes, hash_text},
        poison::Fingerprint,
        quality::RequestClass,
        routing::RouteRequest,
    },
    daemon::{
        chat::{
            call::{ChatCall, ChatReply, SessionRequest},
            run::CompletionRun,
        },
        components::Components,
    },
    protocol::problem::{Refusal, RefusalKind},
};

pub mod call;
mod deliver;
mod placement;
mod refusals;
mod run;
mod stream;
mod unstreamed;

/// Serves a completion request.
pub async fn serve(components: &Arc<Components>, call: ChatCall) -> Result<ChatReply, Refusal> {
    components.check_ready()?;
    let fingerprint = Fingerprint::of(&call.customer, prompt(&call));
    let solo = components
        .policy
        .check_poison(fingerprint)
        .map_err(|q| refusals::quarantined(&q))?;
    let admission_guard = components
        .policy
        .admit(AdmitRequest {
            request_id: call.log_id.clone(),
            customer: call.customer.clone(),
            priority: call.priority,
            deadline: call.deadline,
        })
        .await
        .map_err(|r| refusals::overloaded(&r))?;
    if components.core.clock.now() >= call.deadline {
        let detail = "the deadline passed while the request was queued";
        return Err(Refusal::not_run(
            RefusalKind::DeadlineExceeded,
            "admit",
            detail,
        ));
    }
    components.core.record_decision(
        &call.log_id,
        "admit",
        format_args!(
            "customer={} rule={} stream={} solo={solo}",
            call.customer, call.rule, call.req.stream
        ),
    );
    let route = route_request(&call, solo);
    let run = CompletionRun::new(
        components.clone(),
        call,
        route,
        fingerprint,
        admission_guard,
    );
    if run.call.req.stream {
        stream::serve(run).await
    } else {
        unstreamed::serve(run).await
    }
}

fn route_request(call: &ChatCall, solo: bool) -> RouteRequest {
    let session = match &call.session {
        SessionRequest::Existing(session) => Some(session.version.clone()),
        SessionRequest::New | SessionRequest::None => None,
    };
    RouteRequest {
        request_id: call.log_id.clone(),
        customer: call.customer.clone(),
        rule: call.rule.clone(),
        class: RequestClass::of(&call.req),
        session,
        streamed: call.req.stream,
        deadline: call.deadline,
        tried: Vec::new(),
        excluded: Vec::new(),
        affinity: affinity(call),
        solo,
    }
}

/// Returns all messages joined into one text, for ratings and fingerprints.
fn prompt(call: &ChatCall) -> String {
    let texts = call.req.messages.iter().map(|m| m.content.as_str());
    texts.collect::<Vec<_>>().join("\n")
}

/// Returns a hash that routes requests with the same prompt prefix or session to one upstream, to
/// use its prefix cache.
fn affinity(call: &ChatCall) -> Option<u64> {
    /// Length of a prompt prefix that is worth caching.
    const PREFIX_BYTES: usize = 256;
    if let SessionRequest::Existing(session) = &call.session {
        return Some(hash_text(&session.id));
    }
    let first = call.req.messages.first()?;
    let prefix = first.content.as_bytes().get(..PREFIX_BYTES)?;
    Some(hash_bytes(prefix))
}
