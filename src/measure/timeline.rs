//! Events scheduled during a run.

use std::time::Duration;

use stand_in::control::{Control, Down};

use crate::{
    measure::{
        harness::Harness,
        objects::{BEST_VERSION, DOMAINS, ROLLOUT_VERSION},
        scenario::Scenario,
        target::Target,
    },
    state::objects::ServiceState,
};

/// Time between taking a failure domain out of service and the shutdown of its engines.
const EVACUATION_NOTICE: Duration = Duration::from_secs(2);

/// Delay until an engine's load report shows that it has become cold; until then, load above the
/// cold limit does not crash it.
const COLD_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Loss of quality of a severely degraded version.
const LARGE_QUALITY_DROP: f64 = 0.6;

/// Loss of quality of a slightly degraded version.
const SMALL_QUALITY_DROP: f64 = 0.15;

/// An event that changes the system under test or a stand-in.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// An operator changes the state of a failure domain.
    Domain(&'static str, ServiceState),
    /// A control command is sent to the engines of a failure domain, or to all engines.
    Engines(Option<&'static str>, Control),
    /// A control command is sent to the rating service.
    Rating(Control),
    /// A control command is sent to the table.
    Table(Control),
}

/// An event and its time since the start of the run.
#[derive(Clone, Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: Duration,
    pub(super) event: Event,
}

/// Returns the time at which the main event of a scenario starts.
pub(super) fn event_start(scenario: Scenario, duration: Duration) -> Duration {
    match scenario {
        Scenario::BadVersion | Scenario::SlightlyBadVersion | Scenario::BadTrustedVersion => {
            duration / 2
        }
        _ => duration / 3,
    }
}

/// Returns the time at which the main event of a scenario ends.
pub(super) fn event_end(scenario: Scenario, duration: Duration) -> Duration {
    match scenario {
        Scenario::DomainOutAndBack | Scenario::RatingDown | Scenario::StoreDown => duration * 2 / 3,
        _ => duration,
    }
}

/// Returns the events of a scenario in order of time.
pub(super) fn timeline(scenario: Scenario, duration: Duration) -> Vec<ScheduledEvent> {
    let start = event_start(scenario, duration);
    let end = event_end(scenario, duration);
    let down = Control::Down { how: Down::Refuse };
    let turn_bad = |version: &str, quality_drop| {
        let version = version.into();
        Event::Engines(
            None,
            Control::TurnBad {
                version,
                quality_drop,
            },
        )
    };
    let domain = DOMAINS[0];
    let events = match scenario {
        Scenario::FilmverdeGate | Scenario::KorrigOvernight | Scenario::Overload => Vec::new(),
        Scenario::BadVersion => vec![(start, turn_bad(ROLLOUT_VERSION, LARGE_QUALITY_DROP))],
        Scenario::SlightlyBadVersion => {
            vec![(start, turn_bad(ROLLOUT_VERSION, SMALL_QUALITY_DROP))]
        }
        Scenario::BadTrustedVersion => vec![(start, turn_bad(BEST_VERSION, LARGE_QUALITY_DROP))],
        Scenario::DomainOutAndBack => vec![
            (start, Event::Domain(domain, ServiceState::Out)),
            (
                start + EVACUATION_NOTICE,
                Event::Engines(Some(domain), down),
            ),
            (
                end - EVACUATION_NOTICE,
                Event::Engines(Some(domain), Control::Up),
            ),
            (end, Event::Domain(domain, ServiceState::In)),
        ],
        Scenario::ColdPool => {
            let cold = Control::GoCold {
                grace: COLD_REPORT_DELAY,
            };
            vec![(start, Event::Engines(None, cold))]
        }
        Scenario::RatingDown => vec![
            (start, Event::Rating(down)),
            (end, Event::Rating(Control::Up)),
        ],
        Scenario::StoreDown => vec![
            (start, Event::Table(down)),
            (end, Event::Table(Control::Up)),
        ],
    };
    let schedule = |(at, event)| ScheduledEvent { at, event };
    events.into_iter().map(schedule).collect()
}

impl Event {
    pub(super) async fn apply(&self, harness: &Harness, target: &Target) {
        let result = match self {
            Self::Domain(name, state) => {
                target.set_domain(name, *state).await;
                return;
            }
            Self::Engines(domain, control) => {
                harness.control_engines(*domain, control);
                return;
            }
            Self::Rating(control) => harness.platform.rating.control(control),
            Self::Table(control) => harness.platform.table.control(control),
        };
        if let Err(e) = result {
            log::warn!("step=measure event={self:?} error={e}");
        }
    }
}
