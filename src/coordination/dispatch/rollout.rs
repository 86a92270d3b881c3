//! Moving a service to a new version: which sessions go there, and when it is judged.
//!
//! Answers the load pattern of a version that fails, slows down, or does so late, under load or on
//! one route only. A small constant share of sessions runs on the new version for as long as the
//! rest of the time still keeps its part of all requests within the allowed exposure, because a
//! fault may never show; then all move.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use platform::{
    RowVersion, VersionName,
    orders::{RolloutOrder, RolloutState},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::dispatch::{evidence::Evidence, peers::PeerId};

/// How long sessions under way are gathered before any goes to the new version.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// The part of sessions that runs on the new version while it is on trial.
const TRIAL_SHARE: f64 = 0.05;
/// The part of the allowed exposure that is used, since the load may rise towards the end.
const USED_EXPOSURE_FRACTION: f64 = 0.9;
/// The part of the time before which sessions under way are not moved.
const MIN_MOVE_FRACTION: f64 = 0.55;
/// The part of the time in which all sessions move at the latest.
const MAX_MOVE_FRACTION: f64 = 0.93;
/// The part of the time after which the old version is left even if requests run on it.
const COMPLETION_DEADLINE_FRACTION: f64 = 0.95;
/// How many times longer than usual a slow answer takes to begin.
const SLOW_FACTOR: f64 = 3.0;
/// The time within which no answer is slow.
const MIN_SLOW_TIME: Duration = Duration::from_millis(250);
/// The part of the time to begin that does not depend on the request.
const BASE_RESPONSE_TIME: Duration = Duration::from_millis(60);
/// The weight of the newest answer in what is usual.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The sessions remembered at most.
const MAX_STICKY_SESSIONS: usize = 512;

/// One of the two versions of a service in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The version that served before.
    Old,
    /// The version that is brought in.
    New,
}

impl Arm {
    /// The name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::New => "new",
        }
    }
}

/// How far the sessions have moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Sessions under way are gathered.
    Settling,
    /// A small part of sessions runs on the new version.
    Trial,
    /// All sessions run there.
    Moved,
}

/// A roll-out under way or decided.
#[derive(Debug)]
pub struct Rollout {
    /// The order's row version; a later order is another roll-out.
    pub order: RowVersion,
    /// The version brought in.
    pub target: VersionName,
    /// How far it is.
    pub state: RolloutState,
    /// How far it is by the table, if that is known.
    pub recorded: Option<RolloutState>,
    /// When it was ordered, as far as this daemon knows.
    pub started: Instant,
    within: Duration,
    /// The part of all requests that may reach a bad version.
    exposure: f64,
    /// When an upstream of the new version was first seen.
    new_version_seen_at: Option<Instant>,
    /// When requests were last known to run on the old version.
    old_version_busy_at: Option<Instant>,
    /// How many times longer than their prompts need answers of the old version take to begin.
    baseline_ratio: Option<f64>,
    own_evidence: Evidence,
    peers: HashMap<PeerId, Evidence>,
    /// Sessions that stay with the old version, because they ran there, and when that was learnt.
    sticky_sessions: BTreeMap<u64, Instant>,
}

impl Rollout {
    /// A roll-out that was ordered at `started`.
    pub fn new(version: RowVersion, order: RolloutOrder, exposure: f64, started: Instant) -> Self {
        Self {
            order: version,
            target: order.target,
            state: RolloutState::Running,
            recorded: None,
            started,
            within: order.within,
            exposure,
            new_version_seen_at: None,
            old_version_busy_at: None,
            baseline_ratio: None,
            own_evidence: Evidence::default(),
            peers: HashMap::new(),
            sticky_sessions: BTreeMap::new(),
        }
    }

    /// This daemon's evidence.
    pub fn own_evidence(&self) -> &Evidence {
        &self.own_evidence
    }

    /// The sessions that stay with the old version and were learnt of within `age`.
    pub fn sticky_sessions(&self, age: Duration, now: Instant) -> Vec<u64> {
        self.sticky_sessions
            .iter()
            .filter(|(_, added_at)| now.saturating_duration_since(**added_at) <= age)
            .map(|(session, _)| *session)
            .collect()
    }

    /// Notes that the new version has an upstream that takes work.
    pub fn record_new_version(&mut self, now: Instant) {
        self.new_version_seen_at.get_or_insert(now);
    }

    /// Notes what a peer has seen; its earlier incarnations run nothing any more.
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

    /// Keeps sessions on the old version for the first half.
    pub fn add_sticky_sessions(&mut self, sessions: impl IntoIterator<Item = u64>, now: Instant) {
        let order = self.order;
        let selected = sessions
            .into_iter()
            .filter(|session| session_fraction(*session, order) < TRIAL_SHARE);
        for session in selected {
            if self.sticky_sessions.len() < MAX_STICKY_SESSIONS {
                self.sticky_sessions.entry(session).or_insert(now);
            }
        }
    }

    /// Where a session's next request runs.
    pub fn arm(&mut self, session: u64, now: Instant) -> Arm {
        let phase = self.phase(now);
        let arm = match (self.state, phase) {
            (RolloutState::RolledBack, _) => Arm::Old,
            (RolloutState::Completed, _) | (RolloutState::Running, Phase::Moved) => Arm::New,
            (RolloutState::Running, Phase::Settling) => Arm::Old,
            (RolloutState::Running, Phase::Trial)
                if self.sticky_sessions.contains_key(&session) =>
            {
                Arm::Old
            }
            (RolloutState::Running, Phase::Trial) => trial_arm(session, self.order),
        };
        if arm == Arm::Old && self.state == RolloutState::Running {
            self.add_sticky_sessions([session], now);
        }
        arm
    }

    /// Notes that a request runs on an arm, or ends there.
    pub fn track_running(&mut self, arm: Arm, begun: bool) {
        if arm == Arm::New {
            return;
        }
        self.own_evidence.running_old = match begun {
            true => self.own_evidence.running_old + 1,
            false => self.own_evidence.running_old.saturating_sub(1),
        };
    }

    /// Notes that an answer began after `took`, where the prompt needs `reading`.
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

    /// Notes that a caller left after it had waited for an answer that did not begin.
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

    /// Notes the mean time between the events of a stream, while both versions run.
    pub fn record_pace(&mut self, arm: Arm, per_event: Duration, now: Instant) {
        if !self.on_trial(now) {
            return;
        }
        match arm {
            Arm::Old => self.own_evidence.old_pace.record(per_event),
            Arm::New => self.own_evidence.new_pace.record(per_event),
        }
    }

    /// Notes an answer of an arm.
    pub fn record_answer(&mut self, arm: Arm, route: u32, bad: bool) {
        let tally = self.own_evidence.tally(arm, route);
        tally.answers += 1;
        tally.bad += u32::from(bad);
    }

    /// What all daemons have seen.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own_evidence.clone();
        for evidence in self.peers.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Whether all traffic has moved and the old version may stop.
    ///
    /// The sessions that ran on the old version are given time to end, so that none of them meets a
    /// further roll-out.
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

    /// Whether both versions run, so that one can be told from the other in the same seconds.
    fn on_trial(&self, now: Instant) -> bool {
        self.state == RolloutState::Running && self.phase(now) != Phase::Moved
    }

    /// When all sessions move, so that the new version's part of all requests stays allowed.
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

fn trial_arm(session: u64, order: RowVersion) -> Arm {
    match session_fraction(session, order) < TRIAL_SHARE {
        true => Arm::New,
        false => Arm::Old,
    }
}

/// A number from 0 to 1 that all daemons draw alike for a session and an order.
#[expect(clippy::cast_precision_loss, reason = "a share needs no more bits")]
fn session_fraction(session: u64, order: RowVersion) -> f64 {
    xxh3_64_with_seed(&session.to_le_bytes(), order) as f64 / u64::MAX as f64
}
