//! Completion times of versions as measured by this daemon.

use std::{collections::HashMap, time::Duration};

use crate::{
    coordination::{quality::RequestClass, routing::replicas::Outcome},
    state::objects::VersionName,
};

/// Weight of the newest sample in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Distance of the upper bound from the mean, in mean deviations.
const DEVIATIONS: f64 = 2.0;

/// Maximum number of versions tracked.
const MAX_VERSIONS: usize = 256;

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    mean_s: f64,
    deviation_s: f64,
    initialized: bool,
}

impl MovingAverage {
    fn add(&mut self, newest: Duration) {
        let newest = newest.as_secs_f64();
        if !self.initialized {
            *self = Self {
                mean_s: newest,
                deviation_s: newest / 4.0,
                initialized: true,
            };
            return;
        }
        let difference = newest - self.mean_s;
        self.mean_s += SMOOTHING_FACTOR * difference;
        self.deviation_s += SMOOTHING_FACTOR * (difference.abs() - self.deviation_s);
    }

    fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}

/// Moving averages of completion times by version and request class.
#[derive(Debug, Default)]
pub(super) struct CompletionTimes {
    by_version: HashMap<VersionName, [MovingAverage; RequestClass::COUNT]>,
}

impl CompletionTimes {
    /// Records a finished request; only complete responses count.
    pub(super) fn add(&mut self, version: &str, class: RequestClass, outcome: Outcome) {
        let Outcome::Answered {
            completion_time, ..
        } = outcome
        else {
            return;
        };
        if let Some(averages) = self.by_version.get_mut(version) {
            averages[class.index()].add(completion_time);
            return;
        }
        if self.by_version.len() < MAX_VERSIONS {
            let mut averages = [MovingAverage::default(); RequestClass::COUNT];
            averages[class.index()].add(completion_time);
            self.by_version.insert(version.into(), averages);
        }
    }

    /// Returns a time within which most requests complete; zero without samples.
    pub(super) fn completion_time(&self, version: &str, class: RequestClass) -> Duration {
        self.by_version
            .get(version)
            .map_or(Duration::ZERO, |averages| {
                averages[class.index()].upper_bound()
            })
    }
}
