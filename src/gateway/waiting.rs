//! Lets requests wait until an upstream has room, and wakes them.
//!
//! The order and the decisions are those of
//! [`dispatch::waiting`](crate::coordination::dispatch::waiting); here are the tasks that wait. A request
//! is woken when it is its turn and something has changed: this daemon released a slot, a heartbeat
//! arrived, or an upstream joined. If its caller disconnects, its task is dropped and its place is free.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use platform::ServiceName;
use tokio::sync::Notify;

use crate::{
    coordination::{
        admission::WaiterId,
        dispatch::{
            Placement,
            waiting::{AdmissionRequest, Admitted, Rejection, WaitState},
        },
    },
    gateway::{drain::Leaving, forward::Exchange, metrics, reply::RefusalReason, shared::Shared},
};

/// Maximum time between two tries of a waiting request. Changes that wake no request, such as the end of
/// an upstream's pause, are noticed after this time.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two tries that heartbeats cause.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// The tasks of waiting requests.
#[derive(Debug, Default)]
pub struct Waiters {
    tasks: Mutex<HashMap<WaiterId, Arc<Notify>>>,
    woken_at: Mutex<Option<Instant>>,
}

impl Waiters {
    fn tasks(&self) -> MutexGuard<'_, HashMap<WaiterId, Arc<Notify>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, id: Option<WaiterId>) {
        if let Some(task) = id.and_then(|id| self.tasks().get(&id).cloned()) {
            task.notify_one();
        }
    }

    /// Returns whether enough time has passed since heartbeats woke requests.
    fn may_wake(&self, now: Instant) -> bool {
        let mut woken_at = self.woken_at.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_WAKE_INTERVAL;
        if woken_at.is_some_and(is_recent) {
            return false;
        }
        *woken_at = Some(now);
        true
    }
}

/// Wakes the request that is next, after a slot of the service was released.
pub fn wake(shared: &Shared, service: &str) {
    let next = shared.dispatcher().wake_waiting(service, shared.now());
    shared.waiters.notify(next);
}

/// Wakes the next request of each service, after the upstreams or what is known of them have changed.
pub fn wake_all(shared: &Shared) {
    if shared.waiters.tasks().is_empty() || !shared.waiters.may_wake(shared.now()) {
        return;
    }
    let services = shared.dispatcher().services_with_waiting();
    for service in services {
        wake(shared, &service);
    }
}

/// The place of a waiting request, which is free when this is dropped.
struct Ticket {
    shared: Arc<Shared>,
    service: ServiceName,
    id: WaiterId,
    task: Arc<Notify>,
}

impl Ticket {
    fn new(shared: &Arc<Shared>, service: &ServiceName, id: WaiterId) -> Self {
        let task = Arc::new(Notify::new());
        shared.waiters.tasks().insert(id, task.clone());
        Self {
            shared: shared.clone(),
            service: service.clone(),
            id,
            task,
        }
    }

    /// Wakes the request that is next, if that is another one.
    fn wake_next(&self) {
        let next = self
            .shared
            .dispatcher()
            .next_waiting(&self.service, self.shared.now());
        self.shared.waiters.notify(next.filter(|id| *id != self.id));
    }

    /// Waits until the request is woken or has to be looked at; returns whether it was woken.
    async fn wait(&self) -> bool {
        let now = self.shared.now();
        let latest = self
            .shared
            .dispatcher()
            .latest_start(&self.service, self.id);
        let left = latest.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        // Only after its latest start does a request count as late.
        let pause = (left + Duration::from_millis(1)).min(RETRY_INTERVAL);
        tokio::select! {
            () = self.task.notified() => true,
            () = tokio::time::sleep(pause) => false,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.shared.waiters.tasks().remove(&self.id);
        self.shared
            .dispatcher()
            .cancel_waiting(&self.service, self.id);
        self.wake_next();
    }
}

impl Exchange {
    /// Places the request; while the upstreams are full, it waits for its turn.
    pub(super) async fn place(&mut self) -> Result<Placement, (RefusalReason, Option<Duration>)> {
        let now = self.shared.now();
        let admitted = self
            .shared
            .dispatcher()
            .admit(&self.admission_request(), now);
        let (id, state) = match admitted {
            Admitted::Placed(placement) => return Ok(placement),
            Admitted::Rejected(rejection) => return Err(self.reject(rejection)),
            Admitted::Waiting(id, state) => (id, state),
        };
        self.log_waiting(&state);
        let ticket = Ticket::new(&self.shared, &self.call.service, id);
        // A slot may have been released before the task was known.
        ticket.task.notify_one();
        loop {
            let was_woken = ticket.wait().await;
            let now = self.shared.now();
            if let Some(leaving) = self.leaving_while_waiting(now) {
                log::info!("event=waiting_ended id={} why=leaving", self.call.id());
                return Err((RefusalReason::Leaving, Some(leaving.retry_after)));
            }
            let admitted =
                self.shared
                    .dispatcher()
                    .place_waiting(id, &self.admission_request(), now);
            match admitted {
                Admitted::Placed(placement) => return Ok(placement),
                Admitted::Rejected(rejection) => return Err(self.reject(rejection)),
                Admitted::Waiting(..) if was_woken => ticket.wake_next(),
                Admitted::Waiting(..) => {}
            }
        }
    }

    fn admission_request(&self) -> AdmissionRequest<'_> {
        AdmissionRequest {
            placement: self.placement_request(self.model.as_ref()),
            customer: self.call.customer.as_deref().unwrap_or_default(),
            priority: self.call.priority,
            sent_before: self.attempts > 0,
            has_run: self.evidence.may_have_run(),
        }
    }

    /// Returns whether the request must not wait any longer because the process shuts down: it can no longer be
    /// served in time, or may be cut and must not be repeated.
    fn leaving_while_waiting(&self, now: Instant) -> Option<Leaving> {
        let left = self.shared.drain.time_left(now);
        if let Some(left) = left.filter(|left| *left < RETRY_INTERVAL * 2) {
            return Some(Leaving { retry_after: left });
        }
        self.leaving(now)
            .filter(|_| !self.call.route.is_retryable())
    }

    fn log_waiting(&self, state: &WaitState) {
        log::info!(
            "event=waiting id={} route={} priority={} {state}",
            self.call.id(),
            self.call.route.name,
            self.call.priority
        );
        metrics::wait(self.call.priority);
    }

    fn reject(&mut self, rejection: Rejection) -> (RefusalReason, Option<Duration>) {
        log::info!(
            "event=no_place id={} why={}",
            self.call.id(),
            rejection.cause
        );
        metrics::rejection(self.call.priority);
        self.rejection = Some(rejection);
        (RefusalReason::NoSlot, Some(rejection.retry_after))
    }
}
