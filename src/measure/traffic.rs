//! Traffic mix of each scenario.

use std::time::Duration;

use crate::measure::scenario::Scenario;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A completion returned in one response.
    Unstreamed,
    /// A streamed completion.
    Stream,
    /// An idempotent call to the service that is not a language model.
    Lookup,
}

/// Requests that one customer sends under one rule.
#[derive(Clone, Copy, Debug)]
pub(super) struct Traffic {
    pub(super) customer: &'static str,
    pub(super) rule: &'static str,
    pub(super) request_kind: RequestKind,
    /// Share of all arrivals, relative to the other traffic of the scenario.
    pub(super) weight: f64,
    pub(super) deadline: Duration,
    /// Minimum and maximum length of an answer in tokens.
    pub(super) tokens: (u32, u32),
    /// Maximum difficulty; the difficulty reduces the true quality of answers.
    pub(super) max_difficulty: f64,
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const GATE: Traffic = Traffic {
    customer: "gate",
    rule: "answer",
    request_kind: RequestKind::Stream,
    weight: 5.0,
    deadline: secs(5),
    tokens: (8, 24),
    max_difficulty: 0.7,
};

const DRAFT: Traffic = Traffic {
    customer: "drafts",
    rule: "draft",
    request_kind: RequestKind::Unstreamed,
    weight: 3.0,
    deadline: secs(15),
    tokens: (20, 50),
    max_difficulty: 0.75,
};

const SUMMARY: Traffic = Traffic {
    customer: "hauliers",
    rule: "summary",
    request_kind: RequestKind::Unstreamed,
    weight: 2.0,
    deadline: secs(10),
    tokens: (10, 30),
    max_difficulty: 0.75,
};

const REDRAW: Traffic = Traffic {
    customer: "dispatchers",
    rule: "redraw",
    request_kind: RequestKind::Unstreamed,
    weight: 6.0,
    deadline: secs(60),
    tokens: (30, 70),
    max_difficulty: 0.75,
};

const NOTICE: Traffic = Traffic {
    customer: "parents",
    rule: "notice",
    request_kind: RequestKind::Stream,
    weight: 2.0,
    deadline: secs(5),
    tokens: (6, 14),
    max_difficulty: 0.6,
};

const LOOKUP: Traffic = Traffic {
    customer: "drivers",
    rule: "",
    request_kind: RequestKind::Lookup,
    weight: 2.0,
    deadline: secs(3),
    tokens: (0, 0),
    max_difficulty: 0.0,
};

/// Requests of a large customer that competes with small ones.
const FLOOD: Traffic = Traffic {
    customer: "large",
    rule: "draft",
    request_kind: RequestKind::Unstreamed,
    weight: 18.0,
    deadline: secs(4),
    tokens: (20, 40),
    max_difficulty: 0.75,
};

const SMALL_GATE: Traffic = Traffic {
    weight: 1.0,
    deadline: secs(4),
    ..GATE
};

const SMALL_SUMMARY: Traffic = Traffic {
    weight: 1.0,
    deadline: secs(4),
    ..SUMMARY
};

/// Streamed requests, whose answers are rated only after delivery.
const ALL_STREAMS: Traffic = Traffic {
    rule: "draft",
    tokens: (10, 30),
    max_difficulty: 0.7,
    ..GATE
};

/// Returns the traffic mix of a scenario.
pub(super) fn for_scenario(scenario: Scenario) -> &'static [Traffic] {
    match scenario {
        Scenario::KorrigOvernight => &[REDRAW, NOTICE, LOOKUP],
        Scenario::Overload => &[FLOOD, SMALL_GATE, SMALL_SUMMARY],
        Scenario::BadVersion | Scenario::SlightlyBadVersion | Scenario::BadTrustedVersion => {
            &[ALL_STREAMS]
        }
        _ => &[GATE, DRAFT, SUMMARY],
    }
}

/// The customers of all scenarios.
pub(super) const CUSTOMERS: [&str; 7] = [
    "gate",
    "drafts",
    "hauliers",
    "dispatchers",
    "parents",
    "drivers",
    "large",
];
