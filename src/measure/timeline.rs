//! What happens during a run, and when.

use std::time::Duration;

use stand_in::control::{Control, Down};

use crate::{
    measure::{
        bed::Bed,
        objects::{BEST, DOMAINS, ROLLED_OUT},
        scenario::Scenario,
        target::Target,
    },
    state::objects::ServiceState,
};

/// The time between the order that takes a failure domain out and its engines' end.
const NOTICE: Duration = Duration::from_secs(2);

/// How long an engine's load report hides that it has turned cold.
const COLD_GRACE: Duration = Duration::from_secs(1);

/// How much a plainly bad version loses of its quality.
const PLAIN_DROP: f64 = 0.6;

/// How much a slightly bad version loses of its quality.
const SLIGHT_DROP: f64 = 0.15;

/// One thing that happens.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// An operator changes the state of a failure domain.
    Domain(&'static str, ServiceState),
    /// The engines of a failure domain, or all, are told something.
    Engines(Option<&'static str>, Control),
    /// The rating service is told something.
    Rating(Control),
    /// The table is told something.
    Table(Control),
}

/// A step with its time.
#[derive(Clone, Debug)]
pub(super) struct Timed {
    pub(super) at: Duration,
    pub(super) step: Step,
}

/// When the main event of a scenario happens.
pub(super) fn event_at(scenario: Scenario, length: Duration) -> Duration {
    match scenario {
        Scenario::BadVersion | Scenario::SlightlyBadVersion | Scenario::BadTrustedVersion => {
            length / 2
        }
        _ => length / 3,
    }
}

/// When the event is over.
pub(super) fn event_over(scenario: Scenario, length: Duration) -> Duration {
    match scenario {
        Scenario::DomainOutAndBack | Scenario::RatingDown | Scenario::StoreDown => length * 2 / 3,
        _ => length,
    }
}

/// What happens in a scenario, in order of time.
pub(super) fn timeline(scenario: Scenario, length: Duration) -> Vec<Timed> {
    let begins = event_at(scenario, length);
    let ends = event_over(scenario, length);
    let down = Control::Down { how: Down::Refuse };
    let bad = |version: &str, quality_drop| {
        let version = version.into();
        Step::Engines(
            None,
            Control::TurnBad {
                version,
                quality_drop,
            },
        )
    };
    let domain = DOMAINS[0];
    let steps = match scenario {
        Scenario::FilmverdeGate | Scenario::KorrigOvernight | Scenario::Overload => Vec::new(),
        Scenario::BadVersion => vec![(begins, bad(ROLLED_OUT, PLAIN_DROP))],
        Scenario::SlightlyBadVersion => vec![(begins, bad(ROLLED_OUT, SLIGHT_DROP))],
        Scenario::BadTrustedVersion => vec![(begins, bad(BEST, PLAIN_DROP))],
        Scenario::DomainOutAndBack => vec![
            (begins, Step::Domain(domain, ServiceState::Out)),
            (begins + NOTICE, Step::Engines(Some(domain), down)),
            (ends - NOTICE, Step::Engines(Some(domain), Control::Up)),
            (ends, Step::Domain(domain, ServiceState::In)),
        ],
        Scenario::ColdPool => {
            let cold = Control::GoCold { grace: COLD_GRACE };
            vec![(begins, Step::Engines(None, cold))]
        }
        Scenario::RatingDown => vec![
            (begins, Step::Rating(down)),
            (ends, Step::Rating(Control::Up)),
        ],
        Scenario::StoreDown => vec![
            (begins, Step::Table(down)),
            (ends, Step::Table(Control::Up)),
        ],
    };
    let timed = |(at, step)| Timed { at, step };
    steps.into_iter().map(timed).collect()
}

impl Step {
    pub(super) async fn apply(&self, bed: &Bed, target: &Target) {
        let told = match self {
            Self::Domain(name, state) => {
                target.set_domain(name, *state).await;
                return;
            }
            Self::Engines(domain, control) => {
                bed.control_engines(*domain, control);
                return;
            }
            Self::Rating(control) => bed.platform.rating.control(control),
            Self::Table(control) => bed.platform.table.control(control),
        };
        if let Err(e) = told {
            log::warn!("step=measure event={self:?} error={e}");
        }
    }
}
