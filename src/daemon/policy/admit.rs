//! Admission of requests: immediate admission, queueing and refusal.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::{
    coordination::admission::{
        Admit, AdmitRequest, Arrival, QueueAction, RefusalCause, Refused, WaiterId,
    },
    daemon::policy::{
        Policy,
        pools::{PoolName, WaiterSender},
    },
    state::objects::ServiceName,
};

/// `Retry-After` for an unknown customer or pool, which waiting alone does not resolve.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Permission to run one request. Dropping it releases the admission slot.
#[must_use]
pub struct AdmissionGuard {
    policy: Arc<Policy>,
    pool: PoolName,
    admitted: Instant,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let held_for = self.policy.core.clock.now() - self.admitted;
        if let Some(pool) = self.policy.lock().pools.get(&self.pool) {
            pool.admission.release(held_for);
        }
        self.policy.dispatch(&self.pool);
    }
}

/// A queued request. Dropping it cancels the request if it still waits.
struct WaiterGuard<'a> {
    policy: &'a Arc<Policy>,
    pool: &'a PoolName,
    arrival: Arrival,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.policy.lock().pools.get(self.pool)
            && pool.pending.remove(&self.arrival.id).is_some()
        {
            pool.admission.cancel(&self.arrival);
        }
    }
}

/// Admission result for a queued request.
struct WaiterResponse {
    sender: WaiterSender,
    result: Result<AdmissionGuard, Refused>,
}

impl Policy {
    /// Admits a request to the engines, waiting in the queue if needed.
    pub async fn admit(self: &Arc<Self>, req: AdmitRequest) -> Result<AdmissionGuard, Refused> {
        self.admit_to(PoolName::Engines, req).await
    }

    /// Admits a request to a plain service, waiting in the queue if needed.
    pub async fn admit_service(
        self: &Arc<Self>,
        service: ServiceName,
        req: AdmitRequest,
    ) -> Result<AdmissionGuard, Refused> {
        self.admit_to(PoolName::Service(service), req).await
    }

    async fn admit_to(
        self: &Arc<Self>,
        pool: PoolName,
        req: AdmitRequest,
    ) -> Result<AdmissionGuard, Refused> {
        let (arrival, rx) = match self.arrive(&pool, &req)? {
            ArrivalResult::Admitted(guard) => return Ok(guard),
            ArrivalResult::Queued(arrival, rx) => (arrival, rx),
        };
        let _waiter_guard = WaiterGuard {
            policy: self,
            pool: &pool,
            arrival,
        };
        rx.await.unwrap_or(Err(REFUSED_UNKNOWN))
    }

    fn arrive(
        self: &Arc<Self>,
        pool: &PoolName,
        req: &AdmitRequest,
    ) -> Result<ArrivalResult, Refused> {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let customer = snapshot.objects.customers.get(&req.customer);
        let customer = customer.ok_or(REFUSED_UNKNOWN)?;
        let mut state = self.lock();
        state.refresh(now, &self.core, &snapshot);
        let arrival = Arrival {
            id: state.pools.next_waiter_id(),
            customer: req.customer.clone(),
            weight: customer.weight,
            queue: customer.queue,
            priority: req.priority,
            deadline: req.deadline,
        };
        let entry = state.pools.get(pool).ok_or(REFUSED_UNKNOWN)?;
        entry.admission.set_max_running(entry.limit.max_running());
        match entry.admission.arrive(now, &arrival) {
            Admit::Now => Ok(ArrivalResult::Admitted(self.admission_guard(pool, now))),
            Admit::Refused(refused) => Err(refused),
            Admit::Queued => {
                let (tx, rx) = oneshot::channel();
                entry.pending.insert(arrival.id, tx);
                Ok(ArrivalResult::Queued(arrival, rx))
            }
        }
    }

    /// Admits queued requests while the pool has free slots, and refuses those that would be late.
    pub(super) fn dispatch(self: &Arc<Self>, name: &PoolName) {
        let now = self.core.clock.now();
        let actions = {
            let mut state = self.lock();
            let Some(pool) = state.pools.get(name) else {
                return;
            };
            pool.admission.set_max_running(pool.limit.max_running());
            let actions = pool.admission.dispatch(now);
            let take_waiter = |action| Some((pool.pending.remove(&waiter_id(&action))?, action));
            actions
                .into_iter()
                .filter_map(take_waiter)
                .collect::<Vec<_>>()
        };
        for (sender, action) in actions {
            let result = match action {
                QueueAction::Run(_) => Ok(self.admission_guard(name, now)),
                QueueAction::Refuse(_, refused) => Err(refused),
            };
            WaiterResponse { sender, result }.deliver();
        }
    }

    fn admission_guard(self: &Arc<Self>, pool: &PoolName, admitted: Instant) -> AdmissionGuard {
        AdmissionGuard {
            policy: self.clone(),
            pool: pool.clone(),
            admitted,
        }
    }
}

impl WaiterResponse {
    /// Sends the result. If the request was cancelled, the guard is dropped, which frees its slot.
    fn deliver(self) {
        drop(self.sender.send(self.result));
    }
}

enum ArrivalResult {
    Admitted(AdmissionGuard),
    Queued(Arrival, oneshot::Receiver<Result<AdmissionGuard, Refused>>),
}

const REFUSED_UNKNOWN: Refused = Refused {
    cause: RefusalCause::Unknown,
    retry_after: RETRY_AFTER,
};

fn waiter_id(action: &QueueAction) -> WaiterId {
    match action {
        QueueAction::Run(id) | QueueAction::Refuse(id, _) => *id,
    }
}
