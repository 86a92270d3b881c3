//! The gateway's counters and latency histograms.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use http::StatusCode;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::{
    coordination::dispatch::{
        Dispatcher, announcements::Announcement, overload::PRIORITIES, reachability::Loss,
        registry::Upstream,
    },
    gateway::{forward::Origin, shared::Shared},
    metrics::{counter, gauge, histogram},
};

/// HTTP path of the metrics endpoint.
pub const PATH: &str = "/metrics";

static REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_requests_total",
        "Requests of callers, by outcome.",
        &["outcome"],
    )
});

static DELEGATED_REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_delegated_requests_total",
        "Requests that other daemons delegated to this one, by outcome.",
        &["outcome"],
    )
});

static REQUEST_SECONDS: LazyLock<HistogramVec> = LazyLock::new(|| {
    histogram(
        "hibiscusyoke_gateway_request_duration_seconds",
        "Time from a request's arrival to the end of its answer, by outcome.",
        &["outcome"],
    )
});

static ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_attempts_total",
        "Attempts on upstreams, by outcome.",
        &["outcome"],
    )
});

static REPLACED_ANSWERS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_replaced_answers_total",
        "Answers of upstreams replaced by 502, as their status promises that the request has not run, by status.",
        &["status"],
    )
});

static LATE_ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_late_attempts_total",
        "Attempts whose upstream was late with its response, by what came of them.",
        &["outcome"],
    )
});

static ANNOUNCEMENTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_upstream_announcements_total",
        "Upstreams that announced that they leave, want a pause, have a limit or are brittle.",
        &["what"],
    )
});

static PROBES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_probes_total",
        "Probes of upstreams while a loss of this instance's links is suspected, by outcome.",
        &["outcome"],
    )
});

static WAITS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_waits_total",
        "Requests that waited for an upstream with room, by priority.",
        &["priority"],
    )
});

static REJECTIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_rejections_total",
        "Requests that were rejected for lack of capacity, by priority.",
        &["priority"],
    )
});

static TABLE_CALLS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_table_calls_total",
        "Calls of the platform's table, by call and outcome.",
        &["call", "outcome"],
    )
});

static DATAGRAMS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_datagrams_sent_total",
        "Datagrams sent to other daemons, by kind.",
        &["kind"],
    )
});

static DATAGRAM_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_gateway_datagram_bytes_sent_total",
        "Bytes of datagrams sent to other daemons, by kind.",
        &["kind"],
    )
});

static STATE: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_gateway_state",
        "What the daemon believes: generation in force, upstreams listed, those it could not connect to, \
         whether it has lost all of them, daemons that live, whether a table is no longer followed, bytes of \
         streams held for their callers.",
        &["what"],
    )
});

static RETRY_BUDGET: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_gateway_retry_budget",
        "Requests and repeats that this daemon has counted in the window of the retry budget, repeats that are \
         granted and not sent yet, and the repeats that it allows, by service.",
        &["service", "what"],
    )
});

/// Records the outcome and the duration of a request.
pub fn request(outcome: &str, elapsed: Duration) {
    REQUESTS.with_label_values(&[outcome]).inc();
    REQUEST_SECONDS
        .with_label_values(&[outcome])
        .observe(elapsed.as_secs_f64());
}

/// Counts a request that another daemon delegated to this one.
pub fn delegated_request(outcome: &str) {
    DELEGATED_REQUESTS.with_label_values(&[outcome]).inc();
}

/// Counts a finished attempt by outcome.
pub fn attempt(outcome: &str) {
    ATTEMPTS.with_label_values(&[outcome]).inc();
}

/// Counts an answer of an upstream that was replaced, as its status promises that the request has not run.
pub fn replaced_answer(status: StatusCode) {
    REPLACED_ANSWERS.with_label_values(&[status.as_str()]).inc();
}

/// Counts an attempt whose upstream was late, by what came of it.
pub fn late_attempt(outcome: &str) {
    LATE_ATTEMPTS.with_label_values(&[outcome]).inc();
}

/// Counts a request that waits for an upstream with room.
pub fn wait(priority: u8) {
    WAITS.with_label_values(&[priority_label(priority)]).inc();
}

/// Counts a request that is rejected for lack of capacity.
pub fn rejection(priority: u8) {
    REJECTIONS
        .with_label_values(&[priority_label(priority)])
        .inc();
}

/// Returns one of at most ten label values; the last one stands for all lower priorities.
fn priority_label(priority: u8) -> &'static str {
    const LABELS: [&str; PRIORITIES] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    LABELS[usize::from(priority).min(PRIORITIES - 1)]
}

/// Counts an announcement of an upstream.
pub fn announcement(announcement: &Announcement) {
    let what = match announcement {
        Announcement::Leaving => "leaving",
        Announcement::Pause(_) => "pause",
        Announcement::InvalidPause => "invalid_pause",
        Announcement::Limit(_) => "limit",
        Announcement::LimitEnded => "limit_ended",
        Announcement::InvalidLimit => "invalid_limit",
        Announcement::Brittle(_) => "brittle",
        Announcement::BrittleEnded => "brittle_ended",
        Announcement::InvalidBrittle => "invalid_brittle",
    };
    ANNOUNCEMENTS.with_label_values(&[what]).inc();
}

/// Counts a probe of an upstream.
pub fn probe(result: Result<(), Loss>) {
    let outcome = match result {
        Ok(()) => "answered",
        Err(Loss::Silent) => "silent",
        Err(Loss::Broken) => "broken",
        Err(Loss::Unanswered) => "unanswered",
        Err(Loss::Refused) => "refused",
    };
    PROBES.with_label_values(&[outcome]).inc();
}

/// Counts a call to the table by outcome.
pub fn table_call(call: &str, outcome: &str) {
    TABLE_CALLS.with_label_values(&[call, outcome]).inc();
}

/// Counts datagrams of one kind and their bytes.
pub fn datagrams(kind: &str, count: usize, bytes: usize) {
    let [count, bytes] = [count, bytes].map(|n| u64::try_from(n).unwrap_or(u64::MAX));
    DATAGRAMS.with_label_values(&[kind]).inc_by(count);
    DATAGRAM_BYTES.with_label_values(&[kind]).inc_by(bytes);
}

/// Renders all metrics of the process in the Prometheus text format.
pub fn render(shared: &Shared) -> String {
    let now = shared.now();
    {
        let dispatcher = shared.dispatcher();
        let generation = dispatcher
            .routes()
            .map_or(0, |r| r.configuration().generation);
        set(
            "generation",
            usize::try_from(generation).unwrap_or(usize::MAX),
        );
        set("upstreams", dispatcher.registry.all().count());
        let unreachable = |u: &&Upstream| u.health.is_unreachable();
        set(
            "upstreams_unreachable",
            dispatcher.registry.all().filter(unreachable).count(),
        );
        set("cut_off", usize::from(dispatcher.reachability.is_cut_off()));
        set("daemons", dispatcher.peers.live(now).count() + 1);
    }
    set_retry_budgets(&mut shared.dispatcher(), now);
    let is_stalled = shared.follow_progress.is_stalled();
    set("not_followed", usize::from(is_stalled));
    set("bytes_held_for_callers", shared.send_buffers.held());
    set("bytes_of_requests", shared.request_bodies.held());
    set("bytes_of_responses", shared.response_bodies.held());
    set(
        "caller_connections",
        shared.connections(Origin::Caller).len(),
    );
    crate::metrics::render()
}

fn set_retry_budgets(dispatcher: &mut Dispatcher, now: Instant) {
    for service in dispatcher.counted_services() {
        let usage = dispatcher.retry_usage(&service, now);
        let values = [
            ("requests", usage.requests.into()),
            ("repeats", usage.retries.into()),
            ("reserved", usage.reserved.into()),
            ("allowed", usage.allowed as i64),
        ];
        for (what, value) in values {
            RETRY_BUDGET
                .with_label_values(&[service.as_str(), what])
                .set(value);
        }
    }
}

fn set(what: &str, value: usize) {
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    STATE.with_label_values(&[what]).set(value);
}
