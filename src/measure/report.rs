//! Results of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::measure::{
    harness::Harness,
    objects::{BEST_VERSION, ROLLOUT_VERSION},
    sample::{Outcome, Sample},
    target::TargetKind,
    timeline::{event_end, event_start},
    traffic::RequestKind,
};

/// Maximum value of a histogram; longer times are recorded as this value.
const MAX_MICROS: u64 = 200_000_000;

/// Width of the windows for which goodput is computed.
const GOODPUT_WINDOW: Duration = Duration::from_secs(1);

/// Summary of a latency distribution, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Results for one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers within their deadline.
    pub in_time: u64,
    /// Answers whose true quality meets their rule's target.
    pub good: u64,
}

/// Results of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The system that was measured.
    pub kind: TargetKind,
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub answered: u64,
    /// Complete answers within their deadline.
    pub in_time: u64,
    /// Refused requests.
    pub refused: u64,
    /// Refusals without a `Retry-After` header.
    pub refused_without_time: u64,
    /// Errors and truncated answers.
    pub failed: u64,
    /// Number of failed requests by reason.
    pub failures: BTreeMap<String, u64>,
    /// Fraction of the rated answers whose true quality meets their rule's target.
    pub good: f64,
    /// Mean true quality.
    pub quality: f64,
    /// Cost of all tokens generated, in the configuration's units.
    pub cost: f64,
    /// Cost per complete answer.
    pub cost_per_answer: f64,
    /// Time to first token of streamed answers.
    pub first_token: LatencySummary,
    /// Time to first token of requests that arrived during the event.
    pub first_token_in_event: LatencySummary,
    /// Time to first token of requests that arrived before the event.
    pub first_token_before: LatencySummary,
    /// Latency of complete answers that were not streamed.
    pub whole: LatencySummary,
    /// Latency of refusals.
    pub refusal: LatencySummary,
    /// Complete answers within their deadline, per second.
    pub goodput: f64,
    /// Minimum goodput of a window during the event, as a fraction of the requests that arrived in
    /// the window.
    pub least_window: f64,
    /// Answers started by versions that had already degraded, as counted by the engines.
    pub begun_bad: u64,
    /// Low-quality answers by the best versions to requests that arrived after the event started.
    pub served_bad: u64,
    /// Number of answers by version.
    pub versions: BTreeMap<String, u64>,
    /// Results by customer.
    pub customers: BTreeMap<&'static str, CustomerReport>,
    /// Number of engine crashes.
    pub crashes: u64,
}

/// Computes the report of a run; `cost_before` is the cost of the tokens generated before it.
pub(super) fn build_report(
    kind: TargetKind,
    harness: &Harness,
    samples: &[Sample],
    duration: Duration,
    cost_before: f64,
) -> Report {
    let start = event_start(harness.scenario, duration);
    let end = event_end(harness.scenario, duration);
    let answered: Vec<&Sample> = samples.iter().filter(|s| s.answered()).collect();
    let rated: Vec<(f64, bool)> = answered.iter().filter_map(|s| s.rated(harness)).collect();
    let stats = harness.engine_stats();
    let versions = stats.iter().flat_map(|s| &s.versions);
    let cost = harness.cost() - cost_before;
    let refused: Vec<&Sample> = samples.iter().filter(|s| s.refused()).collect();
    let in_time = samples.iter().filter(|s| s.in_time()).count() as u64;
    let is_during_event = |s: &&Sample| (start..end).contains(&s.at);
    let streams = || samples.iter().filter_map(|s| Some((s, s.first_token()?)));
    Report {
        kind,
        sent: samples.len() as u64,
        answered: answered.len() as u64,
        in_time,
        refused: refused.len() as u64,
        refused_without_time: samples.iter().filter(|s| s.refused_without_time()).count() as u64,
        failed: (samples.len() - answered.len() - refused.len()) as u64,
        failures: failures(samples),
        good: mean(rated.iter().map(|(_, good)| f64::from(u8::from(*good)))),
        quality: mean(rated.iter().map(|(quality, _)| *quality)),
        cost,
        cost_per_answer: cost / answered.len().max(1) as f64,
        first_token: summarize_latencies(streams().map(|(_, t)| t)),
        first_token_in_event: summarize_latencies(
            streams()
                .filter(|(s, _)| is_during_event(s))
                .map(|(_, t)| t),
        ),
        first_token_before: summarize_latencies(
            streams().filter(|(s, _)| s.at < start).map(|(_, t)| t),
        ),
        whole: summarize_latencies(
            answered
                .iter()
                .filter(|s| s.traffic.request_kind == RequestKind::Unstreamed)
                .map(|s| s.latency),
        ),
        refusal: summarize_latencies(refused.iter().map(|s| s.latency)),
        goodput: in_time as f64 / duration.as_secs_f64(),
        least_window: least_window(samples, start, end),
        begun_bad: versions.map(|v| v.begun_bad).sum(),
        served_bad: served_bad(&answered, start),
        versions: by_version(&answered),
        customers: by_customer(harness, samples),
        crashes: stats
            .iter()
            .map(|s| s.cold_crashes + s.poison_crashes)
            .sum(),
    }
}

impl Sample {
    fn answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }

    fn in_time(&self) -> bool {
        self.answered() && self.latency <= self.traffic.deadline
    }

    fn refused(&self) -> bool {
        matches!(self.outcome, Outcome::Refused { .. })
    }

    fn refused_without_time(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Refused {
                has_retry_after: false
            }
        )
    }

    fn first_token(&self) -> Option<Duration> {
        match self.outcome {
            Outcome::Answered { first_token, .. } => first_token,
            _ => None,
        }
    }

    /// Returns the true quality and whether it meets the rule's target.
    fn rated(&self, harness: &Harness) -> Option<(f64, bool)> {
        let Outcome::Answered { quality, .. } = self.outcome else {
            return None;
        };
        let rule = harness.objects.rules.get(self.traffic.rule)?;
        quality.map(|quality| (quality, quality >= rule.quality))
    }

    fn version(&self) -> Option<&str> {
        match &self.outcome {
            Outcome::Answered { version, .. } => Some(version),
            _ => None,
        }
    }
}

fn served_bad(answered: &[&Sample], turned_bad_at: Duration) -> u64 {
    let affected = [ROLLOUT_VERSION, BEST_VERSION];
    let bad = answered.iter().filter(|s| {
        let is_after_event = s.at >= turned_bad_at;
        let is_low_quality =
            matches!(s.outcome, Outcome::Answered { quality: Some(q), .. } if q < 0.5);
        is_after_event && is_low_quality && s.version().is_some_and(|v| affected.contains(&v))
    });
    bad.count() as u64
}

fn failures(samples: &[Sample]) -> BTreeMap<String, u64> {
    /// Length to which reasons are truncated, so that similar ones are counted together.
    const REASON_CHARS: usize = 110;
    let mut failures = BTreeMap::new();
    for sample in samples {
        if let Outcome::Failed { reason } = &sample.outcome {
            let reason: String = reason.chars().take(REASON_CHARS).collect();
            *failures.entry(reason).or_default() += 1;
        }
    }
    failures
}

fn by_version(answered: &[&Sample]) -> BTreeMap<String, u64> {
    let mut versions = BTreeMap::new();
    for version in answered.iter().filter_map(|s| s.version()) {
        *versions.entry(version.to_owned()).or_default() += 1;
    }
    versions
}

fn by_customer(harness: &Harness, samples: &[Sample]) -> BTreeMap<&'static str, CustomerReport> {
    let mut customers: BTreeMap<_, CustomerReport> = BTreeMap::new();
    for sample in samples {
        let customer = customers.entry(sample.traffic.customer).or_default();
        customer.sent += 1;
        customer.in_time += u64::from(sample.in_time());
        customer.good += u64::from(sample.rated(harness).is_some_and(|(_, good)| good));
    }
    customers
}

fn least_window(samples: &[Sample], start: Duration, end: Duration) -> f64 {
    let mut minimum = 1.0_f64;
    let mut window_start = start;
    while window_start + GOODPUT_WINDOW <= end {
        let window = window_start..window_start + GOODPUT_WINDOW;
        let arrived = samples.iter().filter(|s| window.contains(&s.at));
        let (sent, good) = arrived.fold((0_u32, 0_u32), |(sent, good), s| {
            (sent + 1, good + u32::from(s.in_time()))
        });
        if sent > 0 {
            minimum = minimum.min(f64::from(good) / f64::from(sent));
        }
        window_start += GOODPUT_WINDOW;
    }
    minimum
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), v| (sum + v, count + 1));
    sum / f64::from(count.max(1))
}

fn summarize_latencies(values: impl Iterator<Item = Duration>) -> LatencySummary {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
        return LatencySummary::default();
    };
    for value in values {
        let micros = u64::try_from(value.as_micros()).unwrap_or(MAX_MICROS);
        histogram.saturating_record(micros);
    }
    let ms = |micros: u64| micros as f64 / 1_000.0;
    LatencySummary {
        count: histogram.len(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
    }
}
