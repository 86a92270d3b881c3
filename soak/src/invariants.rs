//! Invariants for callers and upstreams, checked against what these observed.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use derive_more::Display;
use http::StatusCode;
use stand_in::gateway::{
    retry_audit::{RetryBound, WindowUse, worst_window},
    upstream::Run,
};

use crate::{
    caller,
    deployment::Deployment,
    records::{Outcome, RequestKind, RequestRecord, Span},
};

/// Time after which a draining upstream must not receive any more requests.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time after which all gateways must keep to a limit that an upstream has named.
const LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Span in which the requests within a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after which callers of a gateway that lost all upstreams must be served, and after which a
/// brittle upstream must be spared.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes of a brittle upstream that are allowed.
const MAX_BRITTLE_CRASHES: usize = 2;
/// Number of requests that may fail at a gateway that lost all upstreams, beside one in `CUT_OFF_RATIO`.
const MAX_CUT_OFF_FAILURES: usize = 10;
/// See [`MAX_CUT_OFF_FAILURES`].
const CUT_OFF_RATIO: usize = 50;
/// Time at the end of a run in which every request must be served.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
/// The limit on retries in the settings of the gateways.
const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.9,
    slack: 56.0,
    window: Duration::from_secs(10),
};
/// Customer of all callers.
const CUSTOMER: &str = "t1";

/// A violated invariant.
#[derive(Clone, Debug, Display)]
pub enum Violation {
    /// A request that must not be repeated was executed more than once.
    #[display("{_0} was executed {_1} times")]
    RanTwice(String, usize),
    /// A caller received a status that promises that its request was not executed, but the request had been executed.
    #[display("{_0} was executed, but its caller received a not-run response")]
    NotRunWasFalse(String),
    /// A caller received something other than the response to its request.
    #[display("{_0} received a wrong response: {_1}")]
    WrongAnswer(String, String),
    /// A request with a valid key and path was rejected as a client error.
    #[display("{_0} was rejected with status {_1}")]
    WrongRefusal(String, StatusCode),
    /// A request was executed, but a gateway that was up closed its connection without a response.
    #[display("{_0} was executed, but gateway {_1} sent no response: {_2}")]
    NoAnswer(String, usize, String),
    /// A request was not answered within its timeout although the gateway was up.
    #[display("{_0} received no response from gateway {_1} within its timeout")]
    LeftWaiting(String, usize),
    /// A request was not served after the recovery time without faults.
    #[display("{_0} was not served after the faults had ended: {_1:?}")]
    NotServed(String, Outcome),
    /// No request was sent at all.
    #[display("no request was sent")]
    NothingSent,
    /// A draining upstream executed a request.
    #[display("upstream {_1} executed {_0} while draining")]
    RanOnDrained(String, usize),
    /// A gateway sent a request to an upstream that had announced to it that it leaves.
    #[display("gateway {_2} sent {_0} to upstream {_1}, which had announced that it leaves")]
    RanOnLeaving(String, usize, usize),
    /// An upstream executed more requests than its limit allows.
    #[display("upstream {_0} executed {_1} requests within its limit's window, {_2} are allowed")]
    OverLimit(usize, usize, usize),
    /// Callers of a gateway that had lost all upstreams were served much worse than the others.
    #[display(
        "gateway {_0}, cut off from all upstreams, served {_1} of {_2}, the others {_3} of {_4}"
    )]
    CutOffUnserved(usize, usize, usize, usize, usize),
    /// The upstreams of a service received more retries in a window than operators allow.
    #[display("service {_0} received {} retries within a window, {:.0} are allowed", _1.retries, _1.allowed)]
    RetryBudget(&'static str, WindowUse),
    /// A brittle upstream crashed again and again as it had to refuse too many requests.
    #[display("brittle upstream {_0} crashed {_1} times")]
    BrittleCrashes(usize, usize),
    /// An upstream received a caller's key, or another customer.
    #[display("{_0} reached its upstream with a caller's key or for another customer")]
    WrongCustomer(String),
    /// A gateway's directory does not list all gateways after the recovery time without faults.
    #[display("gateway {_0} lists {_1} gateways")]
    Directory(usize, usize),
    /// A gateway does not apply the newest configuration.
    #[display("gateway {_0} responds to the newest key with {_1:?}")]
    OldConfiguration(usize, Outcome),
    /// A process exited unexpectedly or with an error.
    #[display("gateway {_0} exited unexpectedly or with an error")]
    BadExit(usize),
    /// A gateway did not exit in time after it was signalled to stop.
    #[display("gateway {_0} did not stop in time")]
    SlowStop(usize),
}

/// Checks what callers and upstreams observed.
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
    violations.extend(check_left(deployment, records));
    violations.extend(check_limits(deployment));
    violations.extend(check_cut_off(deployment, records));
    violations.extend(check_brittle(deployment));
    violations.extend(check_customers(deployment));
    violations.extend(check_retry_budget(deployment, records));
    violations
}

/// Checks that each gateway lists all gateways and accepts the newest key.
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
        Outcome::NotRun(_) if ran > 0 => violations.push(Violation::NotRunWasFalse(id())),
        Outcome::NotRun(status) | Outcome::Failed(status) if status.is_client_error() => {
            violations.push(Violation::WrongRefusal(id(), *status));
        }
        Outcome::Wrong(what) => violations.push(Violation::WrongAnswer(id(), what.clone())),
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

/// Checks the retries of each service in all windows. What a gateway sent while it was disturbed counts, too.
fn check_retry_budget(deployment: &Deployment, records: &[RequestRecord]) -> Vec<Violation> {
    let uses = retry_use(deployment, records).into_iter();
    uses.filter(|(_, worst)| worst.fraction() > 1.0)
        .map(|(service, worst)| Violation::RetryBudget(service, worst))
        .collect()
}

/// Returns the retries of each service in the window that comes closest to the operators' limit.
pub fn retry_use(
    deployment: &Deployment,
    records: &[RequestRecord],
) -> [(&'static str, WindowUse); 2] {
    ["pool", "desk"].map(|service| {
        let sent = records.iter().filter(|r| r.kind.service() == service);
        let upstreams = deployment.upstreams.iter().filter(|p| p.service == service);
        let arrivals = upstreams.flat_map(|proxied| proxied.upstream.arrived());
        let sent = sent.map(|record| record.sent_at).collect();
        (
            service,
            worst_window(sent, arrivals.collect(), &RETRY_BOUND),
        )
    })
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

/// Checks only drains during which no table, connection or gateway failed, so that every gateway
/// was notified and no request was in flight for long.
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

/// Checks that no gateway sent requests to an incarnation of an upstream after it had passed on a response
/// in which that incarnation announced that it leaves. Only a restart or a pause of the gateway excuses
/// them. Overlapping faults may restart an upstream before the time of one of them has ended.
fn check_left(deployment: &Deployment, records: &[RequestRecord]) -> Vec<Violation> {
    let by_id: HashMap<&str, &RequestRecord> = records
        .iter()
        .map(|record| (record.id.as_str(), record))
        .collect();
    let mut violations = Vec::new();
    for (index, spans) in &deployment.left {
        let runs = deployment.upstreams[*index].upstream.runs();
        for (span, gateway) in spans.iter().flat_map(|span| {
            let gateways = 0..deployment.fleet.len();
            gateways.map(move |gateway| (span, gateway))
        }) {
            let sent: Vec<(&Run, &RequestRecord)> = runs
                .iter()
                .filter(|run| run.executed_at >= span.from && run.executed_at <= span.to)
                .filter_map(|run| Some((run, *by_id.get(run.id.as_str())?)))
                .filter(|(_, record)| record.gateway == gateway)
                .collect();
            let mut announced: BTreeMap<u64, Instant> = BTreeMap::new();
            for (run, record) in &sent {
                if run.announced_leaving && record.outcome.is_served() {
                    let ended_at = record.ended_at();
                    let at = announced.entry(run.restarts).or_insert(ended_at);
                    *at = ended_at.min(*at);
                }
            }
            let disrupted = |from: Instant, until: Instant| {
                let mut disruptions = deployment.fleet.disruptions(gateway).iter();
                disruptions.any(|other| other.to >= from && other.from <= until)
            };
            let late = sent.iter().filter(|(run, record)| {
                announced.get(&run.restarts).is_some_and(|announced_at| {
                    record.sent_at > *announced_at + DRAIN_PROPAGATION_TIME
                        && !disrupted(*announced_at, record.ended_at())
                })
            });
            violations.extend(
                late.map(|(_, record)| Violation::RanOnLeaving(record.id.clone(), *index, gateway)),
            );
        }
    }
    violations
}

/// Checks that upstreams executed no more requests than they had named, from some time after they named
/// it. Only times without failures are checked, as gateways may be out of touch in others.
fn check_limits(deployment: &Deployment) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, proxied) in deployment.upstreams.iter().enumerate() {
        let runs = proxied.upstream.runs();
        for limited in runs.chunk_by(|a, b| a.named_limit == b.named_limit) {
            let Some(limit) = limited[0].named_limit else {
                continue;
            };
            let named_at = limited[0].executed_at;
            let allowed = allowed_in_window(limit);
            let late = limited.iter().map(|run| run.executed_at);
            for from in late.filter(|at| *at > named_at + LIMIT_PROPAGATION_TIME) {
                let to = from + LIMIT_WINDOW;
                let in_window = |run: &&Run| run.executed_at >= from && run.executed_at < to;
                let count = limited.iter().filter(in_window).count();
                let span = Span { from: named_at, to };
                let is_steady = !deployment.unstable().any(|other| overlap(&span, &other));
                if count > allowed && is_steady {
                    violations.push(Violation::OverLimit(index, count, allowed));
                }
            }
        }
    }
    violations
}

/// Returns how many requests a limit in requests per 1,000 seconds allows in a window.
fn allowed_in_window(per_kilosecond: u32) -> usize {
    let named = u64::from(per_kilosecond) * LIMIT_WINDOW.as_secs();
    usize::try_from(named * 3 / 2_000 + 5).unwrap_or(usize::MAX)
}

/// Checks that callers of a gateway that lost all upstreams were served two thirds as often as the others,
/// unless only a few requests failed. Only times without other failures are checked.
fn check_cut_off(deployment: &Deployment, records: &[RequestRecord]) -> Vec<Violation> {
    let all = deployment.cut_off.iter();
    let spans = all.flat_map(|(gateway, spans)| spans.iter().map(|span| (*gateway, *span)));
    let mut violations = Vec::new();
    for (gateway, span) in spans.clone() {
        let others_cut = spans
            .clone()
            .any(|(g, other)| g != gateway && overlap(&span, &other));
        if others_cut || deployment.unstable().any(|other| overlap(&span, &other)) {
            continue;
        }
        let from = span.from + CONTACT_TIME;
        let in_time = |r: &&RequestRecord| r.sent_at >= from && r.ended_at() <= span.to;
        let (cut, others): (Vec<&RequestRecord>, Vec<_>) = records
            .iter()
            .filter(in_time)
            .partition(|r| r.gateway == gateway);
        let served = |of: &[&RequestRecord]| of.iter().filter(|r| r.outcome.is_served()).count();
        let (cut_served, others_served) = (served(&cut), served(&others));
        let is_worse = 3 * cut_served * others.len() < 2 * others_served * cut.len();
        let allowed = MAX_CUT_OFF_FAILURES + (cut.len() + others.len()) / CUT_OFF_RATIO;
        if is_worse && cut.len() - cut_served > allowed {
            violations.push(Violation::CutOffUnserved(
                gateway,
                cut_served,
                cut.len(),
                others_served,
                others.len(),
            ));
        }
    }
    violations
}

/// Checks that brittle upstreams were spared. Only times without other failures are checked.
fn check_brittle(deployment: &Deployment) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, spans) in &deployment.brittle {
        let steady = |span: &&Span| !deployment.unstable().any(|other| overlap(span, &other));
        let crashes = deployment.upstreams[*index].upstream.crashes();
        for span in spans.iter().filter(steady) {
            let late = |at: &&Instant| **at > span.from + CONTACT_TIME && **at < span.to;
            let count = crashes.iter().filter(late).count();
            if count > MAX_BRITTLE_CRASHES {
                violations.push(Violation::BrittleCrashes(*index, count));
            }
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
