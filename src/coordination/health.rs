//! Health of one upstream as observed by this daemon: ejection after failures, then slow start.

use std::time::{Duration, Instant};

use derive_more::Display;

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection; doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);

/// Time after a recovery from which the next ejection starts again at [`MIN_EJECTION`].
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(60);

/// Time in which an upstream's share of the load returns to normal after an ejection.
const SLOW_START_TIME: Duration = Duration::from_secs(5);

/// Share of its normal load with which an upstream starts after an ejection.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// Whether the upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum HealthState {
    /// It accepts requests.
    Serving,
    /// One request at a time probes whether it has recovered.
    Probing,
    /// It gets no requests until the ejection ends.
    Ejected,
}

/// Tracks failures and ejections of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
    recovered_at: Option<Instant>,
}

impl Health {
    /// Returns the current state.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.ejected_until {
            Some(until) if now < until => HealthState::Ejected,
            Some(_) => HealthState::Probing,
            None => HealthState::Serving,
        }
    }

    /// Whether a request may be sent to it; only one probe may be in flight.
    pub fn usable(&self, now: Instant) -> bool {
        match self.state(now) {
            HealthState::Serving => true,
            HealthState::Probing => !self.probing,
            HealthState::Ejected => false,
        }
    }

    /// Returns the time of the next probe if it is ejected.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Share of its normal load that it gets, from [`SLOW_START_MIN_SHARE`] to 1.
    pub fn load_share(&self, now: Instant) -> f64 {
        let Some(at) = self.recovered_at else {
            return 1.0;
        };
        let ramp = now.saturating_duration_since(at).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        (SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * ramp).min(1.0)
    }

    /// Records that a request was sent to it.
    pub fn started(&mut self, now: Instant) {
        if self.state(now) == HealthState::Probing {
            self.probing = true;
        }
    }

    /// Records a successful response.
    pub fn succeeded(&mut self, now: Instant) {
        self.failures = 0;
        if self.ejected_until.take().is_some() {
            self.probing = false;
            self.recovered_at = Some(now);
        }
        let faultless = self
            .recovered_at
            .is_none_or(|at| now.saturating_duration_since(at) > EJECTION_RESET_AFTER);
        if faultless {
            self.ejections = 0;
            self.recovered_at = None;
        }
    }

    /// Records a failure caused by the upstream.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        let probe_failed = self.state(now) == HealthState::Probing;
        if self.state(now) == HealthState::Ejected {
            return;
        }
        if probe_failed || self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Ejects it at once, as its process crashed.
    pub fn crashed(&mut self, now: Instant) {
        if self.state(now) != HealthState::Ejected {
            self.eject(now);
        }
    }

    /// Records a request that ended without evidence about its health.
    pub fn inconclusive(&mut self) {
        self.probing = false;
    }

    fn eject(&mut self, now: Instant) {
        let growth = 1_u32 << self.ejections.min(5);
        let length = (MIN_EJECTION * growth).min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.probing = false;
        self.ejected_until = Some(now + length);
    }
}
