//! The upstreams that are believed to live, and what is known of each.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform::{
    DomainName, ServiceName, UpstreamId, VersionName,
    table::Row,
    upstream::{Registration, State},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::dispatch::{
    cold::RequestPacer, health::Health, prefill_queue::PrefillQueue,
};

/// How long after an outage of the table an entry that vanished may come back.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// The same for entries that vanish together without an outage that was noticed.
const MASS_REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(1_700);
/// The part of a service's entries whose vanishing at once is taken for a lapse.
const MASS_REMOVAL_FRACTION: f64 = 0.5;
/// The least number of entries of which that can be said.
const MASS_REMOVAL_MIN_COUNT: usize = 3;
/// How long a version is held back that nobody has asked for: its order may be on its way.
const UNORDERED_VERSION_HOLD: Duration = Duration::from_secs(3);

/// One incarnation of an upstream, and what this daemon knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// A hash of the id, equal on all daemons.
    pub hash: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its version.
    pub version: VersionName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// What recent attempts say of it.
    pub health: Health,
    /// This daemon's pace while it is cold.
    pub cold_pacer: RequestPacer,
    /// This daemon's requests on it.
    pub running: u32,
    /// The prompts that it has to read, of all daemons.
    pub queue: PrefillQueue,
    /// Until when its entry, which vanished around an outage, may come back.
    missing_until: Option<Instant>,
    first_seen: Instant,
    started_ms: Option<u64>,
}

impl Upstream {
    /// Whether its entry says that it takes new work.
    pub fn is_listed(&self, now: Instant) -> bool {
        self.state == State::Ready && self.missing_until.is_none_or(|until| now < until)
    }

    /// How long this daemon has known it.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_seen)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Takes it for cold until a time, unless it is for longer already.
    pub fn mark_cold_until(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }
}

/// What a change of an entry means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new incarnation.
    Joined(UpstreamId),
    /// The same incarnation says something new of itself.
    Updated(UpstreamId),
    /// It takes no new work.
    Draining(UpstreamId),
    /// It is gone.
    Left(UpstreamId),
    /// Its entry vanished in an outage, and is given time to come back.
    Missing(UpstreamId),
    /// A row that names no upstream.
    Unreadable(UpstreamId, String),
    /// Nothing that matters here.
    None,
}

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Versions in use before any roll-out was asked for.
    settled: BTreeMap<ServiceName, BTreeSet<VersionName>>,
    /// Whether the table has been read.
    loaded: bool,
    /// Until when vanished entries may come back.
    grace_until: Option<Instant>,
}

impl Registry {
    /// Whether the table has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// The upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.service == service)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// One upstream.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// One upstream, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// The upstream with this hash of its id.
    pub fn by_hash_mut(&mut self, hash: u64) -> Option<&mut Upstream> {
        self.upstreams.values_mut().find(|u| u.hash == hash)
    }

    /// All upstreams, to be changed.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Whether a version has been in use without a roll-out, or long enough not to await one.
    pub fn is_settled(&self, upstream: &Upstream, now: Instant) -> bool {
        let known = self
            .settled
            .get(&upstream.service)
            .is_some_and(|versions| versions.contains(&upstream.version));
        known || now.saturating_duration_since(upstream.first_seen) >= UNORDERED_VERSION_HOLD
    }

    /// Notes that the table could not be read until now.
    pub fn table_restored(&mut self, now: Instant) {
        self.set_grace_until(now + OUTAGE_GRACE_PERIOD);
    }

    /// Lets entries that vanish until a time come back.
    pub fn set_grace_until(&mut self, until: Instant) {
        self.grace_until = Some(until);
    }

    /// How long vanished entries may still come back.
    pub fn grace_left(&self, now: Instant) -> Option<Duration> {
        let left = self.grace_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Takes a full read of the table for the truth.
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
        let handle_removal = |id: &UpstreamId| self.handle_removal(id, grace_deadline);
        let mut changes: Vec<Change> = missing.iter().map(handle_removal).collect();
        changes.extend(rows.iter().map(|row| self.put(row, now)));
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
                Some(_) => self.put(row, now),
                None => self.handle_removal(&row.key, grace_deadline),
            })
            .collect()
    }

    /// Drops entries that vanished in an outage and did not come back; returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        let expired: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(|u| u.missing_until.is_some_and(|until| until <= now))
            .map(|u| u.id.clone())
            .collect();
        for id in &expired {
            self.upstreams.remove(id);
        }
        expired
    }

    fn put(&mut self, row: &Row, now: Instant) -> Change {
        let Some(value) = &row.value else {
            return Change::None;
        };
        let registration = match Registration::decode(value) {
            Ok(registration) => registration,
            Err(e) => {
                self.upstreams.remove(&row.key);
                return Change::Unreadable(row.key.clone(), e.to_string());
            }
        };
        let cold_until = (!registration.cold.is_zero()).then(|| now + registration.cold);
        match self.upstreams.get_mut(&row.key) {
            Some(known) if known.is_same(&registration) => {
                let previous_state = known.state;
                known.state = registration.state;
                known.missing_until = None;
                if let Some(until) = cold_until {
                    known.mark_cold_until(until);
                }
                match (previous_state, registration.state) {
                    (State::Ready, State::Draining) => Change::Draining(row.key.clone()),
                    _ => Change::Updated(row.key.clone()),
                }
            }
            _ => {
                let mut upstream = Upstream::new(row.key.clone(), registration, now);
                upstream.cold_until = cold_until;
                self.upstreams.insert(row.key.clone(), upstream);
                Change::Joined(row.key.clone())
            }
        }
    }

    /// Until when entries that vanish together may come back, if they may.
    fn grace_deadline(&self, missing: &[UpstreamId], now: Instant) -> Option<Instant> {
        let after_outage = self.grace_until.filter(|until| now < *until);
        after_outage.or_else(|| {
            self.is_mass_removal(missing)
                .then(|| now + MASS_REMOVAL_GRACE_PERIOD)
        })
    }

    /// Whether most entries of some service vanish at once.
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

    fn handle_removal(&mut self, id: &str, grace_deadline: Option<Instant>) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::None;
        };
        let id = upstream.id.clone();
        let Some(until) = grace_deadline.filter(|_| upstream.state == State::Ready) else {
            self.upstreams.remove(&id);
            return Change::Left(id);
        };
        upstream.missing_until.get_or_insert(until);
        Change::Missing(id)
    }
}

impl Upstream {
    fn new(id: UpstreamId, registration: Registration, now: Instant) -> Self {
        Self {
            hash: xxh3_64(id.as_bytes()),
            id,
            service: registration.service,
            address: registration.address,
            domain: registration.domain,
            version: registration.version,
            slots: registration.slots,
            state: registration.state,
            cold_until: None,
            health: Health::default(),
            cold_pacer: RequestPacer::default(),
            running: 0,
            queue: PrefillQueue::default(),
            missing_until: None,
            first_seen: now,
            started_ms: registration.started_ms,
        }
    }

    fn is_same(&self, registration: &Registration) -> bool {
        self.started_ms == registration.started_ms
            && self.address == registration.address
            && self.service == registration.service
            && self.version == registration.version
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of upstreams")]
fn fraction(count: usize, all: usize) -> f64 {
    count as f64 / all.max(1) as f64
}
