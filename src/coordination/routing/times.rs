//! How long versions take, as this daemon has seen it.

use std::{collections::HashMap, time::Duration};

use crate::{
    coordination::{quality::RequestClass, routing::replicas::Outcome},
    state::objects::VersionName,
};

/// The weight of the newest time in the moving averages.
const WEIGHT: f64 = 0.1;

/// How many mean deviations above the mean an estimate lies.
const DEVIATIONS: f64 = 2.0;

/// The greatest number of versions remembered.
const MAX_VERSIONS: usize = 256;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean_s: f64,
    deviation_s: f64,
    known: bool,
}

impl Average {
    fn add(&mut self, newest: Duration) {
        let newest = newest.as_secs_f64();
        if !self.known {
            *self = Self {
                mean_s: newest,
                deviation_s: newest / 4.0,
                known: true,
            };
            return;
        }
        let off = newest - self.mean_s;
        self.mean_s += WEIGHT * off;
        self.deviation_s += WEIGHT * (off.abs() - self.deviation_s);
    }

    fn high(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}

/// Moving averages of whole answers' times by version and request class.
#[derive(Debug, Default)]
pub(super) struct Times {
    by_version: HashMap<VersionName, [Average; RequestClass::COUNT]>,
}

impl Times {
    /// Takes in a finished request.
    pub(super) fn add(&mut self, version: &str, class: RequestClass, outcome: Outcome) {
        let Outcome::Answered { whole, .. } = outcome else {
            return;
        };
        if let Some(averages) = self.by_version.get_mut(version) {
            averages[class.index()].add(whole);
            return;
        }
        if self.by_version.len() < MAX_VERSIONS {
            let mut averages = [Average::default(); RequestClass::COUNT];
            averages[class.index()].add(whole);
            self.by_version.insert(version.into(), averages);
        }
    }

    /// A time within which most answers end; zero while none is known.
    pub(super) fn whole(&self, version: &str, class: RequestClass) -> Duration {
        self.by_version
            .get(version)
            .map_or(Duration::ZERO, |averages| averages[class.index()].high())
    }
}
