//! Measurement scenarios.

use std::{str::FromStr, time::Duration};

use derive_more::Display;

/// Arrival rate of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Load {
    /// Requests per second.
    PerSecond(f64),
    /// Multiple of the fleet's measured capacity.
    TimesCapacity(f64),
}

impl Load {
    /// Returns the number of arrivals per second; `capacity` is the measured one, if any.
    pub(super) fn rate(self, capacity: Option<f64>) -> f64 {
        match self {
            Self::PerSecond(rate) => rate,
            Self::TimesCapacity(factor) => factor * capacity.unwrap_or(1.0),
        }
    }
}

/// A scenario: traffic, load and the event during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Scenario {
    /// An intake peak: streamed gate answers, drafts and summaries.
    FilmverdeGate,
    /// Low-cost redraws with a deadline, lookups and streamed notices.
    KorrigOvernight,
    /// A version that is being rolled out degrades severely.
    BadVersion,
    /// A version that is being rolled out degrades slightly.
    SlightlyBadVersion,
    /// A trusted version degrades severely.
    BadTrustedVersion,
    /// A failure domain is taken out of service and put back.
    DomainOutAndBack,
    /// Twice the fleet's capacity, mostly from one customer.
    Overload,
    /// All engines become cold at the same time.
    ColdPool,
    /// The rating service is down for part of the run.
    RatingDown,
    /// The table is down for part of the run.
    StoreDown,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 10] = [
        Self::FilmverdeGate,
        Self::KorrigOvernight,
        Self::BadVersion,
        Self::SlightlyBadVersion,
        Self::BadTrustedVersion,
        Self::DomainOutAndBack,
        Self::Overload,
        Self::ColdPool,
        Self::RatingDown,
        Self::StoreDown,
    ];

    /// Returns the default time during which requests arrive.
    pub fn default_duration(self) -> Duration {
        match self {
            Self::BadVersion | Self::SlightlyBadVersion | Self::BadTrustedVersion => {
                Duration::from_secs(120)
            }
            _ => Duration::from_secs(30),
        }
    }

    /// Whether the configuration includes a rollout.
    pub(super) fn has_rollout(self) -> bool {
        matches!(self, Self::BadVersion | Self::SlightlyBadVersion)
    }

    pub(super) fn load(self) -> Load {
        match self {
            Self::Overload => Load::TimesCapacity(2.0),
            Self::BadVersion | Self::SlightlyBadVersion => Load::PerSecond(80.0),
            Self::KorrigOvernight => Load::PerSecond(50.0),
            _ => Load::PerSecond(60.0),
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|s| s.to_string() == text);
        found.ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(ToString::to_string).collect();
            format!(
                "unknown scenario {text}; expected one of {}",
                names.join(", ")
            )
        })
    }
}
