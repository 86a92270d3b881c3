//! Requests that wait in this daemon until an upstream of their service has room.
//!
//! Load pattern: the upstreams are full, and a request that is sent away would have been served a moment
//! later. It waits if it can still be served in time, in the order of
//! [`Admission`](crate::coordination::admission::Admission). One that cannot, or that is below the
//! fleet's level, is rejected at once, so that its caller can act.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use derive_more::Display;
use platform::ServiceName;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::{
    admission::{Admission, Arrival, Limit, Position, START_SOON, Traits, WaiterId},
    dispatch::{
        Dispatcher,
        assignment::{Assignment, NoSlotReason, Placement, PlacementRequest},
        health::AttemptOutcome,
        overload::{
            AdmissionLevel, OverloadCounts, OverloadReport, RequestSample, admission_level,
        },
    },
};

/// Divisor of the slots that must be in use, as far as is known, for a refusal to show a full upstream.
/// Counts of other daemons' requests are old.
const REFUSAL_LOAD_DIVISOR: u32 = 2;
/// Minimum Retry-After of a request that is rejected for lack of capacity.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum span over which callers that are rejected at the same time return.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);
/// Time after its Retry-After for which a rejected session goes before newcomers.
const RETURN_TIME: Duration = Duration::from_secs(10);
/// Maximum number of rejected sessions that are remembered for each service.
const MAX_RETURNING: usize = 2_048;
/// Number of slots of which one is kept for requests that must start soon. With none kept, a daemon with
/// nine slots starts only two thirds of them in time at 0.7 of its capacity.
const SLOTS_PER_RESERVE: u32 = 8;
/// Weight of the newest sample in the time for each token of a response.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A request that is to be placed or to wait.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// What its placement depends on.
    pub placement: PlacementRequest<'a>,
    /// The customer; empty if there is none.
    pub customer: &'a str,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether it has been sent to an upstream before. It is not counted again.
    pub sent_before: bool,
    /// Whether an upstream may have worked on it. The level does not end its wait.
    pub has_run: bool,
}

/// Why a request is rejected for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum RejectionCause {
    /// The fleet's level excludes it.
    Level,
    /// It could not be served before its deadline.
    Deadline,
    /// Too many requests wait.
    QueueFull,
}

/// The rejection of a request that has not been sent to an upstream since it arrived or began to wait.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[display("why={cause} {state}")]
pub struct Rejection {
    /// The cause.
    pub cause: RejectionCause,
    /// Delay before the caller should return.
    pub retry_after: Duration,
    /// What the decision rests on.
    pub state: WaitState,
}

/// What a decision to wait or to reject rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitState {
    /// The fleet's level, if there is one.
    pub level: Option<AdmissionLevel>,
    /// Number of requests that go first.
    pub position: usize,
    /// Expected time until the request starts.
    pub expected_start: Duration,
}

impl std::fmt::Display for WaitState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.level {
            Some(level) => write!(
                f,
                "level={}:{:.2} level_age_ms={}",
                level.priority,
                level.fraction,
                level.age.as_millis()
            )?,
            None => write!(f, "level=- level_age_ms=0")?,
        }
        write!(
            f,
            " position={} expected_start_ms={}",
            self.position,
            self.expected_start.as_millis()
        )
    }
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Admitted {
    /// It was placed, or cannot be placed for another reason than lack of capacity.
    Placed(Placement),
    /// It waits.
    Waiting(WaiterId, WaitState),
    /// It is rejected.
    Rejected(Rejection),
}

/// The waiting requests and the counts of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    admission: Admission,
    pub(super) counts: OverloadCounts,
    waiters: HashMap<WaiterId, (Arrival, Traits)>,
    /// Waiting requests that found no room among the upstreams that they have not tried.
    passed: HashSet<WaiterId>,
    /// Rejected sessions and when they may return.
    rejected: HashMap<u64, Instant>,
    /// This daemon's share of the slots while they are full.
    pub(super) limit: Limit,
    /// That share in slots, as an average over several ticks.
    pub(super) share: Option<f64>,
    /// Seconds for each token of a response, after the prefill.
    per_token_s: Option<f64>,
}

impl ServiceQueue {
    fn remove(&mut self, id: WaiterId) {
        self.passed.remove(&id);
        if let Some((arrival, _)) = self.waiters.remove(&id) {
            self.admission.cancel(&arrival);
        }
    }

    /// Removes the request that would start last; its task learns of it at its next try.
    fn remove_last(&mut self, now: Instant) {
        if let Some(id) = self.admission.last(now) {
            self.remove(id);
        }
    }

    fn start(&mut self, id: WaiterId, now: Instant) {
        self.passed.remove(&id);
        if let Some((_, traits)) = self.waiters.remove(&id) {
            self.admission.start(id);
            self.counts.record_start(traits.work, now);
            self.rejected.remove(&traits.session);
        }
    }

    /// Returns how many requests may run. Some slots are kept for requests that must start soon if such
    /// requests arrive, as the next slot of a daemon with few may be released too late for them.
    pub(super) fn max_running(&self, is_tight: bool, now: Instant) -> u32 {
        let limit = self.limit.max_running();
        match is_tight {
            true => limit + limit.div_ceil(SLOTS_PER_RESERVE),
            false if self.counts.has_tight(now) => (limit - limit / SLOTS_PER_RESERVE).max(1),
            false => limit,
        }
    }

    fn is_returning(&self, session: u64, now: Instant) -> bool {
        let returns_at = self.rejected.get(&session);
        returns_at.is_some_and(|at| *at <= now && now < *at + RETURN_TIME)
    }

    fn record_rejected(&mut self, session: u64, returns_at: Instant, now: Instant) {
        if self.rejected.len() >= MAX_RETURNING {
            self.rejected.retain(|_, at| now < *at + RETURN_TIME);
        }
        if self.rejected.len() < MAX_RETURNING {
            self.rejected.insert(session, returns_at);
        }
    }

    /// Returns the expected time for which a request holds its slot after its prefill.
    fn response_time(&self, tokens: u32) -> Duration {
        match self.per_token_s {
            Some(per_token) if tokens > 0 => Duration::from_secs_f64(per_token * f64::from(tokens)),
            _ => self.admission.mean_hold(),
        }
    }
}

impl Dispatcher {
    /// Places a request, lets it wait or rejects it.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> Admitted {
        let service = request.placement.service;
        let level = self.admission_level(service, now);
        if level.is_none() && self.waiting(service) == 0 {
            let is_tight = request.placement.remaining < START_SOON;
            match self.select_in_share(&request.placement, is_tight, now) {
                Placement::Refuse(NoSlotReason::AllFull, _) => {}
                placement => {
                    self.record_placed(request, &placement, now);
                    return Admitted::Placed(placement);
                }
            }
        }
        self.admit_in_order(request, now)
    }

    /// The same while the upstreams are full, as far as is known.
    fn admit_in_order(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> Admitted {
        let service = request.placement.service;
        let session = request.placement.session;
        let (arrival, traits) = self.arrival(request, now);
        let sample = sample(request, &traits, now);
        if !request.sent_before {
            self.service_queue(service)
                .counts
                .record_arrival(sample, now);
        }
        let level = self.admission_level(service, now);
        let position = self
            .service_queue(service)
            .admission
            .position(&arrival, traits, now);
        let state = WaitState {
            level,
            position: position.ahead,
            expected_start: self.expected_wait(service, position, now),
        };
        let queue = self.service_queue(service);
        let is_admitted = level.is_none_or(|l| queue.counts.admits(&l, &sample, now));
        if !is_admitted && !request.sent_before {
            return self.reject(service, session, RejectionCause::Level, state, now);
        }
        if traits.work > request.placement.remaining && !request.sent_before {
            return self.reject(service, session, RejectionCause::Deadline, state, now);
        }
        if position.ahead == 0 {
            let is_tight = traits.is_tight(now);
            match self.select_in_share(&request.placement, is_tight, now) {
                Placement::Refuse(NoSlotReason::AllFull, _) => {}
                Placement::Assigned(assignment) => {
                    let queue = self.service_queue(service);
                    queue.admission.start_at_once(&arrival, traits.work);
                    queue.counts.record_start(traits.work, now);
                    queue.rejected.remove(&session);
                    return Admitted::Placed(Placement::Assigned(assignment));
                }
                placement => return Admitted::Placed(placement),
            }
        }
        if now + state.expected_start > traits.latest_start {
            return self.reject(service, session, RejectionCause::Deadline, state, now);
        }
        let queue = self.service_queue(service);
        if queue.admission.is_full() && position.ahead < queue.admission.waiting() {
            queue.remove_last(now);
        }
        if !queue.admission.enqueue(&arrival, traits) {
            return self.reject(service, session, RejectionCause::QueueFull, state, now);
        }
        let id = arrival.id;
        queue.waiters.insert(id, (arrival, traits));
        Admitted::Waiting(id, state)
    }

    /// Places a waiting request if it is its turn; rejects it if it is too late.
    pub fn place_waiting(
        &mut self,
        id: WaiterId,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Admitted {
        let service = request.placement.service;
        let state = self.wait_state(service, id, now);
        let queue = self.service_queue(service);
        let traits = queue.waiters.get(&id).map(|(_, traits)| *traits);
        let in_time = traits.filter(|traits| traits.latest_start >= now);
        let Some(traits) = in_time else {
            queue.remove(id);
            let session = request.placement.session;
            return self.reject(service, session, RejectionCause::Deadline, state, now);
        };
        // It may have begun to wait before the level was known.
        let is_below = state
            .level
            .is_some_and(|level| request.priority > level.priority);
        if is_below && !request.has_run {
            queue.remove(id);
            let session = request.placement.session;
            return self.reject(service, session, RejectionCause::Level, state, now);
        }
        if self.next_waiting(service, now) != Some(id) {
            return Admitted::Waiting(id, state);
        }
        let is_tight = traits.is_tight(now);
        let placement = self.select_in_share(&request.placement, is_tight, now);
        let queue = self.service_queue(service);
        match placement {
            Placement::Assigned(assignment) => {
                queue.start(id, now);
                Admitted::Placed(Placement::Assigned(assignment))
            }
            Placement::Refuse(
                NoSlotReason::NoneListed | NoSlotReason::Unreachable | NoSlotReason::TooLate,
                _,
            ) => {
                queue.remove(id);
                Admitted::Placed(placement)
            }
            Placement::Refuse(..) => {
                // Others may use the upstreams that it has tried.
                if !request.placement.tried.is_empty() {
                    queue.passed.insert(id);
                }
                Admitted::Waiting(id, state)
            }
            Placement::Wait(_) => Admitted::Waiting(id, state),
        }
    }

    /// Returns the waiting request that starts next.
    pub fn next_waiting(&self, service: &str, now: Instant) -> Option<WaiterId> {
        let queue = self.queues.get(service)?;
        let may_start = |id: WaiterId| !queue.passed.contains(&id);
        queue.admission.head(now, may_start)
    }

    /// Returns the waiting request that starts next after a change of the upstreams or their load.
    pub fn wake_waiting(&mut self, service: &str, now: Instant) -> Option<WaiterId> {
        self.queues.get_mut(service)?.passed.clear();
        self.next_waiting(service, now)
    }

    /// Returns the services with waiting requests.
    pub fn services_with_waiting(&self) -> Vec<ServiceName> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.waiters.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the number of waiting requests of a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, |q| q.waiters.len())
    }

    /// Returns when a waiting request must start to be served before its deadline.
    pub fn latest_start(&self, service: &str, id: WaiterId) -> Option<Instant> {
        let (_, traits) = self.queues.get(service)?.waiters.get(&id)?;
        Some(traits.latest_start)
    }

    /// Removes a waiting request whose caller has left or that is served otherwise.
    pub fn cancel_waiting(&mut self, service: &str, id: WaiterId) {
        self.service_queue(service).remove(id);
    }

    /// Returns the level at which requests of a service are admitted; `None` if all are.
    pub fn admission_level(&self, service: &str, now: Instant) -> Option<AdmissionLevel> {
        let own = self.overload_report(service, now);
        let own = own.iter().map(|report| (report, Duration::ZERO));
        admission_level(own.chain(self.reports_of_others(service, now)))
    }

    /// Returns what other daemons need to derive the same level.
    pub(super) fn overload_reports(&self, now: Instant) -> Vec<OverloadReport> {
        let services = self.queues.keys();
        services
            .filter_map(|service| self.overload_report(service, now))
            .collect()
    }

    pub(super) fn reports_of_others<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a OverloadReport, Duration)> {
        self.peers.reporting(now).flat_map(move |peer| {
            let age = peer.report_age(now);
            let reports = peer.last_heartbeat.overload.iter();
            reports
                .filter(move |r| r.service == service)
                .map(move |r| (r, age))
        })
    }

    /// Records for how long a request held its slot, or that it was refused.
    pub(super) fn record_hold(
        &mut self,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let is_full = self.is_full_by_refusal(&assignment.upstream, now);
        let queue = self.service_queue(&assignment.service);
        match outcome {
            AttemptOutcome::Refused if !is_full => {
                let work = assignment.prefill_time + queue.response_time(assignment.output_tokens);
                return queue.counts.withdraw_start(work, now);
            }
            AttemptOutcome::Served => {
                queue.limit.served();
                if queue.counts.is_full(now)
                    && let Some(upstream) = self.registry.get_mut(&assignment.upstream)
                {
                    upstream.released.release(now);
                }
            }
            AttemptOutcome::Refused => {
                let work = assignment.prefill_time + queue.response_time(assignment.output_tokens);
                queue.counts.withdraw_start(work, now);
                queue.counts.record_full(now);
                return queue.limit.busy(now);
            }
            _ => return,
        }
        let held = assignment.age(now);
        let queue = self.service_queue(&assignment.service);
        queue.admission.record_hold(held);
        if assignment.output_tokens > 0 {
            let response = held.saturating_sub(assignment.first_event_after);
            let response = response.as_secs_f64();
            let sample = response / f64::from(assignment.output_tokens);
            let known = queue.per_token_s.unwrap_or(sample);
            queue.per_token_s = Some(known + SAMPLE_WEIGHT * (sample - known));
        }
    }

    /// Returns whether a refusal by an upstream shows that it is full. Upstreams also refuse requests
    /// when they ask for a pause or fail, and then others have room.
    fn is_full_by_refusal(&self, upstream: &str, now: Instant) -> bool {
        self.registry.get(upstream).is_none_or(|u| {
            let is_loaded = (self.running(u) + 1) * REFUSAL_LOAD_DIVISOR >= u.slots;
            is_loaded && !u.health.is_paused(now)
        })
    }

    pub(super) fn overload_report(&self, service: &str, now: Instant) -> Option<OverloadReport> {
        let (service, queue) = self.queues.get_key_value(service)?;
        queue.counts.report(service, self.own_running(service), now)
    }

    fn record_placed(
        &mut self,
        request: &AdmissionRequest<'_>,
        placement: &Placement,
        now: Instant,
    ) {
        let Placement::Assigned(assignment) = placement else {
            return;
        };
        let service = request.placement.service;
        let response_time = self
            .service_queue(service)
            .response_time(assignment.output_tokens);
        let work = assignment.prefill_time + response_time;
        let traits = self.traits(request, work, now);
        let queue = self.service_queue(service);
        if !request.sent_before {
            queue
                .counts
                .record_arrival(sample(request, &traits, now), now);
        }
        queue.counts.record_start(work, now);
    }

    fn arrival(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> (Arrival, Traits) {
        let placement = &request.placement;
        let prefill_time = match placement.prompt {
            Some(_) => self.shortest_prefill_time(placement, now),
            None => None,
        };
        let tokens = placement
            .prompt
            .map_or(0, |prompt| prompt.max_output_tokens);
        let response_time = self.service_queue(placement.service).response_time(tokens);
        let work = prefill_time.unwrap_or_default() + response_time;
        self.last_waiter += 1;
        let arrival = Arrival {
            id: self.last_waiter,
            customer: request.customer.into(),
            weight: 1,
            queue: u32::MAX,
            priority: u8::MAX - request.priority,
            deadline: now + placement.remaining,
        };
        (arrival, self.traits(request, work, now))
    }

    fn traits(&self, request: &AdmissionRequest<'_>, work: Duration, now: Instant) -> Traits {
        let placement = &request.placement;
        let queue = self.queues.get(placement.service);
        Traits {
            route: xxh3_64(placement.route.as_bytes()),
            session: placement.session,
            work,
            latest_start: now + placement.remaining.saturating_sub(work),
            returning: request.sent_before
                || queue.is_some_and(|queue| queue.is_returning(placement.session, now)),
        }
    }

    fn wait_state(&self, service: &str, id: WaiterId, now: Instant) -> WaitState {
        let queue = self.queues.get(service);
        let position = queue.and_then(|queue| {
            let (arrival, traits) = queue.waiters.get(&id)?;
            Some(queue.admission.position(arrival, *traits, now))
        });
        let position = position.unwrap_or_default();
        WaitState {
            level: self.admission_level(service, now),
            position: position.ahead,
            expected_start: self.expected_wait(service, position, now),
        }
    }

    /// Returns the expected time until those ahead have started and another slot is free.
    fn expected_wait(&self, service: &str, position: Position, now: Instant) -> Duration {
        let hold = self
            .queues
            .get(service)
            .map_or(Duration::ZERO, |queue| queue.admission.mean_hold());
        let slots: u32 = self.listed(service, now).map(|u| u.slots).sum();
        let daemons = self.peers.live(now).count() + 1;
        let share = f64::from(slots) / super::cold::count(daemons);
        let slots = f64::from(self.own_running(service)).max(share).max(0.1);
        (position.work_ahead + hold).div_f64(slots)
    }

    pub(super) fn own_running(&self, service: &str) -> u32 {
        self.registry.of_service(service).map(|u| u.running).sum()
    }

    fn reject(
        &mut self,
        service: &str,
        session: u64,
        cause: RejectionCause,
        state: WaitState,
        now: Instant,
    ) -> Admitted {
        let pressure = state.level.map_or(1.0, |level| level.pressure.max(1.0));
        let spread = Duration::from_secs(1).mul_f64(pressure.min(MAX_RETRY_SPREAD.as_secs_f64()));
        let base = state
            .expected_start
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_SPREAD);
        let retry_after = base + spread.mul_f64(self.rng.random::<f64>());
        let queue = self.service_queue(service);
        queue.record_rejected(session, now + retry_after, now);
        Admitted::Rejected(Rejection {
            cause,
            retry_after,
            state,
        })
    }

    pub(super) fn service_queue(&mut self, service: &str) -> &mut ServiceQueue {
        self.queues.entry(service.into()).or_default()
    }
}

fn sample(request: &AdmissionRequest<'_>, traits: &Traits, now: Instant) -> RequestSample {
    let customer = xxh3_64(request.customer.as_bytes());
    RequestSample::new(request.priority, customer, traits, now)
}
