//! The health of one upstream as this daemon sees it: ejection after failures and slow start after.

use std::time::{Duration, Instant};

use derive_more::Display;

/// The number of consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// The first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);

/// The time of faultless service after which the next ejection is short again.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(60);

/// The time in which an upstream's share grows back to whole after an ejection.
const SLOW_START_TIME: Duration = Duration::from_secs(5);

/// The share of requests that an upstream starts with after an ejection.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// Whether the upstream takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum HealthState {
    /// It does.
    Serving,
    /// One request at a time may find out whether it has come back.
    Probing,
    /// It does not for now.
    Ejected,
}

/// The record of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
    recovered_at: Option<Instant>,
}

impl Health {
    /// Whether it takes requests now.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.ejected_until {
            Some(until) if now < until => HealthState::Ejected,
            Some(_) => HealthState::Probing,
            None => HealthState::Serving,
        }
    }

    /// Whether a request may be sent to it, counting the probe that may already be under way.
    pub fn usable(&self, now: Instant) -> bool {
        match self.state(now) {
            HealthState::Serving => true,
            HealthState::Probing => !self.probing,
            HealthState::Ejected => false,
        }
    }

    /// The time of the next probe, if it is ejected.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// The share of its usual load that it bears, from [`SLOW_START_MIN_SHARE`] to 1.
    pub fn load_share(&self, now: Instant) -> f64 {
        let Some(at) = self.recovered_at else {
            return 1.0;
        };
        let ramp = now.saturating_duration_since(at).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        (SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * ramp).min(1.0)
    }

    /// A request was sent to it.
    pub fn started(&mut self, now: Instant) {
        if self.state(now) == HealthState::Probing {
            self.probing = true;
        }
    }

    /// It answered.
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

    /// It failed a request by its own fault.
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

    /// It is gone: its process ended or refuses connections.
    pub fn crashed(&mut self, now: Instant) {
        if self.state(now) != HealthState::Ejected {
            self.eject(now);
        }
    }

    /// A request ended without telling anything about it.
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
