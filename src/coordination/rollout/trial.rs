//! One version's standing: trusted, on trial, demoted or ejected.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::coordination::{
    hash::{hash_bytes, mix},
    rollout::{
        evidence::{Baseline, Evidence},
        shares::Share,
    },
    routing::Why,
};

/// The parts of the requests that a version on trial may answer, in hundredths of a percent.
const STAGES: [u64; 5] = [100, 500, 2_500, 5_000, 10_000];

/// The ratings after which a version on trial grows to the next stage.
const RATINGS_PER_STAGE: [u32; 5] = [20, 30, 40, 60, u32::MAX];

/// The suspicion above which a trusted version's unrated answers are limited.
const WARY_SUSPICION: f64 = 0.3;

/// The time for which a demoted version rests before it is tried again.
const MIN_REST: Duration = Duration::from_secs(30);

/// The longest rest.
const MAX_REST: Duration = Duration::from_secs(600);

/// Whether a version may be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It may.
    Open,
    /// It may, in place of the version that it replaces.
    Trial,
    /// It may, but one that is not suspected goes first.
    Wary,
    /// It may if there is no other.
    LastResort,
    /// The stage leaves this request out.
    Stage,
    /// The exposure budget is used up.
    Exposure,
    /// It is ejected for good.
    Ejected,
}

impl Gate {
    /// Why the version may not be chosen, if so.
    pub fn rejection(self) -> Option<Why> {
        match self {
            Self::Open | Self::Trial | Self::Wary | Self::LastResort => None,
            Self::Stage | Self::Exposure => Some(Why::Exposure),
            Self::Ejected => Some(Why::Ejected),
        }
    }
}

/// What is thought of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Standing {
    /// It takes all work.
    Trusted,
    /// It is rolled out by stages.
    OnTrial,
    /// It was trusted, turned bad, and rests.
    Demoted,
    /// It was on trial and turned bad; this is final.
    Ejected,
}

/// The record of one version.
#[derive(Clone, Debug)]
pub struct Trial {
    standing: Standing,
    rolled_out: bool,
    share: Share,
    unrated: u32,
    evidence: Evidence,
    stage: usize,
    rated_in_stage: u32,
    rests: u32,
    rested_at: Option<Instant>,
}

impl Trial {
    /// The record of a version of which nothing is known.
    pub fn new(rolled_out: bool) -> Self {
        Self {
            standing: if rolled_out {
                Standing::OnTrial
            } else {
                Standing::Trusted
            },
            rolled_out,
            share: Share::default(),
            unrated: 0,
            evidence: Evidence::default(),
            stage: 0,
            rated_in_stage: 0,
            rests: 0,
            rested_at: None,
        }
    }

    /// Whether it is the record of a configured roll-out.
    pub fn rolled_out(&self) -> bool {
        self.rolled_out
    }

    /// What is thought of the version.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The version's answers that are under way or delivered and not yet rated.
    pub fn unrated(&self) -> u32 {
        self.unrated
    }

    /// The part of the requests that it may answer, in hundredths of a percent.
    pub fn stage(&self) -> u64 {
        STAGES[self.stage]
    }

    /// Sets this daemon's part of the exposure budget.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Whether the version may be chosen for a request, which may be in one of its sessions.
    pub fn gate(&self, now: Instant, request_id: &str, own_session: bool) -> Gate {
        match self.standing {
            Standing::Ejected => Gate::Ejected,
            Standing::OnTrial if !self.within_budget() => Gate::Exposure,
            Standing::OnTrial if own_session => Gate::Open,
            Standing::OnTrial => self.staged(request_id),
            Standing::Trusted | Standing::Demoted if own_session => Gate::Open,
            Standing::Trusted if self.wary() => Gate::Wary,
            Standing::Trusted => Gate::Open,
            Standing::Demoted if self.rested(now) && self.within_budget() => {
                self.staged(request_id)
            }
            Standing::Demoted => Gate::LastResort,
        }
    }

    fn wary(&self) -> bool {
        self.evidence.suspicion() >= WARY_SUSPICION && !self.within_budget()
    }

    fn staged(&self, request_id: &str) -> Gate {
        let lot = mix(hash_bytes(request_id.as_bytes())) % STAGES[STAGES.len() - 1];
        if lot < self.stage() {
            return if self.rolled_out {
                Gate::Trial
            } else {
                Gate::Open
            };
        }
        match self.standing {
            Standing::Demoted => Gate::LastResort,
            _ => Gate::Stage,
        }
    }

    /// Failed ratings hold their part of the budget until passes outweigh them.
    fn within_budget(&self) -> bool {
        let suspicion = self.evidence.suspicion();
        if suspicion > 0.0 && self.share.probes && self.unrated == 0 {
            return true;
        }
        f64::from(self.unrated + 1) <= f64::from(self.share.answers) * (1.0 - suspicion)
    }

    fn rested(&self, now: Instant) -> bool {
        self.rested_at.is_none_or(|at| now >= at)
    }

    /// An answer of the version is under way.
    pub fn started(&mut self) {
        self.unrated += 1;
    }

    /// An answer was rated, or will never be delivered.
    pub fn settled(&mut self) {
        self.unrated = self.unrated.saturating_sub(1);
    }

    /// Takes in a rating; returns the standing if it has changed.
    pub fn rated(&mut self, now: Instant, passed: bool, baseline: Baseline) -> Option<Standing> {
        if matches!(self.standing, Standing::Ejected) {
            return None;
        }
        self.evidence.add(passed, baseline);
        let bad = match self.standing {
            Standing::Trusted => self.evidence.plainly_bad(),
            _ => self.evidence.worse(),
        };
        if bad {
            return self.convict(now);
        }
        if self.standing == Standing::Trusted {
            return None;
        }
        self.rated_in_stage += 1;
        if self.rated_in_stage >= RATINGS_PER_STAGE[self.stage] {
            self.rated_in_stage = 0;
            self.stage += 1;
        }
        let recovered = self.standing == Standing::Demoted && self.stage() == STAGES[4];
        if !recovered {
            return None;
        }
        self.standing = Standing::Trusted;
        Some(self.standing)
    }

    /// Ejects or demotes the version; returns the standing if it has changed.
    pub fn convict(&mut self, now: Instant) -> Option<Standing> {
        self.evidence = Evidence::default();
        self.stage = 0;
        self.rated_in_stage = 0;
        let standing = if self.rolled_out {
            Standing::Ejected
        } else {
            let rest = (MIN_REST * (1 << self.rests.min(5))).min(MAX_REST);
            self.rests += 1;
            self.rested_at = Some(now + rest);
            Standing::Demoted
        };
        let changed = self.standing != standing;
        self.standing = standing;
        changed.then_some(standing)
    }
}
