//! Unstreamed answers: a cascade from the cheapest suitable version to more expensive ones.

use compact_str::CompactString;
use platform_api::engine::ChatResponse;

use crate::{
    coordination::routing::Choice,
    daemon::{
        chat::{
            call::{ChatReply, ReplyBody},
            deliver,
            placement::{select_placement, try_select_placement},
            run::{Attempt, CompletionRun},
        },
        policy::DeliveryDecision,
    },
    protocol::problem::Refusal,
    transport::{engine::error::EngineError, http_client::Reuse},
};

/// Answer that may be delivered.
struct Candidate {
    choice: Choice,
    answer: ChatResponse,
    quality: Option<f64>,
}

/// Runs the cascade; returns the first answer of sufficient quality, or the best one.
pub(super) async fn serve(mut run: CompletionRun) -> Result<ChatReply, Refusal> {
    let mut best: Option<Candidate> = None;
    loop {
        let candidate = match complete_with_retries(&mut run, best.is_some()).await {
            Ok(Some(candidate)) => candidate,
            Ok(None) => break,
            Err(refusal) if best.is_none() => return Err(refusal),
            Err(_) => break,
        };
        let escalate = should_escalate(&run, &candidate);
        let version = candidate.choice.version.clone();
        best = Some(better_rated(best, candidate));
        if !escalate {
            break;
        }
        run.route.tried.push(version);
    }
    match best {
        Some(best) => build_reply(run, best).await,
        None => Err(super::refusals::no_free_slot(run.may_have_run())),
    }
}

/// Returns a rated answer, retrying failed attempts.
///
/// Returns `None` if no version or slot is available for an escalation.
async fn complete_with_retries(
    run: &mut CompletionRun,
    escalating: bool,
) -> Result<Option<Candidate>, Refusal> {
    loop {
        let placement = if escalating {
            let Some(placement) = try_select_placement(run).await else {
                return Ok(None);
            };
            placement
        } else {
            select_placement(run).await?
        };
        let attempt = run.attempt(placement, 0);
        match attempt_completion(run, &attempt).await {
            Ok((answer, incarnation)) => {
                let choice = attempt.placement.choice.clone();
                let first_token = run.components.core.clock.now() - attempt.started;
                run.record_success(attempt, first_token, incarnation);
                let quality = rate(run, &choice, &answer).await;
                return Ok(Some(Candidate {
                    choice,
                    answer,
                    quality,
                }));
            }
            Err(e) => run.record_failure(attempt, &e).await?,
        }
    }
}

async fn attempt_completion(
    run: &mut CompletionRun,
    attempt: &Attempt,
) -> Result<(ChatResponse, Option<u64>), EngineError> {
    let reuse = std::mem::replace(&mut run.reuse, Reuse::Idle);
    let limit = attempt.dispatch.limit;
    let request = attempt.client.complete(&attempt.dispatch, reuse);
    let peer = attempt.client.peer();
    let completion = tokio::time::timeout(limit, request)
        .await
        .map_err(|_| EngineError::TimedOut { peer })??;
    Ok((completion.response, completion.incarnation))
}

async fn rate(run: &CompletionRun, choice: &Choice, answer: &ChatResponse) -> Option<f64> {
    let text: CompactString = answer
        .choices
        .first()
        .map_or_else(CompactString::default, |c| {
            c.message.content.as_str().into()
        });
    run.components
        .policy
        .rate(&run.route, choice, &super::prompt(&run.call), &text)
        .await
}

/// Whether a more expensive version should answer instead.
fn should_escalate(run: &CompletionRun, candidate: &Candidate) -> bool {
    let decision =
        run.components
            .policy
            .decide_delivery(&run.route, &candidate.choice, candidate.quality);
    run.components.core.record_decision(
        &run.call.log_id,
        "judge",
        format_args!(
            "version={} quality={} verdict={decision}",
            candidate.choice.version,
            candidate
                .quality
                .map_or_else(|| "unrated".into(), |q| format!("{q:.2}")),
        ),
    );
    decision == DeliveryDecision::Escalate
}

/// Returns the better rated of two answers, or the later one if it is unrated.
fn better_rated(best: Option<Candidate>, latest: Candidate) -> Candidate {
    match best {
        Some(best) if best.quality > latest.quality && latest.quality.is_some() => best,
        _ => latest,
    }
}

async fn build_reply(run: CompletionRun, best: Candidate) -> Result<ChatReply, Refusal> {
    let version = best.choice.version.clone();
    let session = deliver::session_token(&run, &version)?;
    deliver::record_bill(&run, &best.choice, best.answer.usage).await?;
    let mut answer = best.answer;
    answer.id = run.call.request_id.clone();
    Ok(ChatReply {
        version,
        session,
        body: ReplyBody::Unstreamed(Box::new(answer)),
    })
}
