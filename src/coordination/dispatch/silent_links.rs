//! Detects links to upstreams that accept connections but carry no data.
//!
//! Load pattern: something between this instance and the upstreams (a proxy, a firewall) accepts all
//! connections, and no request is answered. Connections that open prove nothing then, and requests that
//! time out look like those of slow upstreams.
//!
//! A daemon that has sent a request and heard nothing from any upstream for a while says so in its
//! heartbeats. The others then report when their newest answered requests were sent, by service. Only if
//! upstreams of a service answer later requests of others, this daemon probes; only if the probes are not
//! answered either, it counts as cut off. If an upstream is slow, others answer; if all of a service are
//! busy, they answer nobody sooner.
//!
//! Failures that happen in such a silence are held back until it is known whose they are.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use platform::{ServiceName, UpstreamId};

use crate::coordination::dispatch::{
    Dispatcher, as_millis,
    assignment::{Assignment, Quality},
    health::AttemptOutcome,
    heartbeat::{AnswerReport, Links},
    registry::{self, Upstream},
};

/// Time without an answer, beyond what the prompt is expected to take, after which a daemon asks others.
/// Healthy plain upstreams answer within 100 ms; detection must leave time for probes within 4 s.
const SILENCE_TIME: Duration = Duration::from_millis(600);
/// Multiple of the expected time to the first event that is added to it.
const EXPECTED_FACTOR: u32 = 3;
/// Maximum time that is added for a prompt.
const MAX_EXPECTED: Duration = Duration::from_secs(2);
/// Shortest wait of an attempt that was given up and still counts as unanswered; routes with tight
/// objectives give up attempts after some 200 ms.
const MIN_WAIT: Duration = Duration::from_millis(150);
/// How long a failure is held back; a loss of the own links is known within 2.5 s.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Maximum age of an answered request that is reported to others.
const REPORTED_ANSWER_AGE: Duration = Duration::from_secs(3);
/// Maximum number of unanswered attempts that are kept; the oldest decide.
const MAX_UNANSWERED: usize = 256;

/// An attempt that was sent after the last sign of life of any upstream.
#[derive(Clone, Debug)]
struct Unanswered {
    upstream: UpstreamId,
    service: ServiceName,
    sent_at: Instant,
    /// When its silence becomes suspicious.
    suspicious_at: Instant,
    is_released: bool,
}

/// A failure that may be due to this daemon's links.
#[derive(Clone, Debug)]
pub(super) struct HeldFailure {
    assignment: Assignment,
    kind: FailureKind,
    at: Instant,
}

/// What a held failure counts against.
#[derive(Clone, Copy, Debug)]
pub(super) enum FailureKind {
    /// The upstream's health.
    Outcome(AttemptOutcome),
    /// The upstream's version.
    Quality(Quality),
    /// The same, as the caller left before the first event.
    Abandoned,
}

/// What this daemon has heard from upstreams.
#[derive(Debug, Default)]
pub(super) struct SilenceTracker {
    /// Attempts since the last sign of life of any upstream, the oldest first.
    unanswered: Vec<Unanswered>,
    last_heard: Option<Instant>,
    /// When the newest request was sent that an upstream of the service has answered.
    answered: HashMap<ServiceName, Instant>,
    held: Vec<HeldFailure>,
}

impl SilenceTracker {
    /// Records that a request is sent.
    pub(super) fn sent(&mut self, assignment: &Assignment, now: Instant) {
        if self.unanswered.len() >= MAX_UNANSWERED {
            return;
        }
        let expected = assignment.expected_first_event() * EXPECTED_FACTOR;
        self.unanswered.push(Unanswered {
            upstream: assignment.upstream.clone(),
            service: assignment.service.clone(),
            sent_at: now,
            suspicious_at: now + SILENCE_TIME + expected.min(MAX_EXPECTED),
            is_released: false,
        });
    }

    /// Records that an attempt has ended, without an answer if it is still listed.
    pub(super) fn released(
        &mut self,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let is_it = |u: &Unanswered| {
            !u.is_released
                && u.sent_at == assignment.reserved_at
                && u.upstream == assignment.upstream
        };
        let Some(index) = self.unanswered.iter().position(is_it) else {
            return;
        };
        let waited = now.saturating_duration_since(assignment.reserved_at);
        let is_answered = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Refused);
        match waited < MIN_WAIT || is_answered || outcome.is_lost_connection() {
            true => {
                self.unanswered.remove(index);
            }
            false => self.unanswered[index].is_released = true,
        }
    }

    /// Records bytes of an answer.
    fn heard(&mut self, now: Instant) {
        self.unanswered.clear();
        self.last_heard = Some(now);
    }

    /// Returns the attempts whose silence is suspicious.
    fn suspicious(&self, now: Instant) -> impl Iterator<Item = &Unanswered> {
        self.unanswered
            .iter()
            .filter(move |u| u.suspicious_at <= now)
    }

    /// Returns whether no upstream has shown a sign of life since a request was sent, or for a while.
    fn is_unproven(&self, sent_at: Instant, now: Instant) -> bool {
        let Some(oldest) = self.unanswered.first() else {
            return false;
        };
        let heard_lately = self
            .last_heard
            .is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIME);
        oldest.sent_at <= sent_at || !heard_lately
    }

    /// Drops the held failures, which this daemon's own links caused.
    pub(super) fn forget_held(&mut self) {
        self.held.clear();
    }
}

impl Dispatcher {
    /// Records that bytes of an upstream's answer have arrived.
    pub fn bytes_received(&mut self, now: Instant) {
        self.silence.heard(now);
        if self.reachability.is_cut_off() || self.reachability.has_silent_probe() {
            self.silence.forget_held();
        }
        self.apply_held(|_| true, now);
    }

    /// Records that an upstream has answered a request that was sent at `sent_at`.
    pub(super) fn answer_received(&mut self, upstream: &str, sent_at: Instant, now: Instant) {
        if let Some(upstream) = self.registry.get(upstream) {
            let newest = self.silence.answered.entry(upstream.service.clone());
            let newest = newest.or_insert(sent_at);
            *newest = sent_at.max(*newest);
        }
        self.bytes_received(now);
    }

    /// Returns whether no upstream answers this daemon, and upstreams answer others: a probe is due.
    pub(super) fn suspects_links(&self, now: Instant) -> bool {
        let mut suspicious = self.silence.suspicious(now);
        suspicious.any(|u| self.answers_others(&u.service, u.sent_at, now))
    }

    /// Returns whether an upstream of a service has answered a request that another daemon sent after
    /// `since`.
    fn answers_others(&self, service: &str, since: Instant, now: Instant) -> bool {
        let service = service_hash(service);
        let is_newer = |age: Duration| now.checked_sub(age).is_some_and(|sent_at| sent_at > since);
        self.peers.reporting(now).any(|peer| {
            let Links::Answering(reports) = &peer.last_heartbeat.links else {
                return false;
            };
            reports.iter().any(|report| {
                let age = Duration::from_millis(report.age_ms.into());
                report.service == service && is_newer(age.saturating_add(peer.report_age(now)))
            })
        })
    }

    /// Returns whether an upstream of the same service answers other daemons and not this one.
    pub(super) fn answers_only_others(&self, upstream: &Upstream, now: Instant) -> bool {
        let since = self.silent_since(upstream);
        since.is_some_and(|since| self.answers_others(&upstream.service, since, now))
    }

    /// Returns since when this daemon has heard nothing, if it misses an answer.
    fn silent_since(&self, upstream: &Upstream) -> Option<Instant> {
        let oldest = self.silence.unanswered.first().map(|u| u.sent_at);
        let lost = self.reachability.lost_since(&upstream.id);
        oldest.into_iter().chain(lost).min()
    }

    /// Returns what to tell other daemons of the links to upstreams.
    pub(super) fn link_report(&self, now: Instant) -> Links {
        if self.reachability.is_cut_off() {
            return Links::CutOff;
        }
        let misses_answers = self.silence.suspicious(now).next().is_some();
        if misses_answers || self.reachability.has_silent_probe() {
            return Links::Silent;
        }
        let is_asked = |peer: &_| matches!(peer, Links::Silent);
        let mut peers = self.peers.reporting(now);
        if !peers.any(|peer| is_asked(&peer.last_heartbeat.links)) {
            return Links::Working;
        }
        let age = |sent_at: &Instant| now.saturating_duration_since(*sent_at);
        let answered = self.silence.answered.iter();
        let recent = answered.filter(|(_, sent_at)| age(sent_at) < REPORTED_ANSWER_AGE);
        let report = |(service, sent_at): (&ServiceName, &Instant)| AnswerReport {
            service: service_hash(service),
            age_ms: as_millis(age(sent_at)),
        };
        Links::Answering(recent.map(report).collect())
    }

    /// Holds a failure back if it may be due to this daemon's links; returns whether it does.
    pub(super) fn hold_failure(
        &mut self,
        assignment: &Assignment,
        kind: FailureKind,
        now: Instant,
    ) -> bool {
        if self.reachability.is_cut_off() {
            return true;
        }
        let is_unproven = self.silence.is_unproven(assignment.reserved_at, now);
        // Without others, nobody can tell whose failure it is.
        if !is_unproven || self.peers.reporting(now).next().is_none() {
            return false;
        }
        self.silence.held.push(HeldFailure {
            assignment: assignment.clone(),
            kind,
            at: now,
        });
        true
    }

    /// Counts failures that were held back for long enough.
    pub(super) fn expire_held(&mut self, now: Instant) {
        self.apply_held(
            |held| now.saturating_duration_since(held.at) >= HOLD_TIME,
            now,
        );
    }

    fn apply_held(&mut self, is_due: impl Fn(&HeldFailure) -> bool, now: Instant) {
        let due: Vec<_> = self
            .silence
            .held
            .extract_if(.., |held| is_due(held))
            .collect();
        for held in due {
            match held.kind {
                FailureKind::Outcome(outcome) => {
                    if let Some(upstream) = self.registry.get_mut(&held.assignment.upstream) {
                        upstream.health.record(outcome, now);
                    }
                }
                FailureKind::Quality(quality) => {
                    self.count_quality(&held.assignment, quality, held.at);
                }
                FailureKind::Abandoned => self.count_abandoned(&held.assignment, held.at),
            }
        }
    }
}

/// Returns the hash of a service's name for reports, the same on all daemons.
fn service_hash(service: &str) -> u32 {
    let hash = registry::hash_of(service);
    u32::try_from(hash >> 32).unwrap_or_default()
}
