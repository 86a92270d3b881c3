//! Admission, routing and quality estimates of a daemon.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use derive_more::Display;
use tokio::sync::Notify;

use crate::{
    coordination::{
        poison::{Fingerprint, Quarantined, Treatment},
        routing::{Choice, NoRoute, NoRouteCause, Outcome, Reason, RouteRequest, ServiceRequest},
    },
    daemon::{
        core::Core,
        policy::{rating::RatingClient, state::State},
    },
    state::objects::UpstreamName,
};

mod admit;
mod gossip;
mod isolate;
mod pools;
mod rating;
mod state;
mod verdicts;

pub use admit::AdmissionGuard;

/// Function that returns a number of slots of an upstream.
pub type SlotCounter = Arc<dyn Fn(&str) -> u32 + Send + Sync>;

/// Margin by which a rating must exceed the rule's quality, because ratings are estimates.
const RATING_MARGIN: f64 = 0.03;

/// Whether to deliver an answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum DeliveryDecision {
    /// Deliver it.
    Deliver,
    /// Try a more expensive version instead.
    Escalate,
}

/// Makes the admission and routing decisions of a daemon.
pub struct Policy {
    core: Arc<Core>,
    state: Mutex<State>,
    rater: Option<RatingClient>,
    available_slots: OnceLock<SlotCounter>,
    total_slots: OnceLock<SlotCounter>,
    outbox_ready: Notify,
}

impl Policy {
    /// Starts the policy. Its background tasks end when the last handle is dropped.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let rater = core.settings.platform.rating.map(RatingClient::new);
        let policy = Arc::new(Self {
            state: Mutex::new(State::new(&core)),
            core,
            rater,
            available_slots: OnceLock::new(),
            total_slots: OnceLock::new(),
            outbox_ready: Notify::new(),
        });
        gossip::spawn(&policy);
        policy
    }

    /// Sets the function that returns how many requests may be sent to an upstream now.
    pub fn set_available_slots(&self, available: SlotCounter) {
        // Set once at startup; later calls have no effect.
        let _ = self.available_slots.set(available);
    }

    /// Sets the function that returns how many requests may run on an upstream concurrently.
    pub fn set_total_slots(&self, slots: SlotCounter) {
        // Set once at startup; later calls have no effect.
        let _ = self.total_slots.set(slots);
    }

    /// Returns whether a request must run alone, or an error if it is quarantined for crashing
    /// upstreams.
    pub fn check_poison(&self, fingerprint: Fingerprint) -> Result<bool, Quarantined> {
        let now = self.core.clock.now();
        match self.lock().poison.treatment(now, fingerprint) {
            Treatment::Normal => Ok(false),
            Treatment::Solo => Ok(true),
            Treatment::Refuse(quarantined) => Err(quarantined),
        }
    }

    /// Returns the upstreams that crashed while running a request; it is not sent there again.
    pub fn crashed_on(&self, fingerprint: Fingerprint) -> Vec<UpstreamName> {
        self.lock().poison.crashed_on(fingerprint)
    }

    /// Chooses a version and an upstream for a model request, using the configuration in force.
    pub fn choose(&self, req: &RouteRequest) -> Result<Choice, NoRoute> {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let rating = self.rater.as_ref().and_then(|r| r.expected_latency(now));
        let mut state = self.lock();
        state.refresh(now, &self.core, &snapshot);
        let in_service = |upstream: &str| u32::from(snapshot.in_service(upstream).is_some());
        let available: &dyn Fn(&str) -> u32 = match self.available_slots.get() {
            Some(available) => &**available,
            None => &in_service,
        };
        let choice = state.choose(now, &snapshot, req, rating, available);
        if let Err(no_route) = &choice
            && no_route.cause == NoRouteCause::Busy
            && !req.solo
            && req.session.is_none()
        {
            state.record_busy(now);
        }
        choice
    }

    /// Chooses an upstream for a request to a plain service.
    pub fn choose_service_upstream(&self, req: &ServiceRequest) -> Result<Choice, NoRoute> {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let mut state = self.lock();
        state.refresh(now, &self.core, &snapshot);
        let in_service = |upstream: &str| u32::from(snapshot.in_service(upstream).is_some());
        let available: &dyn Fn(&str) -> u32 = match self.available_slots.get() {
            Some(available) => &**available,
            None => &in_service,
        };
        state.router.choose_service_upstream(now, req, available)
    }

    /// Records that a request is about to be dispatched.
    pub fn started(&self, choice: &Choice, fingerprint: Fingerprint) {
        let now = self.core.clock.now();
        let has_updates = self.lock().started(now, choice, fingerprint);
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// Records the outcome of a dispatched request.
    pub fn finished(&self, choice: &Choice, outcome: Outcome) {
        let now = self.core.clock.now();
        let has_updates = self.lock().finished(now, choice, outcome);
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// Records that an upstream has crashed. Requests still running there become suspects.
    pub fn crashed(&self, upstream: &str) {
        let now = self.core.clock.now();
        let has_updates = self.lock().crashed(now, &upstream.into());
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// Returns whether a failed request may be retried, and takes a retry from the budget if so.
    pub fn try_retry(&self) -> bool {
        self.lock().retries.try_take()
    }

    /// Returns whether a slow request may be hedged on a second upstream, and takes a hedge from
    /// the budget if so.
    pub fn try_hedge(&self) -> bool {
        self.lock().hedges.try_take()
    }

    /// Decides whether to deliver an unstreamed answer, given its rating if there is one.
    pub fn decide_delivery(
        &self,
        req: &RouteRequest,
        choice: &Choice,
        quality: Option<f64>,
    ) -> DeliveryDecision {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let Some(rule) = snapshot.objects.rules.get(&req.rule) else {
            return DeliveryDecision::Deliver;
        };
        let deadline_passed = req.deadline <= now;
        if deadline_passed || req.session.is_some() || choice.reason == Reason::Service {
            return DeliveryDecision::Deliver;
        }
        match quality {
            Some(quality) if quality >= rule.quality + RATING_MARGIN => DeliveryDecision::Deliver,
            Some(_) => DeliveryDecision::Escalate,
            // Without a rating, rely on the estimate by which the version was chosen.
            None => DeliveryDecision::Deliver,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maximum interval between two runs of the background work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
