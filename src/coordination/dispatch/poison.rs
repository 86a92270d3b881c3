//! Detects what crashes the upstreams that run it: requests that come again, or a segment that
//! different prompts share.
//!
//! A broken connection alone counts for little. It is a crash only if the upstream then refuses
//! connections or restarts.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;
use platform::{UpstreamId, headers::Prompt};
use xxhash_rust::xxh3::Xxh3;

use crate::coordination::dispatch::crash_evidence::{
    CrashEvidence, CrashId, Fingerprint, Suspect, SuspectAt, SuspectReport,
};

/// Maximum time between the start or the break of a run and the detected stop of its upstream.
const CRASH_CORRELATION_TIME: Duration = Duration::from_millis(2_500);
/// Time from the start of a run after which a new connection to its upstream clears the run's prompt.
const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// How long runs are kept, as it may take a moment until it is known that an upstream has stopped.
const RUN_RETENTION: Duration = Duration::from_millis(3_500);
/// Maximum number of runs of one upstream that are neither cleared nor dropped.
const MAX_RUNS: usize = 256;
/// How long a segment that an upstream has survived is remembered at least.
const SURVIVOR_RETENTION: Duration = Duration::from_secs(150);
/// Number of survivors after which older ones may be forgotten.
const MAX_RECENT_SURVIVORS: usize = 4_096;

/// What crashes under one request are counted by.
pub type Suspects = Arc<[SuspectAt]>;

/// Returns the fingerprint of a customer's request, whose body comes in blocks.
pub fn fingerprint(
    customer: Option<&str>,
    path: &str,
    body: impl IntoIterator<Item: AsRef<[u8]>>,
) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [customer.unwrap_or_default(), path] {
        hash.update(part.as_bytes());
        hash.update(&[0xff]);
    }
    for block in body {
        hash.update(block.as_ref());
    }
    hash.update(&[0xff]);
    hash.digest()
}

/// Returns the suspects of a request: itself, and the segments of its prompt that others may share.
pub fn suspects(fingerprint: Fingerprint, prompt: Option<&Prompt>) -> Suspects {
    let request = SuspectAt {
        suspect: Suspect::Request(fingerprint),
        depth: 0,
    };
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let segments = shared
        .iter()
        .zip(0..=u8::MAX)
        .map(|(segment, depth)| SuspectAt {
            suspect: Suspect::Segment(segment.id),
            depth,
        });
    std::iter::once(request).chain(segments).collect()
}

/// Who found that an upstream has stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum StopSource {
    /// This daemon: the upstream refused a connection, or its row changed.
    Own,
    /// Another daemon could not connect to it, perhaps for reasons of its own.
    Peer,
}

/// What was counted when an upstream stopped.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("upstream={upstream} suspects={suspects} most_crashes={most_crashes}")]
pub struct CrashFinding {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of requests and segments that may have caused the crash.
    pub suspects: usize,
    /// Largest number of crashes known of one of them.
    pub most_crashes: usize,
}

/// A run that may still crash its upstream, or may have crashed it.
#[derive(Debug)]
struct Run {
    suspects: Suspects,
    incarnation: CrashId,
    /// When the run began, or its connection broke if no response had started.
    began: Instant,
    /// Whether a connection to the upstream has broken since.
    interrupted: bool,
}

/// The runs on one upstream.
#[derive(Debug, Default)]
struct UpstreamRuns {
    runs: Vec<Run>,
    /// The incarnation that has refused a connection, until the next one is known.
    refused: Option<CrashId>,
}

/// Runs and crashes seen by this daemon, and crashes seen by its peers.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    runs: HashMap<UpstreamId, UpstreamRuns>,
    survivors: Survivors,
    evidence: CrashEvidence,
    findings: Vec<CrashFinding>,
    newly_refused: Vec<Suspect>,
}

impl PoisonTracker {
    /// Records that an upstream has begun to respond to a request, for which a connection was opened
    /// after `sent_at`.
    pub fn run_began(
        &mut self,
        upstream: &UpstreamId,
        incarnation: CrashId,
        suspects: &Suspects,
        sent_at: Instant,
        now: Instant,
    ) {
        self.clear_survived(upstream, incarnation, sent_at, now);
        let has_segments = suspects.len() > 1;
        if has_segments {
            self.add_run(upstream, incarnation, suspects, now, false);
        }
    }

    /// Records that the response to a request is complete, so its prompt has not crashed the upstream.
    pub fn run_completed(&mut self, suspects: &Suspects, now: Instant) {
        self.record_survival(suspects, now);
    }

    fn record_survival(&mut self, suspects: &Suspects, now: Instant) {
        for at in suspects.iter() {
            self.survivors.add(at.suspect, now);
            self.evidence.record_survival(at.suspect, now);
        }
    }

    /// Clears the prompts of runs that began some time before a connection was opened.
    ///
    /// A response alone proves nothing: a daemon that was frozen reads what was sent before a crash.
    fn clear_survived(
        &mut self,
        upstream: &UpstreamId,
        incarnation: CrashId,
        opened_at: Instant,
        now: Instant,
    ) {
        let Some(UpstreamRuns { runs, .. }) = self.runs.get_mut(upstream) else {
            return;
        };
        let has_survived = |run: &Run| {
            let age = opened_at.saturating_duration_since(run.began);
            let in_time = (SURVIVAL_TIME..CRASH_CORRELATION_TIME).contains(&age);
            in_time && !run.interrupted && run.incarnation == incarnation
        };
        let survived: Vec<Run> = runs.extract_if(.., |run| has_survived(run)).collect();
        for run in survived {
            self.record_survival(&run.suspects, now);
        }
    }

    /// Records that the connection of a request broke, before or after the response had started.
    pub fn connection_broken(
        &mut self,
        upstream: &UpstreamId,
        incarnation: CrashId,
        suspects: &Suspects,
        now: Instant,
    ) {
        let runs = self.runs.entry(upstream.clone()).or_default();
        let mut has_begun = false;
        for run in &mut runs.runs {
            run.interrupted = true;
            has_begun |= Arc::ptr_eq(&run.suspects, suspects);
        }
        if !has_begun {
            // Engines begin a run with its response, so the prompt has not been run.
            let request = suspects.iter().copied().take(1).collect();
            self.add_run(upstream, incarnation, &request, now, true);
        }
    }

    /// Records that an upstream refused a connection, so its process had stopped by then. Runs that begin
    /// afterwards are those of a new process, even if its incarnation is not known yet.
    pub fn connection_refused(&mut self, upstream: &UpstreamId, incarnation: CrashId) {
        let runs = self.runs.entry(upstream.clone()).or_default();
        runs.refused = Some(incarnation);
        for run in &mut runs.runs {
            run.interrupted = true;
        }
    }

    /// Records that an upstream has crashed, restarted or left.
    pub fn upstream_stopped(&mut self, upstream: &str, source: StopSource, now: Instant) {
        let Some(runs) = self.runs.get_mut(upstream) else {
            return;
        };
        // Without a refused connection, nothing tells the runs of the stopped process from later ones.
        let all_stopped = source == StopSource::Own && runs.refused.is_none();
        let may_be_cause = |run: &Run| {
            let is_recent = now.saturating_duration_since(run.began) < CRASH_CORRELATION_TIME;
            is_recent && (run.interrupted || all_stopped)
        };
        let suspected: Vec<Run> = runs.runs.extract_if(.., |run| may_be_cause(run)).collect();
        if source == StopSource::Own {
            runs.drop_stopped();
        }
        let mut suspects = HashSet::new();
        for run in &suspected {
            for at in run
                .suspects
                .iter()
                .filter(|at| !self.survivors.has(at.suspect))
            {
                self.evidence.record_crash(*at, run.incarnation, now);
                suspects.insert(at.suspect);
            }
        }
        if suspects.is_empty() {
            return;
        }
        let most_crashes = suspects.iter().map(|s| self.evidence.crashes(*s)).max();
        self.findings.push(CrashFinding {
            upstream: upstream.into(),
            suspects: suspects.len(),
            most_crashes: most_crashes.unwrap_or_default(),
        });
        self.decide(now);
    }

    /// Records which incarnation of an upstream is known now; runs that go on after a stop are its runs.
    pub fn incarnation_known(&mut self, upstream: &str, incarnation: CrashId) {
        if let Some(runs) = self.runs.get_mut(upstream)
            && runs.refused.is_some_and(|refused| refused != incarnation)
        {
            runs.refused = None;
            for run in &mut runs.runs {
                run.incarnation = incarnation;
            }
        }
    }

    /// Removes and returns what was counted since the last call.
    pub fn take_findings(&mut self) -> Vec<CrashFinding> {
        std::mem::take(&mut self.findings)
    }

    /// Removes and returns what is refused since the last call.
    pub fn take_newly_refused(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.newly_refused)
    }

    /// Merges what a peer reports.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Instant) {
        for report in reports {
            self.evidence.merge(report, now);
            if self.survivors.has(report.suspect) {
                self.evidence.record_survival(report.suspect, now);
            }
        }
        if !reports.is_empty() {
            self.decide(now);
        }
    }

    /// Returns what to tell peers.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        self.evidence.reports(now)
    }

    /// Returns the first suspect of a request that has crashed too many upstreams, if any.
    pub fn poison(&self, suspects: &Suspects) -> Option<Suspect> {
        let mut suspects = suspects.iter().map(|at| at.suspect);
        suspects.find(|suspect| self.evidence.is_refused(*suspect))
    }

    /// Forgets runs that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.runs.retain(|_, runs| {
            let is_kept = |run: &Run| now.saturating_duration_since(run.began) < RUN_RETENTION;
            runs.runs.retain(is_kept);
            !runs.runs.is_empty() || runs.refused.is_some()
        });
        self.decide(now);
    }

    fn decide(&mut self, now: Instant) {
        let added = self.evidence.decide(now);
        self.newly_refused.extend(added);
    }

    fn add_run(
        &mut self,
        upstream: &UpstreamId,
        incarnation: CrashId,
        suspects: &Suspects,
        now: Instant,
        interrupted: bool,
    ) {
        let UpstreamRuns { runs, .. } = self.runs.entry(upstream.clone()).or_default();
        if runs.len() < MAX_RUNS {
            runs.push(Run {
                suspects: suspects.clone(),
                incarnation,
                began: now,
                interrupted,
            });
        }
    }
}

impl UpstreamRuns {
    /// Drops the runs of a process that has stopped.
    fn drop_stopped(&mut self) {
        match self.refused {
            Some(_) => self.runs.retain(|run| !run.interrupted),
            None => self.runs.clear(),
        }
    }
}

/// Segments that upstreams have survived, in two generations.
#[derive(Debug, Default)]
struct Survivors {
    recent: HashSet<u64>,
    earlier: HashSet<u64>,
    recent_since: Option<Instant>,
}

impl Survivors {
    fn add(&mut self, suspect: Suspect, now: Instant) {
        let Suspect::Segment(segment) = suspect else {
            return;
        };
        let since = *self.recent_since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= SURVIVOR_RETENTION;
        if is_old || self.recent.len() >= MAX_RECENT_SURVIVORS {
            self.earlier = std::mem::take(&mut self.recent);
            self.recent_since = Some(now);
        }
        self.recent.insert(segment);
    }

    fn has(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Request(_) => false,
            Suspect::Segment(segment) => {
                self.recent.contains(&segment) || self.earlier.contains(&segment)
            }
        }
    }
}
