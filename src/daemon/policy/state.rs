//! Mutable state of the policy, protected by a single lock.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use crate::{
    coordination::{
        hash::mix,
        membership::{DaemonName, Incarnation},
        poison::{Fingerprint, PoisonDetector, SuspectUpdate},
        quality::{Quality, Subject},
        retry::Budget,
        rollout::{Fleet, Ratings, Trials, Verdict},
        routing::{
            Choice, ChoiceId, NoRoute, Outcome, Reason, RouteRequest, Router, SoloRunId, Views,
        },
    },
    daemon::{
        core::{Core, MemberList},
        policy::pools::{PoolName, Pools},
    },
    state::{
        objects::{Objects, UpstreamName},
        snapshot::{Generation, Snapshot},
    },
};

/// How long the same daemons keep the remainder of an exposure budget that does not divide evenly.
const EPOCH_DURATION: Duration = Duration::from_secs(60);

/// Maximum number of outbox entries of one kind that wait to be sent to peers.
const MAX_OUTBOX_ENTRIES: usize = 1_024;

/// Updates to send to peers without delay.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) suspects: Vec<SuspectUpdate>,
    pub(super) ratings: Vec<Ratings>,
    pub(super) verdicts: Vec<Verdict>,
    pub(super) released: Vec<ReleasedReservation>,
}

/// A solo run's reservation of an upstream that has ended.
#[derive(Clone, Debug)]
pub(super) struct ReleasedReservation {
    pub(super) upstream: UpstreamName,
    pub(super) holder: SoloRunId,
}

impl Outbox {
    /// Adds ratings to the queued ratings of the same subject.
    fn add_ratings(&mut self, ratings: Ratings) {
        let same = |r: &Ratings| r.subject == ratings.subject;
        if let Some(index) = self.ratings.iter().rposition(same) {
            let existing = &mut self.ratings[index];
            existing.passed = existing.passed.saturating_add(ratings.passed);
            existing.failed = existing.failed.saturating_add(ratings.failed);
        } else if self.ratings.len() < MAX_OUTBOX_ENTRIES {
            self.ratings.push(ratings);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
            && self.ratings.is_empty()
            && self.verdicts.is_empty()
            && self.released.is_empty()
    }
}

/// Mutable state of the policy.
pub(super) struct State {
    pub(super) router: Router,
    pub(super) quality: Quality,
    pub(super) trials: Trials,
    pub(super) poison: PoisonDetector,
    pub(super) retries: Budget,
    pub(super) hedges: Budget,
    pub(super) pools: Pools,
    pub(super) outbox: Outbox,
    pub(super) unsaved_verdicts: Vec<Verdict>,
    own_name: DaemonName,
    incarnation: Incarnation,
    running: HashMap<ChoiceId, Fingerprint>,
    members: MemberList,
    leaving: Arc<[UpstreamName]>,
    names: Arc<[DaemonName]>,
    generation: Generation,
    epoch: u64,
}

impl State {
    pub(super) fn new(core: &Core) -> Self {
        let settings = &core.settings;
        let own_name = settings.name.clone();
        let domain = settings.failure_domain.clone();
        Self {
            router: Router::new(own_name.clone(), domain, core.incarnation),
            quality: Quality::default(),
            trials: Trials::default(),
            poison: PoisonDetector::new(core.incarnation),
            retries: Budget::retries(),
            hedges: Budget::hedges(),
            pools: Pools::default(),
            outbox: Outbox::default(),
            unsaved_verdicts: Vec::new(),
            names: Arc::from([own_name.clone()]),
            own_name,
            incarnation: core.incarnation,
            running: HashMap::new(),
            members: Arc::from([]),
            leaving: Arc::from([]),
            generation: 0,
            epoch: u64::MAX,
        }
    }

    /// Applies changes of the configuration, the fleet, the leaving upstreams and the epoch.
    pub(super) fn refresh(&mut self, now: Instant, core: &Core, snapshot: &Snapshot) {
        let members = core.members();
        let members_changed = !Arc::ptr_eq(&members, &self.members);
        if members_changed {
            self.names = reachable_names(&members, &self.own_name);
            self.members = members;
        }
        let wall = core.clock.wall().duration_since(UNIX_EPOCH);
        let epoch = wall.map_or(0, |d| d.as_secs() / EPOCH_DURATION.as_secs());
        let leaving = core.leaving_upstreams();
        let leaving_changed = !Arc::ptr_eq(&leaving, &self.leaving);
        if leaving_changed {
            self.router.set_leaving(leaving.clone());
            self.leaving = leaving;
        }
        let changed = members_changed || leaving_changed || self.generation != snapshot.generation;
        if !changed && self.epoch == epoch {
            return;
        }
        self.epoch = epoch;
        self.router.refresh(snapshot, &self.names);
        let fleet = Fleet {
            own: &self.own_name,
            members: &self.names,
            epoch,
        };
        self.trials.refresh(now, snapshot, fleet);
        self.pools.refresh(snapshot, self.names.len());
        if self.generation != snapshot.generation {
            self.generation = snapshot.generation;
            let objects = &snapshot.objects;
            self.quality.retain(|rule, version| {
                objects.rules.contains_key(rule) && objects.versions.contains_key(version)
            });
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Instant,
        snapshot: &Snapshot,
        req: &RouteRequest,
        rating: Option<Duration>,
        available: &dyn Fn(&str) -> u32,
    ) -> Result<Choice, NoRoute> {
        let views = Views {
            available,
            quality: &self.quality,
            trials: &self.trials,
            rating,
        };
        self.router.choose(now, snapshot, req, &views)
    }

    /// Records that all upstreams were busy for an admitted request.
    pub(super) fn record_busy(&mut self, now: Instant) {
        if let Some(pool) = self.pools.get(&PoolName::Engines) {
            pool.limit.busy(now);
        }
    }

    /// Records the start of a request; returns whether there are updates to send to peers.
    pub(super) fn started(
        &mut self,
        now: Instant,
        choice: &Choice,
        fingerprint: Fingerprint,
    ) -> bool {
        self.router.started(now, choice);
        if choice.reason != Reason::Service {
            self.trials.started(&choice.version);
        }
        self.running.insert(choice.id, fingerprint);
        let update = self
            .poison
            .started(now, fingerprint, &choice.upstream, choice.solo);
        self.queue_updates(update)
    }

    /// Records the outcome of a request; returns whether there are updates to send to peers.
    pub(super) fn finished(&mut self, now: Instant, choice: &Choice, outcome: Outcome) -> bool {
        let Some(fingerprint) = self.running.remove(&choice.id) else {
            return false;
        };
        self.router.finished(now, choice, outcome);
        if let Outcome::Answered { .. } = outcome {
            self.retries.succeeded();
            self.hedges.succeeded();
            if let Some(pool) = self.pools.get(&PoolName::for_choice(choice)) {
                pool.limit.served();
            }
        } else if choice.reason != Reason::Service {
            self.trials.settled(&choice.version);
        }
        if choice.solo {
            self.release_reservation(choice);
        }
        let upstream = &choice.upstream;
        let update = self
            .poison
            .finished(now, fingerprint, upstream, choice.solo, outcome);
        self.queue_updates(update)
    }

    /// Records the crash of an upstream; returns whether there are updates to send to peers.
    pub(super) fn crashed(&mut self, now: Instant, upstream: &UpstreamName) -> bool {
        let updates = self.poison.upstream_crashed(now, upstream);
        self.queue_updates(updates)
    }

    /// Records a rating of one of this daemon's answers; returns a verdict if it leads to one.
    pub(super) fn record_rating(
        &mut self,
        now: Instant,
        objects: &Objects,
        subject: Subject,
        passed: bool,
    ) -> Option<Verdict> {
        self.trials.settled(&subject.version);
        self.quality.rated(&subject, passed);
        let send_at_once =
            self.names.len() <= SMALL_FLEET_SIZE || self.trials.on_trial(&subject.version);
        let ratings = Ratings::one(subject, passed);
        let verdict = self.apply_ratings(now, objects, &ratings);
        if send_at_once {
            self.outbox.add_ratings(ratings);
        }
        verdict
    }

    /// Applies ratings from this daemon or a peer; returns a verdict if they lead to one.
    pub(super) fn apply_ratings(
        &mut self,
        now: Instant,
        objects: &Objects,
        ratings: &Ratings,
    ) -> Option<Verdict> {
        let own_name = &self.own_name;
        let verdict = self
            .trials
            .rated(now, objects, &self.quality, ratings, own_name)?;
        self.outbox.verdicts.push(verdict.clone());
        Some(verdict)
    }

    /// Returns the fleet-wide id of a solo run.
    pub(super) fn solo_run_id(&self, choice: &Choice) -> SoloRunId {
        mix(self.incarnation ^ mix(choice.id))
    }

    /// Ends the reservation for a solo run.
    pub(super) fn release_reservation(&mut self, choice: &Choice) {
        let holder = self.solo_run_id(choice);
        self.router.release(&choice.upstream, holder);
        self.outbox.released.push(ReleasedReservation {
            upstream: choice.upstream.clone(),
            holder,
        });
    }

    fn queue_updates(&mut self, updates: impl IntoIterator<Item = SuspectUpdate>) -> bool {
        let free_entries = MAX_OUTBOX_ENTRIES.saturating_sub(self.outbox.suspects.len());
        self.outbox
            .suspects
            .extend(updates.into_iter().take(free_entries));
        !self.outbox.is_empty()
    }
}

/// Maximum fleet size at which ratings of trusted versions are sent to peers without delay.
const SMALL_FLEET_SIZE: usize = 20;

fn reachable_names(members: &MemberList, own: &DaemonName) -> Arc<[DaemonName]> {
    let others = members.iter().filter(|m| m.reachable()).map(|m| &m.name);
    let mut names: Vec<_> = others.chain([own]).cloned().collect();
    names.sort_unstable();
    names.dedup();
    names.into()
}
