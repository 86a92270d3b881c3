//! Session token, bill and rating of an answer.

use compact_str::CompactString;
use platform_api::engine::Usage;

use crate::{
    coordination::{bills::Bill, routing::Choice},
    daemon::chat::{call::SessionRequest, refusals, run::CompletionRun},
    protocol::{
        problem::{Refusal, RefusalKind},
        session::{self, Session},
    },
};

/// Returns the session token to send with the answer, if the call belongs to a session.
pub(super) fn session_token(
    run: &CompletionRun,
    version: &str,
) -> Result<Option<CompactString>, Refusal> {
    let snapshot = run.components.core.snapshot();
    let session = match &run.call.session {
        SessionRequest::None => return Ok(None),
        SessionRequest::Existing(session) => session.clone(),
        SessionRequest::New => Session {
            id: run.call.log_id.clone(),
            customer: run.call.customer.clone(),
            version: version.into(),
            generation: snapshot.generation,
        },
    };
    session::seal(&session, &snapshot.objects.session_keys)
        .map(|token| Some(token.into()))
        .map_err(|e| Refusal::unknown(RefusalKind::Internal, "deliver", e.to_string()))
}

/// Stores the bill; must complete before the end of the answer is sent.
pub(super) async fn record_bill(
    run: &CompletionRun,
    choice: &Choice,
    usage: Usage,
) -> Result<(), Refusal> {
    let core = &run.components.core;
    let bill = Bill::for_completion(
        &core.snapshot(),
        &run.call.customer,
        &run.call.request_id,
        &choice.version,
        usage,
        core.clock.wall(),
    );
    core.record_decision(&run.call.log_id, "bill", &bill);
    run.components.billing.record(bill).await.map_err(|e| {
        core.record_decision(&run.call.log_id, "bill", format_args!("failed={e}"));
        refusals::bill_not_stored()
    })
}

/// Requests a rating of a streamed answer after its delivery.
pub(super) fn rate_in_background(run: &CompletionRun, choice: &Choice, text: &str) {
    let policy = run.components.policy.clone();
    let route = run.route.clone();
    let choice = choice.clone();
    let prompt = super::prompt(&run.call);
    let text = text.to_owned();
    tokio::spawn(async move { policy.rate(&route, &choice, &prompt, &text).await });
}
