//! The registered upstreams and this daemon's state for each.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform::{
    DomainName, RowVersion, ServiceName, UpstreamId, VersionName,
    table::Row,
    upstream::{Registration, UpstreamState},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    coordination::dispatch::{
        cold::RequestPacer, departed::DepartedUpstreams, engine_speed::Slowness, health::Health,
        prefill_queue::PrefillQueue, presumed_cold::PresumedCold, rate_limit::AnnouncedLimit,
        released_slots::ReleasedSlots, response_times::ResponseTimes,
    },
    isolate::isolate,
};

/// How long after an outage of the table a missing entry may return.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// The same for entries that disappear together without a detected outage.
const MASS_REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(1_700);
/// Fraction of a service's entries whose simultaneous removal is treated as a table outage.
const MASS_REMOVAL_FRACTION: f64 = 0.5;
/// Minimum number of entries for a mass removal.
const MASS_REMOVAL_MIN_COUNT: usize = 3;
/// How long an upstream is held back whose version nobody has ordered; the order may arrive later.
const UNORDERED_VERSION_HOLD: Duration = Duration::from_secs(3);

/// One incarnation of an upstream, with this daemon's state for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Hash of the id, the same on all daemons.
    pub hash: u64,
    /// Its service.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its version.
    pub version: VersionName,
    /// Concurrency limit.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: UpstreamState,
    /// End of its cold start, if it is cold.
    pub cold_until: Option<Instant>,
    /// Whether it is treated as cold because it could not be connected to.
    pub(super) presumed_cold: Option<PresumedCold>,
    /// Start of the newest attempt that it answered.
    pub(super) reached_at: Option<Instant>,
    /// Health according to recent attempts.
    pub health: Health,
    /// Limits this daemon's request rate while the upstream is cold.
    pub cold_pacer: RequestPacer,
    /// Outstanding requests of this daemon.
    pub running: u32,
    /// Outstanding prompts of all daemons.
    pub queue: PrefillQueue,
    /// How much longer than other engines it takes for the same work.
    pub slowness: Slowness,
    /// How long it took to begin its responses.
    pub times: ResponseTimes,
    /// Whether its entry disappeared around a table outage and may return.
    missing: Option<Missing>,
    first_seen: Instant,
    /// Number of the newest known write of the incarnation.
    sequence: Option<u64>,
    /// Startup time of the incarnation in Unix milliseconds by its own clock, if known.
    pub started_ms: Option<u64>,
    /// Whether the incarnation has announced in a response that it leaves.
    pub leaving: bool,
    /// The limit that the incarnation has named in a response.
    pub limit: AnnouncedLimit,
    /// Slots that this daemon may reuse while the service is full.
    pub(super) released: ReleasedSlots,
    /// When this daemon last sent it a request.
    pub sent_at: Option<Instant>,
}

impl Upstream {
    /// Returns whether it accepts new work according to its entry and its own announcements.
    pub fn is_listed(&self, now: Instant) -> bool {
        let is_missing = self.missing.is_some_and(|missing| missing.until <= now);
        self.state == UpstreamState::Ready && !self.leaving && !is_missing
    }

    /// Returns the time since this daemon first saw it.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_seen)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        let presumed = self.presumed_cold.map(|presumed| presumed.until);
        self.cold_until
            .max(presumed)
            .is_some_and(|until| now < until)
    }
}

/// An entry that disappeared around a table outage.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// Until when it may return.
    until: Instant,
    /// Version of the removal; absent if the entry was not in a full read.
    removed_by: Option<RowVersion>,
}

/// Effect of a changed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new incarnation registered.
    Joined(UpstreamId),
    /// The incarnation updated its entry.
    Updated(UpstreamId),
    /// The upstream accepts no new work.
    Draining(UpstreamId),
    /// The entry was removed.
    Left(UpstreamId),
    /// The entry disappeared around a table outage and may return within the grace period.
    Missing(UpstreamId),
    /// The row could not be decoded.
    Unreadable(UpstreamId, String),
    /// No effect.
    None,
}

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    ids_by_hash: HashMap<u64, UpstreamId>,
    /// Versions in use before the first rollout was ordered.
    settled: BTreeMap<ServiceName, BTreeSet<VersionName>>,
    /// Removed upstreams that announced something.
    pub(super) departed: DepartedUpstreams,
    /// Whether the table has been read.
    loaded: bool,
    /// Until when missing entries may return.
    grace_until: Option<Instant>,
}

impl Registry {
    /// Returns whether the table has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.service == service)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns an upstream by id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream by id, mutably.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns the upstream whose id has this hash.
    pub fn by_hash(&self, hash: u64) -> Option<&Upstream> {
        self.upstreams.get(self.ids_by_hash.get(&hash)?)
    }

    /// Returns the upstream whose id has this hash, mutably.
    pub fn by_hash_mut(&mut self, hash: u64) -> Option<&mut Upstream> {
        self.upstreams.get_mut(self.ids_by_hash.get(&hash)?)
    }

    /// Returns all upstreams, mutably.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Returns whether a version was in use without a rollout, or has been known for too long to be
    /// waiting for an order.
    pub fn is_settled(&self, upstream: &Upstream, now: Instant) -> bool {
        let known = self
            .settled
            .get(&upstream.service)
            .is_some_and(|versions| versions.contains(&upstream.version));
        known || now.saturating_duration_since(upstream.first_seen) >= UNORDERED_VERSION_HOLD
    }

    /// Starts the grace period after connectivity to the table was restored.
    pub fn table_restored(&mut self, now: Instant) {
        self.set_grace_until(now + OUTAGE_GRACE_PERIOD);
    }

    /// Sets until when missing entries may return.
    pub fn set_grace_until(&mut self, until: Instant) {
        self.grace_until = Some(until);
    }

    /// Returns the remaining grace period.
    pub fn grace_left(&self, now: Instant) -> Option<Duration> {
        let left = self.grace_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether removed entries may still return.
    pub(super) fn awaits_entries(&self, now: Instant) -> bool {
        let is_missing = |u: &Upstream| u.missing.is_some();
        self.grace_left(now).is_some() || self.upstreams.values().any(is_missing)
    }

    /// Replaces the entries with a full read of the table.
    pub fn replace(&mut self, rows: &[Row], now: Instant) -> Vec<Change> {
        let first = !std::mem::replace(&mut self.loaded, true);
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let missing: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(id.as_str()))
            .cloned()
            .collect();
        let grace_deadline = self.grace_deadline(&missing, now);
        let handle_removal = |id: &UpstreamId| self.handle_removal(id, None, grace_deadline, now);
        let mut changes: Vec<Change> = missing.iter().map(handle_removal).collect();
        changes.extend(rows.iter().map(|row| self.put_isolated(row, now)));
        if first {
            for upstream in self.upstreams.values() {
                self.settled
                    .entry(upstream.service.clone())
                    .or_default()
                    .insert(upstream.version.clone());
            }
        }
        changes
    }

    /// Applies changes from the table's feed.
    pub fn apply(&mut self, rows: &[Row], now: Instant) -> Vec<Change> {
        let removed = rows.iter().filter(|row| row.value.is_none());
        let removed: Vec<UpstreamId> = removed.map(|row| row.key.clone()).collect();
        let grace_deadline = self.grace_deadline(&removed, now);
        rows.iter()
            .map(|row| match row.value {
                Some(_) => self.put_isolated(row, now),
                None => self.handle_removal(&row.key, Some(row.version), grace_deadline, now),
            })
            .collect()
    }

    /// Ends the grace period of entries whose removal a daemon that kept the table has applied, up to a version.
    pub(super) fn confirm_removals(&mut self, up_to: RowVersion, now: Instant) {
        let missing = self
            .upstreams
            .values_mut()
            .filter_map(|u| u.missing.as_mut());
        for missing in missing {
            if missing.removed_by.is_some_and(|version| version <= up_to) {
                missing.until = missing.until.min(now);
            }
        }
    }

    /// Removes entries whose grace period has ended; returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        let expired: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(|u| u.missing.is_some_and(|missing| missing.until <= now))
            .map(|u| u.id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        self.departed.expire(now);
        expired
    }

    /// Applies an entry; one that cannot be applied names no upstream and does not keep the others from
    /// being applied.
    fn put_isolated(&mut self, row: &Row, now: Instant) -> Change {
        isolate(|| self.put(row, now)).unwrap_or_else(|cause| {
            self.remove(&row.key, now);
            Change::Unreadable(row.key.clone(), cause)
        })
    }

    fn put(&mut self, row: &Row, now: Instant) -> Change {
        let Some(value) = &row.value else {
            return Change::None;
        };
        let registration = match Registration::decode(value) {
            Ok(registration) => registration,
            Err(e) => {
                self.remove(&row.key, now);
                return Change::Unreadable(row.key.clone(), e.to_string());
            }
        };
        let cold_until =
            (!registration.cold_remaining.is_zero()).then(|| now + registration.cold_remaining);
        match self.upstreams.get_mut(&row.key) {
            // A table that was restored from a copy lists earlier states of an incarnation.
            Some(known) if known.is_same(&registration) && known.is_newer_than(&registration) => {
                known.missing = None;
                Change::None
            }
            Some(known) if known.is_same(&registration) => {
                known.sequence = registration.sequence;
                let previous_state = known.state;
                known.state = registration.state;
                known.missing = None;
                if let Some(until) = cold_until {
                    known.mark_cold_until(until);
                }
                match (previous_state, registration.state) {
                    (UpstreamState::Ready, UpstreamState::Draining) => {
                        Change::Draining(row.key.clone())
                    }
                    _ => Change::Updated(row.key.clone()),
                }
            }
            _ => {
                let mut upstream = Upstream::new(row.key.clone(), registration, now);
                upstream.cold_until = cold_until;
                if let Some(departed) = self.departed.take(&upstream) {
                    upstream.leaving = departed.leaving;
                    upstream.health = departed.health;
                    upstream.limit = departed.limit;
                }
                self.ids_by_hash.insert(upstream.hash, row.key.clone());
                self.upstreams.insert(row.key.clone(), upstream);
                Change::Joined(row.key.clone())
            }
        }
    }

    fn remove(&mut self, id: &str, now: Instant) {
        let Some(upstream) = self.upstreams.remove(id) else {
            return;
        };
        self.ids_by_hash.remove(&upstream.hash);
        self.departed.keep(upstream, now);
    }

    /// Returns until when missing entries may return, if a grace period applies.
    fn grace_deadline(&self, missing: &[UpstreamId], now: Instant) -> Option<Instant> {
        let after_outage = self.grace_until.filter(|until| now < *until);
        after_outage.or_else(|| {
            self.is_mass_removal(missing)
                .then(|| now + MASS_REMOVAL_GRACE_PERIOD)
        })
    }

    /// Returns whether most entries of some service disappeared at once.
    fn is_mass_removal(&self, missing: &[UpstreamId]) -> bool {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for upstream in missing.iter().filter_map(|id| self.upstreams.get(id)) {
            *counts.entry(upstream.service.as_str()).or_default() += 1;
        }
        counts.into_iter().any(|(service, count)| {
            let all = self.of_service(service).count();
            count >= MASS_REMOVAL_MIN_COUNT && fraction(count, all) > MASS_REMOVAL_FRACTION
        })
    }

    fn handle_removal(
        &mut self,
        id: &str,
        removed_by: Option<RowVersion>,
        grace_deadline: Option<Instant>,
        now: Instant,
    ) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::None;
        };
        let id = upstream.id.clone();
        let Some(until) = grace_deadline.filter(|_| upstream.state == UpstreamState::Ready) else {
            self.remove(&id, now);
            return Change::Left(id);
        };
        upstream
            .missing
            .get_or_insert(Missing { until, removed_by });
        Change::Missing(id)
    }
}

impl Upstream {
    fn new(id: UpstreamId, registration: Registration, now: Instant) -> Self {
        Self {
            hash: hash_of(&id),
            id,
            service: registration.service,
            address: registration.address,
            domain: registration.domain,
            version: registration.version,
            slots: registration.slots,
            state: registration.state,
            cold_until: None,
            presumed_cold: None,
            reached_at: None,
            health: Health::default(),
            cold_pacer: RequestPacer::default(),
            running: 0,
            queue: PrefillQueue::default(),
            slowness: Slowness::default(),
            times: ResponseTimes::default(),
            missing: None,
            first_seen: now,
            sequence: registration.sequence,
            started_ms: registration.started_ms,
            leaving: false,
            limit: AnnouncedLimit::default(),
            released: ReleasedSlots::default(),
            sent_at: None,
        }
    }

    fn is_newer_than(&self, registration: &Registration) -> bool {
        registration.sequence.is_some() && registration.sequence < self.sequence
    }

    fn is_same(&self, registration: &Registration) -> bool {
        self.started_ms == registration.started_ms
            && self.address == registration.address
            && self.service == registration.service
            && self.version == registration.version
    }
}

/// Returns the hash of an upstream's id, the same on all daemons.
pub(super) fn hash_of(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

#[expect(clippy::cast_precision_loss, reason = "counts of upstreams")]
fn fraction(count: usize, all: usize) -> f64 {
    count as f64 / all.max(1) as f64
}
