//! Pools with separate admission: one for all engines and one for each plain service.

use std::collections::{BTreeMap, HashMap};

use tokio::sync::oneshot;

use crate::{
    coordination::{
        admission::{Admission, Limit, Refused, WaiterId, engine_capacity, service_capacity},
        routing::{Choice, Reason},
    },
    daemon::policy::admit::AdmissionGuard,
    state::{objects::ServiceName, snapshot::Snapshot},
};

/// Identifies a pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PoolName {
    /// All model engines.
    Engines,
    /// One plain service.
    Service(ServiceName),
}

impl PoolName {
    pub(super) fn for_choice(choice: &Choice) -> Self {
        if choice.reason == Reason::Service {
            return Self::Service(choice.version.clone());
        }
        Self::Engines
    }
}

/// Sends the admission result to a queued request.
pub(super) type WaiterSender = oneshot::Sender<Result<AdmissionGuard, Refused>>;

/// Admission queue and concurrency limit of one pool.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) admission: Admission,
    pub(super) limit: Limit,
    pub(super) pending: HashMap<WaiterId, WaiterSender>,
}

/// All pools of a daemon.
#[derive(Default)]
pub(super) struct Pools {
    pools: BTreeMap<PoolName, Pool>,
    last_waiter_id: WaiterId,
}

impl Pools {
    /// Updates pools and capacities from the configuration and the number of daemons.
    pub(super) fn refresh(&mut self, snapshot: &Snapshot, daemons: usize) {
        let services = &snapshot.objects.services;
        self.pools.retain(|name, pool| match name {
            PoolName::Engines => true,
            PoolName::Service(service) => {
                services.contains_key(service) || pool.admission.running() > 0
            }
        });
        let engines = self.pools.entry(PoolName::Engines).or_default();
        engines
            .limit
            .set_capacity(engine_capacity(snapshot), daemons);
        for service in services.keys() {
            let name = PoolName::Service(service.clone());
            let pool = self.pools.entry(name).or_default();
            let capacity = service_capacity(snapshot, service);
            pool.limit.set_capacity(capacity, daemons);
        }
    }

    pub(super) fn get(&mut self, name: &PoolName) -> Option<&mut Pool> {
        self.pools.get_mut(name)
    }

    pub(super) fn names(&self) -> Vec<PoolName> {
        self.pools.keys().cloned().collect()
    }

    pub(super) fn next_waiter_id(&mut self) -> WaiterId {
        self.last_waiter_id += 1;
        self.last_waiter_id
    }
}
