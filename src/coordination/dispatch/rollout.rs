//! Moves a service to a new version: selects the sessions for it and decides when the rollout ends.
//!
//! A version may fail or slow down, possibly late, only under load or only on one route. A small
//! constant share of sessions runs on the new version until all sessions move. They move so late
//! that the new version's share of all requests during the rollout stays within the allowed
//! exposure, because a fault may never show during the trial.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use platform::{
    RowVersion, VersionName,
    orders::{RolloutOrder, RolloutState},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::dispatch::{
    RolloutStatus,
    evidence::Evidence,
    heartbeat::PeerId,
    sticky_sessions::{Finder, StickySessions},
};

/// How long sessions in progress are collected before any session goes to the new version.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Share of sessions on the new version during the trial.
const TRIAL_SHARE: f64 = 0.05;
/// Fraction of the allowed exposure that is used; the load may rise towards the end.
const USED_EXPOSURE_FRACTION: f64 = 0.9;
/// Minimum fraction of the rollout's time before all sessions move.
const MIN_MOVE_FRACTION: f64 = 0.55;
/// Maximum fraction of the rollout's time before all sessions move.
const MAX_MOVE_FRACTION: f64 = 0.93;
/// Fraction of the rollout's time after which it completes even if requests still run on the old
/// version.
const COMPLETION_DEADLINE_FRACTION: f64 = 0.95;
/// A response is slow if its time to first event exceeds the baseline by this factor.
const SLOW_FACTOR: f64 = 3.0;
/// Responses that start within this time are never slow.
const MIN_SLOW_TIME: Duration = Duration::from_millis(250);
/// Part of the time to first event that does not depend on the request.
const BASE_RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Weight of the latest response in the baseline.
const SAMPLE_WEIGHT: f64 = 0.05;

/// One of the two versions of a service in a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The version that served before.
    Old,
    /// The version that is rolled out.
    New,
}

impl Arm {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::New => "new",
        }
    }
}

/// Phase of moving the sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Sessions in progress are collected; all requests run on the old version.
    Settling,
    /// A small share of sessions runs on the new version.
    Trial,
    /// All sessions run on the new version.
    Moved,
}

/// A rollout in progress or decided.
#[derive(Debug)]
pub struct Rollout {
    /// Row versions of the order, the newest last; operators write it again after the table was restored.
    orders: Vec<RowVersion>,
    /// The version that is rolled out.
    pub target: VersionName,
    /// State of the rollout.
    pub state: RolloutState,
    /// State recorded in the table, if known.
    pub recorded: Option<RolloutState>,
    /// When it was ordered, as far as this daemon knows.
    pub started: Instant,
    within: Duration,
    /// Maximum fraction of all requests that may reach a bad version.
    exposure: f64,
    /// When an upstream of the new version was first seen.
    new_version_seen_at: Option<Instant>,
    /// When requests were last known to run on the old version.
    old_version_busy_at: Option<Instant>,
    /// Moving average, for the old version, of the ratio between actual and expected time to first
    /// event.
    baseline_ratio: Option<f64>,
    own_evidence: Evidence,
    peers: HashMap<PeerId, Evidence>,
    /// Sessions that stay on the old version because they ran there.
    sticky_sessions: StickySessions,
}

impl Rollout {
    /// Creates a rollout that was ordered at `started`.
    pub fn new(version: RowVersion, order: RolloutOrder, exposure: f64, started: Instant) -> Self {
        Self {
            orders: vec![version],
            target: order.target,
            state: RolloutState::Running,
            recorded: None,
            started,
            within: order.max_duration,
            exposure,
            new_version_seen_at: None,
            old_version_busy_at: None,
            baseline_ratio: None,
            own_evidence: Evidence::default(),
            peers: HashMap::new(),
            sticky_sessions: StickySessions::default(),
        }
    }

    /// Returns the newest row version of the order.
    pub fn order(&self) -> RowVersion {
        self.orders.last().copied().unwrap_or_default()
    }

    /// Returns whether a row version is one of this rollout's order.
    pub fn has_order(&self, order: RowVersion) -> bool {
        self.orders.contains(&order)
    }

    /// Returns whether an order continues this rollout: it was written again, for the same target, in an
    /// era of the table after the first one.
    pub fn is_continued_by(&self, order: &RolloutOrder, version: RowVersion) -> bool {
        let first = self.orders.first().copied().unwrap_or_default();
        first.era < version.era && self.target == order.target
    }

    /// Adds a row version under which the order was written again; it has to be recorded again.
    pub fn order_written_again(&mut self, version: RowVersion) {
        self.orders.push(version);
        self.recorded = None;
    }

    /// Takes over the state and the start of this rollout that the table or a peer knew at `known_at`.
    pub fn adopt(&mut self, known: &RolloutStatus, known_at: Instant) {
        let started = known_at.checked_sub(known.elapsed).unwrap_or(known_at);
        self.started = self.started.min(started);
        self.merge_state(known.state);
    }

    /// Merges another daemon's state until a decision is recorded: a rollback outweighs a completion,
    /// which needs no evidence.
    fn merge_state(&mut self, state: RolloutState) {
        if self.recorded.is_some_and(RolloutState::is_decided) {
            return;
        }
        match (self.state, state) {
            (RolloutState::Running, _) | (RolloutState::Completed, RolloutState::RolledBack) => {
                self.state = state;
            }
            (RolloutState::Completed | RolloutState::RolledBack, _) => {}
        }
    }

    /// Records the state that the table holds. Operators act on it, so a decision there is final.
    pub fn record(&mut self, state: RolloutState) {
        if self.recorded.is_some_and(RolloutState::is_decided) {
            return;
        }
        self.recorded = Some(state);
        if state.is_decided() {
            self.state = state;
        }
    }

    /// Returns the evidence collected by this daemon.
    pub fn own_evidence(&self) -> &Evidence {
        &self.own_evidence
    }

    /// Returns the sessions that stay on the old version.
    pub fn sticky_sessions(&self) -> &StickySessions {
        &self.sticky_sessions
    }

    /// Records that the new version has an upstream that accepts work.
    pub fn record_new_version(&mut self, now: Instant) {
        self.new_version_seen_at.get_or_insert(now);
    }

    /// Merges a peer's evidence; earlier incarnations of the peer have no running requests any
    /// more.
    pub fn merge(&mut self, peer: PeerId, evidence: Evidence) {
        let ended = self
            .peers
            .iter_mut()
            .filter(|(other, _)| other.name == peer.name && other.incarnation < peer.incarnation);
        for (_, evidence) in ended {
            evidence.running_old = 0;
        }
        self.peers.insert(peer, evidence);
    }

    /// Keeps sessions on the old version until all sessions move. Only sessions that the trial
    /// would place on the new version need to be stored.
    pub fn add_sticky_sessions(
        &mut self,
        sessions: impl IntoIterator<Item = u64>,
        finder: Finder,
        now: Instant,
    ) {
        let selected = sessions
            .into_iter()
            .filter(|session| trial_arm(*session, &self.target) == Arm::New);
        for session in selected {
            self.sticky_sessions.add(session, finder, now);
        }
    }

    /// Returns the version for a session's next request.
    pub fn arm(&mut self, session: u64, now: Instant) -> Arm {
        let arm = self.expected_arm(session, now);
        if arm == Arm::Old && self.state == RolloutState::Running {
            self.add_sticky_sessions([session], Finder::Own, now);
        }
        arm
    }

    /// Returns the arm that a request of a session would get, without recording it.
    pub fn expected_arm(&self, session: u64, now: Instant) -> Arm {
        let phase = self.phase(now);
        match (self.state, phase) {
            (RolloutState::RolledBack, _) => Arm::Old,
            (RolloutState::Completed, _) | (RolloutState::Running, Phase::Moved) => Arm::New,
            (RolloutState::Running, Phase::Settling) => Arm::Old,
            (RolloutState::Running, Phase::Trial) if self.sticky_sessions.contains(session) => {
                Arm::Old
            }
            (RolloutState::Running, Phase::Trial) => trial_arm(session, &self.target),
        }
    }

    /// Counts a request that starts (`begun`) or ends on an arm.
    pub fn track_running(&mut self, arm: Arm, begun: bool) {
        if arm == Arm::New {
            return;
        }
        self.own_evidence.running_old = match begun {
            true => self.own_evidence.running_old + 1,
            false => self.own_evidence.running_old.saturating_sub(1),
        };
    }

    /// Records that the first event arrived after `took` for a prompt with the given prefill time.
    pub fn record_first_event(
        &mut self,
        arm: Arm,
        route: u32,
        prefill_time: Duration,
        took: Duration,
    ) {
        let ratio = Self::ratio(prefill_time, took);
        let baseline_ratio = *self.baseline_ratio.get_or_insert(ratio);
        if arm == Arm::Old {
            self.baseline_ratio = Some(baseline_ratio + (ratio - baseline_ratio) * SAMPLE_WEIGHT);
        }
        let slow = self.is_slow(prefill_time, took);
        let tally = self.own_evidence.tally(arm, route);
        tally.begun += 1;
        tally.slow += u32::from(slow);
    }

    /// Records that a caller left before the first event; the response counts as slow if the wait
    /// was long.
    pub fn abandoned_after(
        &mut self,
        arm: Arm,
        route: u32,
        prefill_time: Duration,
        abandoned_after: Duration,
    ) {
        if self.is_slow(prefill_time, abandoned_after) {
            let tally = self.own_evidence.tally(arm, route);
            tally.begun += 1;
            tally.slow += 1;
        }
    }

    /// Records the pace of a stream while both versions run.
    pub fn record_pace(&mut self, arm: Arm, per_event: Duration, now: Instant) {
        if !self.on_trial(now) {
            return;
        }
        match arm {
            Arm::Old => self.own_evidence.old_pace.record(per_event),
            Arm::New => self.own_evidence.new_pace.record(per_event),
        }
    }

    /// Records whether a response of an arm was bad.
    pub fn record_answer(&mut self, arm: Arm, route: u32, bad: bool) {
        let tally = self.own_evidence.tally(arm, route);
        tally.answers += 1;
        tally.bad += u32::from(bad);
    }

    /// Returns the combined evidence of all daemons.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own_evidence.clone();
        for evidence in self.peers.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Returns whether all traffic has moved and the old version may stop.
    ///
    /// Sessions on the old version get time to end, so that none of them overlaps with a further
    /// rollout.
    pub fn may_complete(
        &mut self,
        running_old: u32,
        session_timeout: Duration,
        now: Instant,
    ) -> bool {
        if running_old > 0 || self.old_version_busy_at.is_none() {
            self.old_version_busy_at = Some(now);
        }
        if self.state != RolloutState::Running || self.new_version_seen_at.is_none() {
            return false;
        }
        let idle = self
            .old_version_busy_at
            .is_some_and(|busy| now.saturating_duration_since(busy) >= session_timeout);
        let completion_deadline = self.started + self.within.mul_f64(COMPLETION_DEADLINE_FRACTION);
        now >= completion_deadline || (now >= self.move_all_at() && idle)
    }

    /// Returns whether both versions run, so that they can be compared over the same time.
    fn on_trial(&self, now: Instant) -> bool {
        self.state == RolloutState::Running && self.phase(now) != Phase::Moved
    }

    /// Returns when all sessions move, so that the new version's share of all requests stays within
    /// the allowed exposure.
    fn move_all_at(&self) -> Instant {
        let old_fraction = 1.0 - self.exposure * USED_EXPOSURE_FRACTION;
        let fraction =
            (old_fraction / (1.0 - TRIAL_SHARE)).clamp(MIN_MOVE_FRACTION, MAX_MOVE_FRACTION);
        self.started + self.within.mul_f64(fraction)
    }

    fn ratio(prefill_time: Duration, took: Duration) -> f64 {
        took.as_secs_f64() / (prefill_time + BASE_RESPONSE_TIME).as_secs_f64()
    }

    fn is_slow(&self, prefill_time: Duration, took: Duration) -> bool {
        let baseline_ratio = self.baseline_ratio.unwrap_or(1.0).max(1.0);
        took > MIN_SLOW_TIME && Self::ratio(prefill_time, took) > baseline_ratio * SLOW_FACTOR
    }

    fn phase(&self, now: Instant) -> Phase {
        let settled = self
            .new_version_seen_at
            .is_some_and(|seen| now.saturating_duration_since(seen) >= SETTLE_TIME);
        match settled {
            false => Phase::Settling,
            true if now >= self.move_all_at() => Phase::Moved,
            true => Phase::Trial,
        }
    }
}

fn trial_arm(session: u64, target: &str) -> Arm {
    match session_fraction(session, target) < TRIAL_SHARE {
        true => Arm::New,
        false => Arm::Old,
    }
}

/// Maps a session and a version to a number from 0 to 1, the same on all daemons.
#[expect(
    clippy::cast_precision_loss,
    reason = "52 bits are enough for a fraction"
)]
fn session_fraction(session: u64, target: &str) -> f64 {
    xxh3_64_with_seed(target.as_bytes(), session) as f64 / u64::MAX as f64
}
