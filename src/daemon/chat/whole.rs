//! Whole answers: the cascade from the cheapest likely version upwards.

use compact_str::CompactString;
use platform_api::engine::ChatResponse;

use crate::{
    coordination::routing::Choice,
    daemon::{
        chat::{
            call::{ChatReply, ReplyBody},
            deliver,
            pick::{pick, pick_now},
            run::{Attempt, Run},
        },
        policy::Verdict,
    },
    protocol::problem::Refusal,
    transport::{engine::error::EngineError, http_client::Reuse},
};

/// An answer that may be delivered.
struct Candidate {
    choice: Choice,
    answer: ChatResponse,
    quality: Option<f64>,
}

/// Runs the cascade and returns the first answer that is good enough, or else the best.
pub(super) async fn serve(mut run: Run) -> Result<ChatReply, Refusal> {
    let mut best: Option<Candidate> = None;
    loop {
        let candidate = match answer(&mut run, best.is_some()).await {
            Ok(Some(candidate)) => candidate,
            Ok(None) => break,
            Err(refusal) if best.is_none() => return Err(refusal),
            Err(_) => break,
        };
        let escalate = judge(&run, &candidate);
        let version = candidate.choice.version.clone();
        best = Some(better(best, candidate));
        if !escalate {
            break;
        }
        run.route.tried.push(version);
    }
    match best {
        Some(best) => reply(run, best).await,
        None => Err(super::refuse::no_slot(run.may_have_run())),
    }
}

/// One rated answer, after as many attempts as it takes; `None` if an escalation has nowhere to go.
async fn answer(run: &mut Run, escalating: bool) -> Result<Option<Candidate>, Refusal> {
    loop {
        let pick = if escalating {
            let Some(pick) = pick_now(run).await else {
                return Ok(None);
            };
            pick
        } else {
            pick(run).await?
        };
        let attempt = run.attempt(pick, 0);
        match complete(run, &attempt).await {
            Ok((answer, incarnation)) => {
                let choice = attempt.pick.choice.clone();
                let first_token = run.parts.core.clock.now() - attempt.started;
                run.answered(attempt, first_token, incarnation);
                let quality = rate(run, &choice, &answer).await;
                return Ok(Some(Candidate {
                    choice,
                    answer,
                    quality,
                }));
            }
            Err(e) => run.failed(attempt, &e).await?,
        }
    }
}

async fn complete(
    run: &mut Run,
    attempt: &Attempt,
) -> Result<(ChatResponse, Option<u64>), EngineError> {
    let reuse = std::mem::replace(&mut run.reuse, Reuse::Idle);
    let limit = attempt.dispatch.limit;
    let work = attempt.client.complete(&attempt.dispatch, reuse);
    let peer = attempt.client.peer();
    let whole = tokio::time::timeout(limit, work)
        .await
        .map_err(|_| EngineError::TimedOut { peer })??;
    Ok((whole.response, whole.incarnation))
}

async fn rate(run: &Run, choice: &Choice, answer: &ChatResponse) -> Option<f64> {
    let text: CompactString = answer
        .choices
        .first()
        .map_or_else(CompactString::default, |c| {
            c.message.content.as_str().into()
        });
    run.parts
        .policy
        .rate(&run.route, choice, &super::prompt(&run.call), &text)
        .await
}

/// Whether a dearer version should answer instead.
fn judge(run: &Run, candidate: &Candidate) -> bool {
    let verdict = run
        .parts
        .policy
        .judge(&run.route, &candidate.choice, candidate.quality);
    run.parts.core.decide(
        &run.call.log_id,
        "judge",
        format_args!(
            "version={} quality={} verdict={verdict}",
            candidate.choice.version,
            candidate
                .quality
                .map_or_else(|| "unrated".into(), |q| format!("{q:.2}")),
        ),
    );
    verdict == Verdict::Escalate
}

/// The better rated of two, the later if neither is rated.
fn better(best: Option<Candidate>, latest: Candidate) -> Candidate {
    match best {
        Some(best) if best.quality > latest.quality && latest.quality.is_some() => best,
        _ => latest,
    }
}

async fn reply(run: Run, best: Candidate) -> Result<ChatReply, Refusal> {
    let version = best.choice.version.clone();
    let session = deliver::session(&run, &version)?;
    deliver::bill(&run, &best.choice, best.answer.usage).await?;
    let mut answer = best.answer;
    answer.id = run.call.request_id.clone();
    Ok(ChatReply {
        version,
        session,
        body: ReplyBody::Whole(Box::new(answer)),
    })
}
