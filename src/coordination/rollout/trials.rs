//! Trust states of all versions, updated from the configuration, the fleet and the verdicts.

use std::{collections::BTreeMap, time::Instant};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        membership::DaemonName,
        quality::{Quality, Subject},
        rollout::{
            evidence::Baseline,
            shares::share,
            trial::{Gate, Trial, TrustState},
        },
        routing::RouteRequest,
    },
    state::{
        objects::{Objects, Version, VersionName},
        snapshot::Snapshot,
    },
};

/// Fleet-wide limit on unrated responses of a version that is no longer fully trusted.
const DEFAULT_EXPOSURE: u32 = 20;

/// Consecutive failed ratings after which a verdict is reached.
const FAILED_RATINGS_TO_VERDICT: u32 = 6;

/// Minimum number of ratings before a trusted version can be classified as degraded.
const MIN_OWN_RATINGS: f64 = 50.0;

/// Maximum number of verdicts kept in memory.
const MAX_VERDICTS: usize = 256;

/// The consequence of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictKind {
    /// A rollout failed; the version never receives requests again.
    Ejected,
    /// A trusted version degraded; it is retried after a backoff.
    Demoted,
}

/// The decision that a version is faulty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The version.
    pub version: VersionName,
    /// Whether the version is ejected or demoted.
    pub kind: VerdictKind,
    /// The daemon that reached the verdict.
    pub by: DaemonName,
}

/// Ratings of one subject, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ratings {
    /// What was rated.
    pub subject: Subject,
    /// Number of responses that were good enough.
    pub passed: u16,
    /// Number of responses that were not.
    pub failed: u16,
}

impl Ratings {
    /// Creates the record of a single rating.
    pub fn one(subject: Subject, passed: bool) -> Self {
        Self {
            subject,
            passed: u16::from(passed),
            failed: u16::from(!passed),
        }
    }

    /// Expands the counts into single ratings, with the failed ones spread evenly.
    fn outcomes(&self) -> impl Iterator<Item = bool> + use<> {
        let (passed, failed) = (u32::from(self.passed), u32::from(self.failed));
        let total = passed + failed;
        (0..total).map(move |i| (i + 1) * failed / total == i * failed / total)
    }
}

/// The members of the fleet over which exposure budgets are split.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This daemon.
    pub own: &'a DaemonName,
    /// The reachable daemons; may include this one.
    pub members: &'a [DaemonName],
    /// Changes periodically, so that the remainder of uneven shares rotates.
    pub epoch: u64,
}

/// The trust states of all versions.
#[derive(Debug, Default)]
pub struct Trials {
    trials: BTreeMap<VersionName, Trial>,
    verdicts: BTreeMap<VersionName, Verdict>,
    verdicts_loaded: bool,
}

impl Trials {
    /// Marks the stored verdicts as loaded; until then no version on trial is used.
    pub fn set_verdicts_loaded(&mut self) {
        self.verdicts_loaded = true;
    }

    /// Whether the stored verdicts have been loaded.
    pub fn verdicts_loaded(&self) -> bool {
        self.verdicts_loaded
    }

    /// Applies the current configuration and fleet.
    pub fn refresh(&mut self, now: Instant, snapshot: &Snapshot, fleet: Fleet<'_>) {
        let versions = &snapshot.objects.versions;
        self.trials.retain(|name, trial| {
            versions
                .get(name)
                .is_some_and(|v| v.rollout.is_some() == trial.is_rollout())
        });
        for (name, version) in versions {
            let is_rollout = version.rollout.is_some();
            let verdict = self.verdicts.get(name);
            let trial = self.trials.entry(name.clone()).or_insert_with(|| {
                let mut trial = Trial::new(is_rollout);
                if is_rollout && verdict.is_some_and(|v| v.kind == VerdictKind::Ejected) {
                    trial.mark_faulty(now);
                }
                trial
            });
            let exposure = version.rollout.as_ref().map(|r| r.exposure);
            let exposure = usable_exposure(exposure.unwrap_or(DEFAULT_EXPOSURE));
            let members = fleet.members.iter();
            trial.set_share(share(fleet.own, members, name, exposure, fleet.epoch));
        }
    }

    /// Decides whether a version may be chosen for a request.
    pub fn gate(&self, now: Instant, name: &str, version: &Version, req: &RouteRequest) -> Gate {
        let own_session = req.session.is_some();
        match self.trials.get(name) {
            Some(trial) if trial.trust_state() == TrustState::OnTrial && !self.verdicts_loaded => {
                Gate::Exposure
            }
            Some(trial) => trial.gate(now, &req.request_id, own_session),
            None if version.rollout.is_some() => Gate::Exposure,
            None => Gate::Open,
        }
    }

    /// Records that a request was dispatched to a version.
    pub fn started(&mut self, version: &str) {
        if let Some(trial) = self.trials.get_mut(version) {
            trial.started();
        }
    }

    /// Records that a response of a version was rated or will never be delivered.
    pub fn settled(&mut self, version: &str) {
        if let Some(trial) = self.trials.get_mut(version) {
            trial.settled();
        }
    }

    /// Adds ratings of this daemon or a peer; returns a verdict if they lead to one.
    pub fn rated(
        &mut self,
        now: Instant,
        objects: &Objects,
        quality: &Quality,
        ratings: &Ratings,
        own: &DaemonName,
    ) -> Option<Verdict> {
        let baseline = baseline(objects, quality, &ratings.subject)?;
        let trial = self.trials.get_mut(&ratings.subject.version)?;
        let mut trust_states = ratings
            .outcomes()
            .filter_map(|p| trial.rated(now, p, baseline));
        let kind = match trust_states.next()? {
            TrustState::Ejected => VerdictKind::Ejected,
            TrustState::Demoted => VerdictKind::Demoted,
            TrustState::Trusted | TrustState::OnTrial => return None,
        };
        let verdict = Verdict {
            version: ratings.subject.version.clone(),
            kind,
            by: own.clone(),
        };
        self.store_verdict(&verdict);
        Some(verdict)
    }

    /// Applies a verdict of a peer or from the table; returns whether it changed anything.
    pub fn apply_verdict(&mut self, now: Instant, verdict: &Verdict) -> bool {
        let known = self.verdicts.get(&verdict.version);
        if known.is_some_and(|v| v.kind == VerdictKind::Ejected) {
            return false;
        }
        self.store_verdict(verdict);
        let Some(trial) = self.trials.get_mut(&verdict.version) else {
            return true;
        };
        let applies = trial.is_rollout() == (verdict.kind == VerdictKind::Ejected);
        applies && trial.trust_state() != TrustState::Demoted && trial.mark_faulty(now).is_some()
    }

    /// Whether a version is on trial or demoted, so that all of its responses must be rated.
    pub fn on_trial(&self, version: &str) -> bool {
        let trial = self.trials.get(version);
        trial.is_some_and(|t| matches!(t.trust_state(), TrustState::OnTrial | TrustState::Demoted))
    }

    /// Returns the state of a version.
    pub fn of(&self, version: &str) -> Option<&Trial> {
        self.trials.get(version)
    }

    /// Returns the final verdicts, which are stored in the table.
    pub fn ejection_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        let verdicts = self.verdicts.values();
        verdicts.filter(|v| v.kind == VerdictKind::Ejected)
    }

    fn store_verdict(&mut self, verdict: &Verdict) {
        let known = self.verdicts.contains_key(&verdict.version);
        if known || self.verdicts.len() < MAX_VERDICTS {
            self.verdicts
                .insert(verdict.version.clone(), verdict.clone());
        }
    }
}

/// Reduces the exposure to leave room for responses delivered while failed ratings arrive.
fn usable_exposure(exposure: u32) -> u32 {
    exposure
        .saturating_sub(FAILED_RATINGS_TO_VERDICT)
        .max(exposure.div_ceil(2))
}

/// Returns the expectation from the ratings of the replaced version, or else of the version itself.
fn baseline(objects: &Objects, quality: &Quality, subject: &Subject) -> Option<Baseline> {
    let version = objects.versions.get(&subject.version)?;
    let target_quality = objects.rules.get(&subject.rule)?.quality;
    let estimates = quality.of(&subject.rule);
    if let Some(rollout) = &version.rollout {
        let replaced = objects.versions.get(&rollout.replaces)?;
        let name = &rollout.replaces;
        let estimate =
            estimates.estimate(name, subject.class, replaced.prior_quality, target_quality);
        return Some(Baseline {
            pass_probability: estimate.low,
        });
    }
    let name = &subject.version;
    let estimate = estimates.estimate(name, subject.class, version.prior_quality, target_quality);
    (estimate.ratings >= MIN_OWN_RATINGS).then_some(Baseline {
        pass_probability: estimate.low,
    })
}
