//! The records of all versions, kept in step with the configuration, the fleet and the verdicts.

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

/// The unrated answers of a version that is no longer fully trusted, over the whole fleet.
const DEFAULT_EXPOSURE: u32 = 20;

/// The failed ratings in a row after which a version is judged.
const FAILED_RATINGS_TO_VERDICT: u32 = 6;

/// The ratings that must be known of a trusted version before it can be found to have turned bad.
const MIN_OWN_RATINGS: f64 = 50.0;

/// The greatest number of verdicts remembered.
const MAX_VERDICTS: usize = 256;

/// Whether a verdict is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictKind {
    /// A roll-out has failed; it never takes work again.
    Ejected,
    /// A trusted version has turned bad; it rests and is tried again.
    Demoted,
}

/// The judgement that a version is bad.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The version.
    pub version: VersionName,
    /// Whether it is final.
    pub kind: VerdictKind,
    /// The daemon that judged.
    pub by: DaemonName,
}

/// Ratings of one kind of answer, as told to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ratings {
    /// What was rated.
    pub subject: Subject,
    /// Answers good enough.
    pub passed: u16,
    /// Answers that were not.
    pub failed: u16,
}

impl Ratings {
    /// One rating.
    pub fn one(subject: Subject, passed: bool) -> Self {
        Self {
            subject,
            passed: u16::from(passed),
            failed: u16::from(!passed),
        }
    }

    /// The single ratings, the failed ones spread evenly among the others.
    fn outcomes(&self) -> impl Iterator<Item = bool> + use<> {
        let (passed, failed) = (u32::from(self.passed), u32::from(self.failed));
        let total = passed + failed;
        (0..total).map(move |i| (i + 1) * failed / total == i * failed / total)
    }
}

/// The fleet as far as shares need it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This daemon.
    pub own: &'a DaemonName,
    /// The reachable daemons; this one may be among them.
    pub members: &'a [DaemonName],
    /// Changes now and then, to move the remainder of uneven shares.
    pub epoch: u64,
}

/// The records of all versions.
#[derive(Debug, Default)]
pub struct Trials {
    trials: BTreeMap<VersionName, Trial>,
    verdicts: BTreeMap<VersionName, Verdict>,
    verdicts_loaded: bool,
}

impl Trials {
    /// The kept verdicts have been read; until then no version on trial is used.
    pub fn set_verdicts_loaded(&mut self) {
        self.verdicts_loaded = true;
    }

    /// Whether the kept verdicts have been read.
    pub fn verdicts_loaded(&self) -> bool {
        self.verdicts_loaded
    }

    /// Follows the configuration and the fleet.
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

    /// Whether a version may be chosen for a request.
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

    /// An answer of a version is under way.
    pub fn started(&mut self, version: &str) {
        if let Some(trial) = self.trials.get_mut(version) {
            trial.started();
        }
    }

    /// An answer of a version was rated, or will never be delivered.
    pub fn settled(&mut self, version: &str) {
        if let Some(trial) = self.trials.get_mut(version) {
            trial.settled();
        }
    }

    /// Takes in ratings by this daemon or a peer; returns the verdict if they lead to one.
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

    /// Takes in a verdict of a peer or the table; returns whether it was news.
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

    /// Whether a version is on trial, so that its answers must be rated in the end.
    pub fn on_trial(&self, version: &str) -> bool {
        let trial = self.trials.get(version);
        trial.is_some_and(|t| matches!(t.trust_state(), TrustState::OnTrial | TrustState::Demoted))
    }

    /// The record of a version.
    pub fn of(&self, version: &str) -> Option<&Trial> {
        self.trials.get(version)
    }

    /// The verdicts that are final, which the table keeps.
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

/// The exposure that leaves room for the answers given while failed ratings come in.
fn usable_exposure(exposure: u32) -> u32 {
    exposure
        .saturating_sub(FAILED_RATINGS_TO_VERDICT)
        .max(exposure.div_ceil(2))
}

/// What is expected of an answer: what the replaced version, or the version itself, has shown.
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
