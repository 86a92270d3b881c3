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
const USED_EXPOSURE: f64 = 0.9;
/// The part of the time before which sessions under way are not moved.
const EARLIEST_MOVE: f64 = 0.55;
/// The part of the time in which all sessions move at the latest.
const LATEST_MOVE: f64 = 0.93;
/// The part of the time after which the old version is left even if requests run on it.
const LAST_CALL: f64 = 0.95;
/// How many times longer than usual a slow answer takes to begin.
const SLOW_FACTOR: f64 = 3.0;
/// The time within which no answer is slow.
const NEVER_SLOW: Duration = Duration::from_millis(250);
/// The part of the time to begin that does not depend on the request.
const BASE_TIME: Duration = Duration::from_millis(60);
/// The weight of the newest answer in what is usual.
const NEWEST_WEIGHT: f64 = 0.05;
/// The sessions remembered at most.
const MAX_BOUND: usize = 512;

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
    new_seen: Option<Instant>,
    /// When requests were last known to run on the old version.
    old_busy: Option<Instant>,
    /// How many times longer than their prompts need answers of the old version take to begin.
    usual: Option<f64>,
    own: Evidence,
    peers: HashMap<PeerId, Evidence>,
    /// Sessions that stay with the old version, because they ran there, and when that was learnt.
    bound: BTreeMap<u64, Instant>,
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
            new_seen: None,
            old_busy: None,
            usual: None,
            own: Evidence::default(),
            peers: HashMap::new(),
            bound: BTreeMap::new(),
        }
    }

    /// This daemon's evidence.
    pub fn own(&self) -> &Evidence {
        &self.own
    }

    /// The sessions that stay with the old version and were learnt of within `age`.
    pub fn bound(&self, age: Duration, now: Instant) -> Vec<u64> {
        self.bound
            .iter()
            .filter(|(_, learnt)| now.saturating_duration_since(**learnt) <= age)
            .map(|(session, _)| *session)
            .collect()
    }

    /// Notes that the new version has an upstream that takes work.
    pub fn saw_new(&mut self, now: Instant) {
        self.new_seen.get_or_insert(now);
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
    pub fn bind(&mut self, sessions: impl IntoIterator<Item = u64>, now: Instant) {
        let order = self.order;
        let chosen = sessions
            .into_iter()
            .filter(|session| lot(*session, order) < TRIAL_SHARE);
        for session in chosen {
            if self.bound.len() < MAX_BOUND {
                self.bound.entry(session).or_insert(now);
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
            (RolloutState::Running, Phase::Trial) if self.bound.contains_key(&session) => Arm::Old,
            (RolloutState::Running, Phase::Trial) => arm_of(session, self.order),
        };
        if arm == Arm::Old && self.state == RolloutState::Running {
            self.bind([session], now);
        }
        arm
    }

    /// Notes that a request runs on an arm, or ends there.
    pub fn running(&mut self, arm: Arm, begun: bool) {
        if arm == Arm::New {
            return;
        }
        self.own.running_old = match begun {
            true => self.own.running_old + 1,
            false => self.own.running_old.saturating_sub(1),
        };
    }

    /// Notes that an answer began after `took`, where the prompt needs `reading`.
    pub fn began(&mut self, arm: Arm, route: u32, reading: Duration, took: Duration) {
        let ratio = Self::ratio(reading, took);
        let usual = *self.usual.get_or_insert(ratio);
        if arm == Arm::Old {
            self.usual = Some(usual + (ratio - usual) * NEWEST_WEIGHT);
        }
        let slow = self.is_slow(reading, took);
        let tally = self.own.tally(arm, route);
        tally.begun += 1;
        tally.slow += u32::from(slow);
    }

    /// Notes that a caller left after it had waited for an answer that did not begin.
    pub fn waited(&mut self, arm: Arm, route: u32, reading: Duration, waited: Duration) {
        if self.is_slow(reading, waited) {
            let tally = self.own.tally(arm, route);
            tally.begun += 1;
            tally.slow += 1;
        }
    }

    /// Notes the mean time between the events of a stream, while both versions run.
    pub fn paced(&mut self, arm: Arm, per_event: Duration, now: Instant) {
        if !self.on_trial(now) {
            return;
        }
        match arm {
            Arm::Old => self.own.old_pace.note(per_event),
            Arm::New => self.own.new_pace.note(per_event),
        }
    }

    /// Notes an answer of an arm.
    pub fn answered(&mut self, arm: Arm, route: u32, bad: bool) {
        let tally = self.own.tally(arm, route);
        tally.answers += 1;
        tally.bad += u32::from(bad);
    }

    /// What all daemons have seen.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        for evidence in self.peers.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Whether all traffic has moved and the old version may stop.
    ///
    /// The sessions that ran on the old version are given time to end, so that none of them meets a
    /// further roll-out.
    pub fn may_complete(&mut self, running_old: u32, session_time: Duration, now: Instant) -> bool {
        if running_old > 0 || self.old_busy.is_none() {
            self.old_busy = Some(now);
        }
        if self.state != RolloutState::Running || self.new_seen.is_none() {
            return false;
        }
        let quiet = self
            .old_busy
            .is_some_and(|busy| now.saturating_duration_since(busy) >= session_time);
        let last_call = self.started + self.within.mul_f64(LAST_CALL);
        now >= last_call || (now >= self.moved_from() && quiet)
    }

    /// Whether both versions run, so that one can be told from the other in the same seconds.
    fn on_trial(&self, now: Instant) -> bool {
        self.state == RolloutState::Running && self.phase(now) != Phase::Moved
    }

    /// When all sessions move, so that the new version's part of all requests stays allowed.
    fn moved_from(&self) -> Instant {
        let rest = 1.0 - self.exposure * USED_EXPOSURE;
        let part = (rest / (1.0 - TRIAL_SHARE)).clamp(EARLIEST_MOVE, LATEST_MOVE);
        self.started + self.within.mul_f64(part)
    }

    fn ratio(reading: Duration, took: Duration) -> f64 {
        took.as_secs_f64() / (reading + BASE_TIME).as_secs_f64()
    }

    fn is_slow(&self, reading: Duration, took: Duration) -> bool {
        let usual = self.usual.unwrap_or(1.0).max(1.0);
        took > NEVER_SLOW && Self::ratio(reading, took) > usual * SLOW_FACTOR
    }

    fn phase(&self, now: Instant) -> Phase {
        let settled = self
            .new_seen
            .is_some_and(|seen| now.saturating_duration_since(seen) >= SETTLE_TIME);
        match settled {
            false => Phase::Settling,
            true if now >= self.moved_from() => Phase::Moved,
            true => Phase::Trial,
        }
    }
}

fn arm_of(session: u64, order: RowVersion) -> Arm {
    match lot(session, order) < TRIAL_SHARE {
        true => Arm::New,
        false => Arm::Old,
    }
}

/// A number from 0 to 1 that all daemons draw alike for a session and an order.
#[expect(clippy::cast_precision_loss, reason = "a share needs no more bits")]
fn lot(session: u64, order: RowVersion) -> f64 {
    xxh3_64_with_seed(&session.to_le_bytes(), order) as f64 / u64::MAX as f64
}
