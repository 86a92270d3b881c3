//! Results of two runs side by side, as a table and as JSON.

use std::fmt;

use serde::Serialize;

use crate::measure::{Plan, Report};

/// Results of the fleet and, optionally, of the naive baseline with the same arrivals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Time during which requests arrived.
    pub seconds: f64,
    /// The fleet's capacity in answers per second, if it was measured.
    pub capacity: Option<f64>,
    /// Results of the fleet.
    pub fleet: Report,
    /// Results of the naive baseline.
    pub naive: Option<Report>,
}

impl Comparison {
    pub(super) fn new(
        plan: &Plan,
        capacity: Option<f64>,
        fleet: Report,
        naive: Option<Report>,
    ) -> Self {
        Self {
            scenario: plan.scenario.to_string(),
            seed: plan.seed,
            seconds: plan.duration.as_secs_f64(),
            capacity,
            fleet,
            naive,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} seed={} seconds={}",
            self.scenario, self.seed, self.seconds
        )?;
        if let Some(capacity) = self.capacity {
            writeln!(f, "capacity {capacity:.1}/s")?;
        }
        writeln!(f, "{:<26}{:>12}{:>12}{:>10}", "", "fleet", "naive", "ratio")?;
        for row in &ROWS {
            self.row(f, row)?;
        }
        writeln!(f, "versions {:?}", self.fleet.versions)?;
        for (name, customer) in &self.fleet.customers {
            writeln!(
                f,
                "customer {name}: {} of {} in time, {} good",
                customer.in_time, customer.sent, customer.good
            )?;
        }
        for report in [Some(&self.fleet), self.naive.as_ref()]
            .into_iter()
            .flatten()
        {
            for (reason, count) in &report.failures {
                writeln!(f, "{} failed {count}: {reason}", report.kind)?;
            }
        }
        Ok(())
    }
}

/// A row of the printed table.
struct Row {
    name: &'static str,
    value: fn(&Report) -> f64,
}

const ROWS: [Row; 20] = [
    Row {
        name: "sent",
        value: |r| r.sent as f64,
    },
    Row {
        name: "in time",
        value: |r| r.in_time as f64,
    },
    Row {
        name: "refused",
        value: |r| r.refused as f64,
    },
    Row {
        name: "refused without time",
        value: |r| r.refused_without_time as f64,
    },
    Row {
        name: "failed",
        value: |r| r.failed as f64,
    },
    Row {
        name: "good enough",
        value: |r| r.good,
    },
    Row {
        name: "mean quality",
        value: |r| r.quality,
    },
    Row {
        name: "cost per answer",
        value: |r| r.cost_per_answer,
    },
    Row {
        name: "first token p50 ms",
        value: |r| r.first_token.p50_ms,
    },
    Row {
        name: "first token p99 ms",
        value: |r| r.first_token.p99_ms,
    },
    Row {
        name: "  before the event p99",
        value: |r| r.first_token_before.p99_ms,
    },
    Row {
        name: "  during the event p99",
        value: |r| r.first_token_in_event.p99_ms,
    },
    Row {
        name: "whole p50 ms",
        value: |r| r.whole.p50_ms,
    },
    Row {
        name: "whole p99 ms",
        value: |r| r.whole.p99_ms,
    },
    Row {
        name: "refusal p99 ms",
        value: |r| r.refusal.p99_ms,
    },
    Row {
        name: "goodput /s",
        value: |r| r.goodput,
    },
    Row {
        name: "least window of goodput",
        value: |r| r.least_window,
    },
    Row {
        name: "begun when bad",
        value: |r| r.begun_bad as f64,
    },
    Row {
        name: "delivered when bad",
        value: |r| r.served_bad as f64,
    },
    Row {
        name: "engine crashes",
        value: |r| r.crashes as f64,
    },
];

impl Comparison {
    fn row(&self, f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
        let fleet = (row.value)(&self.fleet);
        write!(f, "{:<26}{fleet:>12.3}", row.name)?;
        let Some(naive) = &self.naive else {
            return writeln!(f);
        };
        let naive = (row.value)(naive);
        write!(f, "{naive:>12.3}")?;
        if naive != 0.0 {
            write!(f, "{:>10.3}", fleet / naive)?;
        }
        writeln!(f)
    }
}
