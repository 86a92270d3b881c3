//! The scenarios.

use std::{str::FromStr, time::Duration};

use derive_more::Display;

/// How many requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Load {
    /// This many a second.
    PerSecond(f64),
    /// So many times what the fleet bears.
    TimesCapacity(f64),
}

impl Load {
    /// The arrivals a second, given the capacity if it was measured.
    pub(super) fn rate(self, capacity: Option<f64>) -> f64 {
        match self {
            Self::PerSecond(rate) => rate,
            Self::TimesCapacity(factor) => factor * capacity.unwrap_or(1.0),
        }
    }
}

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Scenario {
    /// An intake peak: streamed gate answers beside drafts and summaries.
    FilmverdeGate,
    /// Cheap redraws by a deadline, lookups and streamed notices.
    KorrigOvernight,
    /// A roll-out turns plainly bad.
    BadVersion,
    /// A roll-out turns slightly bad.
    SlightlyBadVersion,
    /// A trusted version turns plainly bad.
    BadTrustedVersion,
    /// A failure domain leaves and returns.
    DomainOutAndBack,
    /// Twice what the fleet bears, most of it from one customer.
    Overload,
    /// All engines turn cold at once.
    ColdPool,
    /// The rating service goes down and comes back.
    RatingDown,
    /// The table goes down and comes back.
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

    /// The time for which requests arrive unless another is given.
    pub fn default_duration(self) -> Duration {
        match self {
            Self::BadVersion | Self::SlightlyBadVersion | Self::BadTrustedVersion => {
                Duration::from_secs(120)
            }
            _ => Duration::from_secs(30),
        }
    }

    /// Whether the configuration has a roll-out.
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
            format!("no scenario {text}; there are {}", names.join(", "))
        })
    }
}
