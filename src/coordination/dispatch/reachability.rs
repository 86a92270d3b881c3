//! Tells the failure of this daemon's own links from failures of upstreams.
//!
//! Load pattern: an instance is cut off from all upstreams, while callers, the table and the other
//! daemons still reach it. All its attempts fail at once. If it took that for crashes, it would have
//! healthy upstreams limited as cold and sound prompts refused by the whole fleet; if it went on
//! trying by itself, it would refuse all its callers though other daemons can serve them.
//!
//! What follows from a lost connection is therefore held back until it is known that this daemon
//! reaches other upstreams. Probes answer that within a second.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use platform::UpstreamId;

use crate::coordination::dispatch::{
    Dispatcher,
    heartbeat::{DaemonName, Links, Readiness},
    peers::Peer,
    placement::UNDETECTED_RESTART_MARGIN,
    poison::StopSource,
    presumed_cold::ColdPresumption,
    registry::Upstream,
};

/// Number of probed upstreams that must fail, with none reached, before the daemon counts as cut off.
const MIN_FAILED_PROBES: usize = 2;
/// Number of upstreams that are probed at a time.
const PROBES_PER_ROUND: usize = 2;
/// Time after which a lost connection counts against its upstream if no probe has told otherwise.
const VERIFICATION_TIME: Duration = Duration::from_secs(1);
/// The same for an upstream that did not answer a probe; other daemons' reports may take that long.
const SILENCE_VERIFICATION_TIME: Duration = Duration::from_secs(3);

/// How the connection to an upstream was lost, the strongest sign of its failure last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// An open connection broke or went silent.
    Broken,
    /// A new connection was opened, but carried no answer.
    Silent,
    /// A new connection was not answered.
    Unanswered,
    /// A new connection was refused.
    Refused,
}

/// A change of what is known of this daemon's links to upstreams.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LinkChange {
    /// It has lost all of them.
    #[display("event=upstreams_lost")]
    Lost,
    /// It reaches upstreams again.
    #[display("event=upstreams_reached")]
    Reached,
}

/// An upstream to which a connection was lost.
#[derive(Clone, Copy, Debug)]
struct LostUpstream {
    /// The strongest sign that the upstream itself has failed.
    loss: Loss,
    /// When the first connection was lost.
    since: Instant,
    /// When the last connection was lost.
    newest: Instant,
    /// Whether a probe has failed.
    by_probe: bool,
}

/// An upstream to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
}

/// A daemon that can serve a request for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// Its name.
    pub name: DaemonName,
    /// The address of its datagrams.
    pub address: SocketAddr,
}

/// What is known of this daemon's links to upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Upstreams that were lost since one was reached.
    lost: BTreeMap<UpstreamId, LostUpstream>,
    /// When a connection was last lost.
    newest_loss: Option<Instant>,
    is_cut_off: bool,
    /// Changes that have not been logged yet.
    changes: Vec<LinkChange>,
}

impl Reachability {
    /// Returns whether this daemon has lost its links to all upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether it is not known if this daemon reaches any upstream.
    pub fn is_suspected(&self) -> bool {
        self.is_cut_off || !self.lost.is_empty()
    }

    /// Returns whether an upstream has not answered a probe, and it is not known yet why.
    pub(super) fn has_silent_probe(&self) -> bool {
        let mut lost = self.lost.values();
        lost.any(|lost| lost.by_probe && lost.loss == Loss::Silent)
    }

    /// Returns since when an upstream is lost.
    pub(super) fn lost_since(&self, upstream: &str) -> Option<Instant> {
        self.lost.get(upstream).map(|lost| lost.since)
    }

    /// Returns whether it is not known yet if the upstream or this daemon's link has failed.
    pub(super) fn is_unverified(&self, upstream: &str) -> bool {
        self.lost.contains_key(upstream)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what was lost of an upstream that has restarted or left.
    pub(super) fn forget(&mut self, upstream: &str) {
        self.lost.remove(upstream);
    }

    fn insert(&mut self, upstream: &UpstreamId, loss: Loss, by_probe: bool, now: Instant) {
        let lost = self
            .lost
            .entry(upstream.clone())
            .or_insert_with(|| LostUpstream {
                loss,
                since: now,
                newest: now,
                by_probe,
            });
        lost.loss = lost.loss.max(loss);
        lost.newest = now;
        lost.by_probe |= by_probe;
        self.newest_loss = Some(now);
    }

    fn set_cut_off(&mut self) {
        if !self.is_cut_off {
            self.is_cut_off = true;
            self.changes.push(LinkChange::Lost);
        }
    }
}

impl Dispatcher {
    /// Records that a connection to an upstream was lost during a request.
    pub fn connection_lost(&mut self, upstream: &UpstreamId, loss: Loss, now: Instant) {
        self.record_loss(upstream, loss, false, now);
    }

    /// Records the result of a probe that began at `sent_at`.
    pub fn probe_ended(
        &mut self,
        upstream: &UpstreamId,
        result: Result<(), Loss>,
        sent_at: Instant,
        now: Instant,
    ) {
        match result {
            Ok(()) => self.upstream_reached(upstream, sent_at, now),
            Err(loss) => self.record_loss(upstream, loss, true, now),
        }
    }

    /// Records that an upstream answered on a connection that was opened after `sent_at`.
    pub fn upstream_reached(&mut self, upstream: &str, sent_at: Instant, now: Instant) {
        if let Some(upstream) = self.registry.get_mut(upstream) {
            upstream.record_reached(sent_at);
        }
        self.answer_received(upstream, sent_at, now);
        // The connection may have been opened before the links failed.
        let is_older = Some(sent_at) < self.reachability.newest_loss;
        if is_older || !self.reachability.is_suspected() {
            return;
        }
        let lost = std::mem::take(&mut self.reachability.lost);
        if std::mem::take(&mut self.reachability.is_cut_off) {
            self.reachability.changes.push(LinkChange::Reached);
            for id in lost.keys() {
                if let Some(upstream) = self.registry.get_mut(id) {
                    upstream.health.forget_unreachable();
                }
            }
            return;
        }
        for (id, lost) in lost.iter().filter(|(id, _)| id.as_str() != upstream) {
            self.upstream_failed(id, lost, now);
        }
    }

    /// Returns the upstreams to probe now; none if no connection was lost since an upstream was reached, and
    /// no silence is suspected to be due to this daemon's links.
    pub fn probe_targets(&self, now: Instant) -> Vec<ProbeTarget> {
        if !self.needs_probes(now) {
            return Vec::new();
        }
        let last_loss = |u: &Upstream| self.reachability.lost.get(&u.id).map(|lost| lost.newest);
        let mut listed: Vec<&Upstream> = self.registry.all().filter(|u| u.is_listed(now)).collect();
        // Only services that answer other daemons tell the own loss from the upstreams' silence.
        let proves_little = |u: &Upstream| {
            self.reachability.has_silent_probe() && !self.answers_only_others(u, now)
        };
        listed.sort_by_key(|u| (proves_little(u), last_loss(u), u.hash ^ self.me.incarnation));
        listed.truncate(PROBES_PER_ROUND);
        let target = |u: &Upstream| ProbeTarget {
            upstream: u.id.clone(),
            address: u.address,
        };
        listed.into_iter().map(target).collect()
    }

    /// Returns whether it must be found out if this daemon reaches any upstream.
    pub fn needs_probes(&self, now: Instant) -> bool {
        self.reachability.is_suspected() || self.suspects_links(now)
    }

    /// Chooses a daemon that can serve a request for this one, but for those in `tried`; its
    /// configuration is not older. All of them are equally likely, as a failure domain may have lost its
    /// links as a whole.
    pub fn choose_delegate(&mut self, tried: &[DaemonName], now: Instant) -> Option<Delegate> {
        self.choose_delegate_among(|name| !tried.contains(name), now)
    }

    /// Chooses one of the daemons that can serve a request for this one and are admitted.
    pub(super) fn choose_delegate_among(
        &mut self,
        is_admitted: impl Fn(&DaemonName) -> bool,
        now: Instant,
    ) -> Option<Delegate> {
        let generation = self.generation();
        let can_serve = |peer: &&Peer| {
            let known = &peer.last_heartbeat;
            known.readiness == Readiness::Ready
                && known.links != Links::CutOff
                && known.generation >= generation
                && is_admitted(&known.from.name)
        };
        let able: Vec<&Peer> = self.peers.reporting(now).filter(can_serve).collect();
        // Those that hear nothing themselves may be cut off, too, or only busy.
        let is_silent = |peer: &&Peer| peer.last_heartbeat.links == Links::Silent;
        let (silent, answered): (Vec<&Peer>, Vec<&Peer>) = able.into_iter().partition(is_silent);
        let preferred = if answered.is_empty() {
            silent
        } else {
            answered
        };
        let able: Vec<Delegate> = preferred
            .into_iter()
            .map(|peer| Delegate {
                name: peer.last_heartbeat.from.name.clone(),
                address: peer.address,
            })
            .collect();
        let n = self.draw_index(able.len())?;
        able.into_iter().nth(n)
    }

    /// Counts losses that no probe has explained in time against their upstreams.
    pub(super) fn expire_unverified(&mut self, now: Instant) {
        if self.reachability.is_cut_off {
            return;
        }
        let is_old = |_: &UpstreamId, lost: &mut LostUpstream| {
            let limit = match lost.loss {
                Loss::Silent => SILENCE_VERIFICATION_TIME,
                _ => VERIFICATION_TIME,
            };
            now.saturating_duration_since(lost.since) >= limit
        };
        let expired: Vec<_> = self.reachability.lost.extract_if(.., is_old).collect();
        for (id, lost) in expired {
            self.upstream_failed(&id, &lost, now);
        }
    }

    fn record_loss(&mut self, upstream: &UpstreamId, loss: Loss, by_probe: bool, now: Instant) {
        if self.registry.get(upstream).is_none() {
            return;
        }
        if loss == Loss::Refused {
            let incarnation = self.incarnation(upstream);
            self.poison.connection_refused(upstream, incarnation);
        }
        self.reachability.insert(upstream, loss, by_probe, now);
        let lost = &self.reachability.lost;
        let listed = self.registry.all().filter(|u| u.is_listed(now));
        let others = listed.filter(|u| u.id != *upstream).count();
        if others == 0 {
            // Nothing else can be probed.
            if let Some(lost) = self.reachability.lost.remove(upstream) {
                self.upstream_failed(upstream, &lost, now);
            }
            return;
        }
        let is_failure = |lost: &&LostUpstream| lost.by_probe && lost.loss != Loss::Silent;
        if lost.values().filter(is_failure).count() >= MIN_FAILED_PROBES {
            self.set_cut_off();
        }
        self.judge_silent_probes(now);
    }

    /// Counts this daemon as cut off if upstreams that answer other daemons have not answered its probes.
    pub(super) fn judge_silent_probes(&mut self, now: Instant) {
        if self.reachability.is_cut_off || !self.reachability.has_silent_probe() {
            return;
        }
        let listed = self.registry.all().filter(|u| u.is_listed(now));
        let answering = listed.filter(|u| self.answers_only_others(u, now));
        let answering: Vec<&Upstream> = answering.collect();
        let is_failed = |u: &&&Upstream| {
            let lost = self.reachability.lost.get(&u.id);
            lost.is_some_and(|lost| lost.by_probe)
        };
        let failed = answering.iter().filter(is_failed).count();
        let all_failed = self.reachability.lost.values().filter(|l| l.by_probe);
        if failed > 0
            && failed >= MIN_FAILED_PROBES.min(answering.len())
            && all_failed.count() >= MIN_FAILED_PROBES
        {
            self.set_cut_off();
        }
    }

    fn set_cut_off(&mut self) {
        self.reachability.set_cut_off();
        self.silence.forget_held();
        self.forget_broken_connections();
    }

    /// Draws the conclusions from a lost connection once this daemon's links are known to work.
    fn upstream_failed(&mut self, id: &UpstreamId, lost: &LostUpstream, now: Instant) {
        if matches!(lost.loss, Loss::Broken | Loss::Silent) {
            return;
        }
        if let Some(upstream) = self.registry.get(id)
            && let Some(cold) = self.cold_time(&upstream.service)
            && let Some(upstream) = self.registry.get_mut(id)
        {
            let is_new = !upstream.is_cold(now);
            upstream.presume_cold(
                lost.since,
                lost.newest + cold + UNDETECTED_RESTART_MARGIN,
                now,
            );
            if is_new {
                let presumed = ColdPresumption::new(upstream, StopSource::Own);
                self.presumed_cold.push(presumed);
            }
        }
        // A host that is silent for a moment has not stopped; a restart shows in its entry.
        if lost.loss == Loss::Refused {
            self.upstream_stopped(id, lost.since);
        }
    }
}
