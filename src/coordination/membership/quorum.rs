//! Estimates whether this daemon is on the majority side of a partition.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use crate::coordination::membership::{DaemonName, Member};

/// How long the outcome of a probe is taken into account.
const OUTCOME_WINDOW: Duration = Duration::from_secs(6);

/// A daemon's connectivity to the fleet, which limits what it may grant as an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumStatus {
    /// Whether most of the known daemons are considered reachable and most of the latest probes
    /// were answered.
    pub majority: bool,
    /// Since when the daemon has run without a pause and without being declared dead by others.
    pub stable_since: Instant,
    /// Daemons that may be alive but unreachable: those on the instance list that are not known to
    /// be live, and those recently declared dead.
    pub unreachable: BTreeSet<DaemonName>,
}

/// The outcomes of the latest probes.
#[derive(Debug, Default)]
pub(super) struct ProbeOutcomes {
    latest: VecDeque<(Instant, bool)>,
}

impl ProbeOutcomes {
    pub(super) fn record(&mut self, now: Instant, answered: bool) {
        self.latest.push_back((now, answered));
        while let Some((at, _)) = self.latest.front()
            && now.saturating_duration_since(*at) > OUTCOME_WINDOW
        {
            self.latest.pop_front();
        }
    }

    pub(super) fn clear(&mut self) {
        self.latest.clear();
    }

    /// Whether more than half of the probes within the window were answered.
    fn mostly_answered(&self, now: Instant) -> bool {
        let recent =
            |(at, _): &&(Instant, bool)| now.saturating_duration_since(*at) <= OUTCOME_WINDOW;
        let total = self.latest.iter().filter(recent).count();
        let answered = self.latest.iter().filter(recent).filter(|o| o.1).count();
        2 * answered > total
    }

    /// Whether the daemon is likely to be with the majority of `known` daemons, including itself.
    pub(super) fn majority<'a>(
        &self,
        now: Instant,
        reachable: impl Iterator<Item = &'a Member>,
        known: usize,
    ) -> bool {
        known <= 1 || (2 * reachable.count() > known && self.mostly_answered(now))
    }
}
