//! The trust state of one version: trusted, on trial, demoted or ejected.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::coordination::{
    hash::{hash_bytes, mix},
    rollout::{
        evidence::{Baseline, Evidence},
        shares::Share,
    },
    routing::RejectionCause,
};

/// Fraction of the requests that a version on trial may serve in each stage, in basis points.
const STAGES_BASIS_POINTS: [u64; 5] = [100, 500, 2_500, 5_000, 10_000];

/// Ratings after which a version on trial moves to the next stage.
const RATINGS_PER_STAGE: [u32; 5] = [20, 30, 40, 60, u32::MAX];

/// Suspicion from which the unrated responses of a trusted version are limited.
const SUSPICION_THRESHOLD: f64 = 0.3;

/// Backoff after the first demotion; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_secs(30);

/// Maximum backoff after a demotion.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Whether and how a version may be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It may be chosen.
    Open,
    /// It may be chosen instead of the version that it replaces.
    Trial,
    /// It may be chosen, but versions that are not suspected are preferred.
    Suspected,
    /// It may be chosen if there is no other version.
    LastResort,
    /// The request is outside the current stage.
    OutsideStage,
    /// The exposure budget is exhausted.
    Exposure,
    /// It is permanently ejected.
    Ejected,
}

impl Gate {
    /// Returns the cause if the version may not be chosen.
    pub fn rejection(self) -> Option<RejectionCause> {
        match self {
            Self::Open | Self::Trial | Self::Suspected | Self::LastResort => None,
            Self::OutsideStage | Self::Exposure => Some(RejectionCause::Exposure),
            Self::Ejected => Some(RejectionCause::Ejected),
        }
    }
}

/// How far a version is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum TrustState {
    /// It accepts all requests.
    Trusted,
    /// It is being rolled out in stages.
    OnTrial,
    /// It was trusted and then degraded; it is retried after a backoff.
    Demoted,
    /// It proved faulty during its rollout; this is final.
    Ejected,
}

/// The trust state, exposure and ratings of one version.
#[derive(Clone, Debug)]
pub struct Trial {
    trust_state: TrustState,
    is_rollout: bool,
    share: Share,
    unrated: u32,
    evidence: Evidence,
    stage: usize,
    rated_in_stage: u32,
    demotions: u32,
    backoff_until: Option<Instant>,
}

impl Trial {
    /// Creates the state of a version without ratings.
    pub fn new(is_rollout: bool) -> Self {
        Self {
            trust_state: if is_rollout {
                TrustState::OnTrial
            } else {
                TrustState::Trusted
            },
            is_rollout,
            share: Share::default(),
            unrated: 0,
            evidence: Evidence::default(),
            stage: 0,
            rated_in_stage: 0,
            demotions: 0,
            backoff_until: None,
        }
    }

    /// Whether the configuration declares this version as a rollout.
    pub fn is_rollout(&self) -> bool {
        self.is_rollout
    }

    /// Returns the current trust state.
    pub fn trust_state(&self) -> TrustState {
        self.trust_state
    }

    /// Number of responses in flight, or delivered and not yet rated.
    pub fn unrated(&self) -> u32 {
        self.unrated
    }

    /// Returns the fraction of requests that it may serve in this stage, in basis points.
    pub fn stage(&self) -> u64 {
        STAGES_BASIS_POINTS[self.stage]
    }

    /// Sets this daemon's share of the exposure budget.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Decides whether a request, possibly from one of the version's sessions, may use the version.
    pub fn gate(&self, now: Instant, request_id: &str, own_session: bool) -> Gate {
        match self.trust_state {
            TrustState::Ejected => Gate::Ejected,
            TrustState::OnTrial if !self.within_budget() => Gate::Exposure,
            TrustState::OnTrial if own_session => Gate::Open,
            TrustState::OnTrial => self.gate_by_stage(request_id),
            TrustState::Trusted | TrustState::Demoted if own_session => Gate::Open,
            TrustState::Trusted if self.is_suspected() => Gate::Suspected,
            TrustState::Trusted => Gate::Open,
            TrustState::Demoted if self.backoff_elapsed(now) && self.within_budget() => {
                self.gate_by_stage(request_id)
            }
            TrustState::Demoted => Gate::LastResort,
        }
    }

    fn is_suspected(&self) -> bool {
        self.evidence.suspicion() >= SUSPICION_THRESHOLD && !self.within_budget()
    }

    fn gate_by_stage(&self, request_id: &str) -> Gate {
        let bucket = mix(hash_bytes(request_id.as_bytes()))
            % STAGES_BASIS_POINTS[STAGES_BASIS_POINTS.len() - 1];
        if bucket < self.stage() {
            return if self.is_rollout {
                Gate::Trial
            } else {
                Gate::Open
            };
        }
        match self.trust_state {
            TrustState::Demoted => Gate::LastResort,
            _ => Gate::OutsideStage,
        }
    }

    /// Failed ratings reduce the budget until passed ratings outweigh them.
    fn within_budget(&self) -> bool {
        let suspicion = self.evidence.suspicion();
        if suspicion > 0.0 && self.share.may_probe && self.unrated == 0 {
            return true;
        }
        f64::from(self.unrated + 1) <= f64::from(self.share.max_unrated) * (1.0 - suspicion)
    }

    fn backoff_elapsed(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|at| now >= at)
    }

    /// Records that a request was dispatched to the version.
    pub fn started(&mut self) {
        self.unrated += 1;
    }

    /// Records that a response was rated or will never be delivered.
    pub fn settled(&mut self) {
        self.unrated = self.unrated.saturating_sub(1);
    }

    /// Adds a rating; returns the trust state if it has changed.
    pub fn rated(&mut self, now: Instant, passed: bool, baseline: Baseline) -> Option<TrustState> {
        if matches!(self.trust_state, TrustState::Ejected) {
            return None;
        }
        self.evidence.add(passed, baseline);
        let faulty = match self.trust_state {
            TrustState::Trusted => self.evidence.severely_degraded(),
            _ => self.evidence.degraded(),
        };
        if faulty {
            return self.mark_faulty(now);
        }
        if self.trust_state == TrustState::Trusted {
            return None;
        }
        self.rated_in_stage += 1;
        if self.rated_in_stage >= RATINGS_PER_STAGE[self.stage] {
            self.rated_in_stage = 0;
            self.stage += 1;
        }
        let recovered =
            self.trust_state == TrustState::Demoted && self.stage() == STAGES_BASIS_POINTS[4];
        if !recovered {
            return None;
        }
        self.trust_state = TrustState::Trusted;
        Some(self.trust_state)
    }

    /// Ejects or demotes the version; returns the trust state if it has changed.
    pub fn mark_faulty(&mut self, now: Instant) -> Option<TrustState> {
        self.evidence = Evidence::default();
        self.stage = 0;
        self.rated_in_stage = 0;
        let trust_state = if self.is_rollout {
            TrustState::Ejected
        } else {
            let backoff = (MIN_BACKOFF * (1 << self.demotions.min(5))).min(MAX_BACKOFF);
            self.demotions += 1;
            self.backoff_until = Some(now + backoff);
            TrustState::Demoted
        };
        let changed = self.trust_state != trust_state;
        self.trust_state = trust_state;
        changed.then_some(trust_state)
    }
}
