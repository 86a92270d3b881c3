//! The daemon's metrics, in one registry for the process.

use std::sync::LazyLock;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder, core::Collector,
};

/// The generation in force, by daemon.
pub static CONFIGURATION_GENERATION: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_configuration_generation",
        "The configuration generation in force.",
        &["daemon"],
    )
});

/// Whether new work is taken (1) or not (0), by daemon.
pub static READY: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_ready",
        "Whether new work is taken.",
        &["daemon"],
    )
});

/// The daemons known, by daemon that knows them and by state.
pub static MEMBERS: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_members",
        "The daemons known, by state.",
        &["daemon", "state"],
    )
});

/// The publications asked of this process, by daemon and outcome.
pub static PUBLICATIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_publications_total",
        "Publications asked of this daemon, by outcome.",
        &["daemon", "outcome"],
    )
});

/// The callers' requests, by daemon, kind and outcome: `served` or the kind of refusal.
pub static REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_requests_total",
        "Requests of callers, by kind and by outcome.",
        &["daemon", "kind", "outcome"],
    )
});

/// The time to a whole answer, a refusal or the first token of a stream, by daemon and kind.
pub static REQUEST_SECONDS: LazyLock<HistogramVec> = LazyLock::new(|| {
    histogram(
        "hibiscusyoke_request_duration_seconds",
        "Time from a request's arrival to its answer, its refusal or its first token.",
        &["daemon", "kind"],
    )
});

/// The attempts on engines, by daemon and outcome.
pub static ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_attempts_total",
        "Attempts on model engines, by outcome.",
        &["daemon", "outcome"],
    )
});

/// All metrics of the process in the text format.
pub fn render() -> String {
    TextEncoder::new()
        .encode_to_string(&prometheus::gather())
        .unwrap_or_default()
}

/// Registers a gauge; the name and the labels must be valid and new.
pub fn gauge(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
    register(&gauge);
    gauge
}

/// Registers a counter; the name and the labels must be valid and new.
pub fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
    register(&counter);
    counter
}

/// Registers a histogram of seconds; the name and the labels must be valid and new.
pub fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help);
    let histogram = HistogramVec::new(opts, labels).expect("valid metric");
    register(&histogram);
    histogram
}

fn register<C: Collector + Clone + 'static>(collector: &C) {
    if let Err(e) = prometheus::register(Box::new(collector.clone())) {
        log::error!("step=register_metric error={e}");
    }
}
