//! Admission, routing and what is learned from ratings, for the tasks of one daemon.

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

/// Tells how many requests may be sent to an upstream now.
pub type SlotCounter = Arc<dyn Fn(&str) -> u32 + Send + Sync>;

/// How far above the rule's quality a rating must be, since ratings are estimates.
const RATING_MARGIN: f64 = 0.03;

/// Whether an answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum DeliveryDecision {
    /// It is.
    Deliver,
    /// A dearer version should answer instead.
    Escalate,
}

/// The decisions of one daemon.
pub struct Policy {
    core: Arc<Core>,
    state: Mutex<State>,
    rater: Option<RatingClient>,
    available_slots: OnceLock<SlotCounter>,
    total_slots: OnceLock<SlotCounter>,
    outbox_ready: Notify,
}

impl Policy {
    /// Starts the policy of a daemon; its tasks end with the process or with the last handle.
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

    /// Sets where the number of requests that may be sent to an upstream comes from.
    pub fn set_available_slots(&self, available: SlotCounter) {
        // Set once at start; a second call changes nothing.
        let _ = self.available_slots.set(available);
    }

    /// Sets where the number of requests that may run on an upstream at once comes from.
    pub fn set_total_slots(&self, slots: SlotCounter) {
        // Set once at start; a second call changes nothing.
        let _ = self.total_slots.set(slots);
    }

    /// Whether a request must run alone, or is refused because it crashes upstreams.
    pub fn check_poison(&self, fingerprint: Fingerprint) -> Result<bool, Quarantined> {
        let now = self.core.clock.now();
        match self.lock().poison.treatment(now, fingerprint) {
            Treatment::Normal => Ok(false),
            Treatment::Solo => Ok(true),
            Treatment::Refuse(quarantined) => Err(quarantined),
        }
    }

    /// The upstreams that have crashed under a request; it is not sent there again.
    pub fn crashed_on(&self, fingerprint: Fingerprint) -> Vec<UpstreamName> {
        self.lock().poison.crashed_on(fingerprint)
    }

    /// Chooses where a model request runs, by the configuration in force now.
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

    /// Chooses where a request to a plain service runs.
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

    /// A request is about to be dispatched as chosen.
    pub fn started(&self, choice: &Choice, fingerprint: Fingerprint) {
        let now = self.core.clock.now();
        let has_updates = self.lock().started(now, choice, fingerprint);
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// A dispatched request has ended.
    pub fn finished(&self, choice: &Choice, outcome: Outcome) {
        let now = self.core.clock.now();
        let has_updates = self.lock().finished(now, choice, outcome);
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// An upstream has crashed; what still runs there is suspect from now on.
    pub fn crashed(&self, upstream: &str) {
        let now = self.core.clock.now();
        let has_updates = self.lock().crashed(now, &upstream.into());
        if has_updates {
            self.outbox_ready.notify_one();
        }
    }

    /// Whether a failed request may be tried again.
    pub fn try_retry(&self) -> bool {
        self.lock().retries.try_take()
    }

    /// Whether a slow request may be sent to a second upstream as well.
    pub fn try_hedge(&self) -> bool {
        self.lock().hedges.try_take()
    }

    /// Whether a whole answer is delivered, given its rating if there is one.
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
            // Without a rating the estimate by which the version was chosen stands.
            None => DeliveryDecision::Deliver,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How long background work waits between two looks at the state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
