//! The verb `explain-route`: shows where a request would go now, without sending it.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use platform::net;
use thiserror::Error;

use crate::{
    cli::ExplainRouteArgs,
    commands::{Status, print},
    coordination::dispatch::explain::{ConsideredUpstream, Decision},
    gateway::explain::{PATH, RouteAnswer, RouteQuestion},
};

/// Timeout of the whole query.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a daemon's answer is not known.
#[derive(Debug, Error)]
enum QueryError {
    /// The daemon did not answer.
    #[error("{0} did not answer: {1}")]
    NoAnswer(SocketAddr, Box<dyn std::error::Error + Send + Sync>),
    /// The daemon refused to answer.
    #[error("{0} answered {1}: {2}")]
    Refused(SocketAddr, StatusCode, String),
}

/// Runs the verb.
pub async fn run(args: ExplainRouteArgs) -> ExitCode {
    let question = RouteQuestion {
        route: args.route,
        customer: args.customer,
        model: args.model,
        session: args.session,
        prompt_parts: args.prompt_parts,
        tokens: args.tokens,
        deadline_ms: args.deadline_ms,
        body_bytes: args.body_bytes,
    };
    match ask(args.daemon, &question).await {
        Ok(answer) if args.json => print::json(&answer),
        Ok(answer) => show(&answer),
        Err(e) => {
            eprintln!("{e}");
            return Status::Failed.into();
        }
    }
    Status::Done.into()
}

async fn ask(daemon: SocketAddr, question: &RouteQuestion) -> Result<RouteAnswer, QueryError> {
    let (status, body) = tokio::time::timeout(TIMEOUT, exchange(daemon, question))
        .await
        .map_err(|e| QueryError::NoAnswer(daemon, e.into()))?
        .map_err(|e| QueryError::NoAnswer(daemon, e))?;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(QueryError::Refused(daemon, status, text));
    }
    serde_json::from_slice(&body).map_err(|e| QueryError::NoAnswer(daemon, e.into()))
}

async fn exchange(
    daemon: SocketAddr,
    question: &RouteQuestion,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    // The daemon answers only connections from an address of its own instance.
    let stream = net::connect_from(daemon.ip(), daemon, TIMEOUT, TIMEOUT).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Errors of the connection are those of the request.
    let connection = tokio::spawn(connection);
    let request = Request::post(PATH)
        .header(header::HOST, daemon.to_string())
        .body(Full::new(Bytes::from(serde_json::to_vec(question)?)))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = body.await?.to_bytes();
    connection.abort();
    Ok((status, body))
}

fn show(answer: &RouteAnswer) {
    let explanation = &answer.explanation;
    match &explanation.decision {
        Decision::Upstream {
            upstream,
            expected_ms,
        } => println!("upstream={upstream} expected_ms={expected_ms}"),
        Decision::Wait { ms } => println!("wait ms={ms}"),
        Decision::Delegate => println!("delegate"),
        Decision::Refuse {
            reason,
            retry_after_ms,
        } => println!("refuse reason={reason} retry_after_ms={retry_after_ms}"),
    }
    println!(
        "service={} model={} priority={} arm={} generation={}",
        explanation.service,
        answer.model.as_deref().unwrap_or("-"),
        answer.priority,
        explanation.arm.as_deref().unwrap_or("none"),
        explanation.generation
    );
    explanation.candidates.iter().for_each(show_candidate);
    let age = &explanation.data_age;
    println!(
        "daemons={} newest_heartbeat_ms={} oldest_heartbeat_ms={} table_lost_ms={}",
        age.daemons,
        optional(age.newest_heartbeat_ms),
        optional(age.oldest_heartbeat_ms),
        optional(age.table_lost_ms)
    );
}

fn show_candidate(candidate: &ConsideredUpstream) {
    println!(
        "  {} version={} cost={} passed_over={} backlog_ms={} running={} slots={}",
        candidate.upstream,
        candidate.version,
        candidate
            .cost
            .map_or("-".into(), |cost| format!("{cost:.1}")),
        candidate.passed_over.as_deref().unwrap_or("-"),
        candidate.backlog_ms,
        candidate.running,
        candidate.slots
    );
}

fn optional(ms: Option<u32>) -> String {
    ms.map_or("-".into(), |ms| ms.to_string())
}
