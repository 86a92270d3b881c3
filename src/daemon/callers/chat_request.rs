//! Parses and validates completion requests.

use std::time::Duration;

use platform_api::engine::ChatRequest;

use crate::{
    daemon::{
        callers::{head::RequestHead, malformed},
        chat::call::{ChatCall, SessionRequest},
        components::Components,
    },
    protocol::{
        problem::{Refusal, RefusalKind},
        session,
    },
    state::snapshot::Snapshot,
};

/// Value of the session header that opens a new session.
const NEW_SESSION: &str = "new";

/// Parses a completion request and checks it against the configuration in force.
pub(super) fn parse(
    components: &Components,
    request_id: &str,
    head: RequestHead,
    body: &[u8],
) -> Result<ChatCall, Refusal> {
    let req: ChatRequest =
        serde_json::from_slice(body).map_err(|e| malformed(format!("invalid body: {e}")))?;
    if req.messages.is_empty() {
        return Err(malformed("messages must not be empty"));
    }
    let snapshot = components.core.snapshot();
    let rule = snapshot.objects.rules.get(&req.model).ok_or_else(|| {
        let detail = format!("unknown rule {:?}", req.model);
        Refusal::not_run(RefusalKind::NotFound, "parse", detail)
    })?;
    check_rule_allowed(&snapshot, &head, &req)?;
    let deadline = head.deadline_at(Duration::from_millis(rule.deadline_ms));
    Ok(ChatCall {
        request_id: head
            .idempotency_key
            .clone()
            .unwrap_or_else(|| request_id.into()),
        log_id: request_id.into(),
        session: session_request(&snapshot, &head)?,
        priority: rule.priority,
        rule: req.model.clone(),
        customer: head.customer,
        received: head.received,
        deadline,
        req,
    })
}

fn check_rule_allowed(
    snapshot: &Snapshot,
    head: &RequestHead,
    req: &ChatRequest,
) -> Result<(), Refusal> {
    let customer = snapshot.objects.customers.get(&head.customer);
    if customer.is_some_and(|c| c.rules.contains(&req.model)) {
        return Ok(());
    }
    let detail = format!(
        "customer {} is not allowed to use rule {}",
        head.customer, req.model
    );
    Err(Refusal::not_run(
        RefusalKind::NotAllowed,
        "authorize",
        detail,
    ))
}

fn session_request(snapshot: &Snapshot, head: &RequestHead) -> Result<SessionRequest, Refusal> {
    let Some(token) = &head.session else {
        return Ok(SessionRequest::None);
    };
    if token == NEW_SESSION {
        return Ok(SessionRequest::New);
    }
    let invalid =
        |detail: String| Refusal::not_run(RefusalKind::SessionInvalid, "authorize", detail);
    let session =
        session::open(&snapshot.objects.session_keys, token).map_err(|e| invalid(e.to_string()))?;
    if session.customer != head.customer {
        return Err(invalid("the session belongs to another customer".into()));
    }
    Ok(SessionRequest::Existing(session))
}
