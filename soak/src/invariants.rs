//! The promises to callers and upstreams, checked on what these saw.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use derive_more::Display;
use http::StatusCode;

use crate::{
    caller,
    deployment::Deployment,
    records::{Outcome, RequestKind, RequestRecord, Span},
};

/// The time after which an upstream that is emptied gets nothing more.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// The end of the calm in which all must be served.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
/// The customer of all callers.
const CUSTOMER: &str = "t1";

/// A promise that was broken.
#[derive(Clone, Debug, Display)]
pub enum Violation {
    /// A request that must not be repeated ran more than once.
    #[display("{_0} ran {_1} times")]
    RanTwice(String, usize),
    /// A caller was told that a request had not run, but it had.
    #[display("{_0} ran, though its caller was told that it had not")]
    NotRunWasFalse(String),
    /// A caller got something else than its answer.
    #[display("{_0} was answered wrongly: {_1}")]
    WrongAnswer(String, String),
    /// A request with a valid key and path was refused.
    #[display("{_0} was refused with {_1}")]
    WrongRefusal(String, StatusCode),
    /// A gateway that lived took a request, and its connection ended without an answer.
    #[display("{_0} ran, and gateway {_1} gave no answer: {_2}")]
    NoAnswer(String, usize, String),
    /// A gateway that lived left a request without an answer beyond its time.
    #[display("{_0} had no answer of gateway {_1} in its time")]
    LeftWaiting(String, usize),
    /// A request was not served though nothing had been wrong for long.
    #[display("{_0} was not served after the storm: {_1:?}")]
    NotServed(String, Outcome),
    /// No request was sent though nothing had been wrong for long.
    #[display("no request was sent after the storm")]
    NothingSent,
    /// An upstream ran a request after it had been emptied.
    #[display("upstream {_1} ran {_0} though it takes no work")]
    RanOnDrained(String, usize),
    /// An upstream saw a caller's key, or another customer.
    #[display("{_0} reached its upstream with a key or for another customer")]
    WrongCustomer(String),
    /// A gateway doesn't name all gateways though nothing had been wrong for long.
    #[display("gateway {_0} names {_1} gateways")]
    Directory(usize, usize),
    /// A gateway doesn't go by the newest configuration.
    #[display("gateway {_0} answers {_1:?} to the newest key")]
    OldConfiguration(usize, Outcome),
    /// A process ended by itself, or with an error.
    #[display("gateway {_0} ended by itself or with an error")]
    BadExit(usize),
    /// A gateway that was ordered to stop went on for too long.
    #[display("gateway {_0} did not stop in its time")]
    SlowStop(usize),
}

/// Checks what callers and upstreams saw.
pub fn check(deployment: &Deployment, records: &[RequestRecord]) -> Vec<Violation> {
    let runs = runs_by_id(deployment);
    let mut violations = Vec::new();
    for record in records {
        let ran = runs.get(record.id.as_str()).copied().unwrap_or(0);
        let disruptions = deployment.fleet.disruptions(record.gateway);
        violations.extend(check_record(record, ran, disruptions));
    }
    violations.extend(check_recovery(records));
    violations.extend(check_drained(deployment));
    violations.extend(check_customers(deployment));
    violations
}

/// Asks each gateway which gateways it names, and whether it takes the newest key.
pub async fn check_directories(deployment: &Deployment) -> Vec<Violation> {
    let mut violations = Vec::new();
    for index in 0..deployment.fleet.len() {
        let named = caller::list_gateways(deployment.fleet.directory(index))
            .await
            .len();
        if named != deployment.fleet.len() {
            violations.push(Violation::Directory(index, named));
        }
        let outcome = caller::probe(
            deployment.fleet.caller_address(index),
            &deployment.newest_key(),
        )
        .await;
        if !outcome.is_served() {
            violations.push(Violation::OldConfiguration(index, outcome));
        }
    }
    violations
}

fn check_record(record: &RequestRecord, ran: usize, disruptions: &[Span]) -> Vec<Violation> {
    let id = || record.id.clone();
    let mut violations = Vec::new();
    if record.kind == RequestKind::Book && ran > 1 {
        violations.push(Violation::RanTwice(id(), ran));
    }
    let gateway_was_up = !disruptions.iter().any(|span| span.overlaps(record));
    match &record.outcome {
        Outcome::NotRun if ran > 0 => violations.push(Violation::NotRunWasFalse(id())),
        Outcome::Wrong(what) => violations.push(Violation::WrongAnswer(id(), what.clone())),
        Outcome::Failed(status) if status.is_client_error() => {
            violations.push(Violation::WrongRefusal(id(), *status));
        }
        Outcome::NoAnswer(e) if ran > 0 && gateway_was_up => {
            violations.push(Violation::NoAnswer(id(), record.gateway, e.clone()));
        }
        Outcome::TimedOut if gateway_was_up => {
            violations.push(Violation::LeftWaiting(id(), record.gateway));
        }
        _ => {}
    }
    violations
}

fn check_recovery(records: &[RequestRecord]) -> Vec<Violation> {
    let Some(end) = records.iter().map(|record| record.sent_at).max() else {
        return vec![Violation::NothingSent];
    };
    let from = end.checked_sub(RECOVERY_WINDOW).unwrap_or(end);
    records
        .iter()
        .filter(|record| record.sent_at >= from && !record.outcome.is_served())
        .map(|record| Violation::NotServed(record.id.clone(), record.outcome.clone()))
        .collect()
}

/// Looks at drains during which every gateway could hear of them, and no request was under way
/// for long.
fn check_drained(deployment: &Deployment) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, spans) in &deployment.drained {
        let steady = |span: &&Span| !deployment.unstable().any(|other| overlap(span, &other));
        for span in spans.iter().filter(steady) {
            let late = |at: Instant| at > span.from + DRAIN_PROPAGATION_TIME && at < span.to;
            let runs = deployment.upstreams[*index].upstream.runs();
            let late_runs = runs.into_iter().filter(|run| late(run.executed_at));
            violations.extend(late_runs.map(|run| Violation::RanOnDrained(run.id, *index)));
        }
    }
    violations
}

fn check_customers(deployment: &Deployment) -> Vec<Violation> {
    let mut seen = HashSet::new();
    let mut violations = Vec::new();
    for run in deployment
        .upstreams
        .iter()
        .flat_map(|place| place.upstream.runs())
    {
        let customer = run.headers.get("tenant-id");
        let right =
            customer.is_some_and(|c| c == CUSTOMER) && !run.headers.contains_key("x-api-key");
        if !right && seen.insert(run.id.clone()) {
            violations.push(Violation::WrongCustomer(run.id));
        }
    }
    violations
}

fn overlap(a: &Span, b: &Span) -> bool {
    a.from <= b.to && b.from <= a.to
}

fn runs_by_id(deployment: &Deployment) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in deployment
        .upstreams
        .iter()
        .flat_map(|place| place.upstream.runs())
    {
        *counts.entry(run.id).or_default() += 1;
    }
    counts
}
