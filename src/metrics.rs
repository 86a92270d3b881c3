//! Metrics of the daemon, in the process-wide registry.

use std::sync::LazyLock;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder, core::Collector,
};

/// Configuration generation in force, by daemon.
pub static CONFIGURATION_GENERATION: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_configuration_generation",
        "Configuration generation in force.",
        &["daemon"],
    )
});

/// Whether the daemon accepts new requests (1) or not (0), by daemon.
pub static READY: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_ready",
        "Whether the daemon accepts new requests (1) or not (0).",
        &["daemon"],
    )
});

/// Number of fleet members, by observing daemon and member state.
pub static MEMBERS: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge(
        "hibiscusyoke_members",
        "Number of fleet members known to the daemon, by state.",
        &["daemon", "state"],
    )
});

/// Publish requests handled by this process, by daemon and outcome.
pub static PUBLICATIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_publications_total",
        "Publish requests handled by this daemon, by outcome.",
        &["daemon", "outcome"],
    )
});

/// Requests of callers, by daemon, kind and outcome (`served` or the kind of refusal).
pub static REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_requests_total",
        "Requests of callers, by kind and outcome.",
        &["daemon", "kind", "outcome"],
    )
});

/// Time to the complete response, the refusal or the first token of a stream, by daemon and kind.
pub static REQUEST_SECONDS: LazyLock<HistogramVec> = LazyLock::new(|| {
    histogram(
        "hibiscusyoke_request_duration_seconds",
        "Time from the arrival of a request to its complete response, refusal or first token.",
        &["daemon", "kind"],
    )
});

/// Attempts on model engines, by daemon and outcome.
pub static ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "hibiscusyoke_attempts_total",
        "Attempts on model engines, by outcome.",
        &["daemon", "outcome"],
    )
});

/// Returns all metrics of the process in the Prometheus text format.
pub fn render() -> String {
    TextEncoder::new()
        .encode_to_string(&prometheus::gather())
        .unwrap_or_default()
}

/// Registers a gauge. The name and the labels must be valid and the name not yet registered.
pub fn gauge(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
    register(&gauge);
    gauge
}

/// Registers a counter. The name and the labels must be valid and the name not yet registered.
pub fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
    register(&counter);
    counter
}

/// Registers a histogram of seconds. The name and the labels must be valid and the name not yet
/// registered.
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
