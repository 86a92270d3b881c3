//! Applies operators' orders.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;
use platform::{
    DomainName, RowVersion, ServiceName, VersionName,
    orders::{Order, RolloutOrder},
};

use crate::coordination::dispatch::{
    Dispatcher, rollout::Rollout, routes::Routes, sticky_sessions::Finder,
};

/// Effect of a row in the operators' table.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Applied {
    /// A new configuration is in force.
    #[display("configuration generation={_0}")]
    Configured(u64),
    /// A rollout was ordered.
    #[display("rollout_ordered service={_0} target={_1}")]
    RolloutOrdered(ServiceName, VersionName),
    /// A rollout was withdrawn.
    #[display("rollout_withdrawn service={_0}")]
    RolloutWithdrawn(ServiceName),
    /// A failure domain gets no more work.
    #[display("evacuated domain={_0}")]
    Evacuated(DomainName),
    /// A failure domain may get work again.
    #[display("restored domain={_0}")]
    Restored(DomainName),
    /// No effect.
    #[display("unknown_row")]
    Nothing,
}

impl Dispatcher {
    /// Applies an order; an older configuration never replaces a newer one.
    pub fn apply(&mut self, order: Order, version: RowVersion, now: Instant) -> Applied {
        match order {
            Order::Configure(configuration) => {
                let generation = configuration.generation;
                let current = self.routes.as_ref().map(|r| r.configuration().generation);
                if current.is_some_and(|current| current >= generation) {
                    return Applied::Nothing;
                }
                self.routes = Some(Arc::new(Routes::new(configuration)));
                Applied::Configured(generation)
            }
            Order::Rollout(order) => self.order_rollout(order, version, now),
            Order::RolloutWithdrawn(service) => Applied::RolloutWithdrawn(service),
            Order::Evacuate(domain) => {
                if !self.evacuated.insert(domain.clone()) {
                    return Applied::Nothing;
                }
                Applied::Evacuated(domain)
            }
            Order::Restore(domain) => self.restore(domain, now),
            Order::Unknown => Applied::Nothing,
        }
    }

    /// Replaces the evacuated failure domains with those of a full read.
    pub fn replace_evacuations(&mut self, listed: &BTreeSet<DomainName>, now: Instant) {
        let ended: Vec<DomainName> = self.evacuated.difference(listed).cloned().collect();
        for domain in ended {
            self.restore(domain, now);
        }
    }

    pub(super) fn order_rollout(
        &mut self,
        order: RolloutOrder,
        version: RowVersion,
        now: Instant,
    ) -> Applied {
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            if known.order() >= version {
                return Applied::Nothing;
            }
            if known.is_continued_by(&order, version) {
                known.order_written_again(version);
                self.apply_early_status(&order.service);
                return Applied::Nothing;
            }
        }
        let applied = Applied::RolloutOrdered(order.service.clone(), order.target.clone());
        let service = order.service.clone();
        let mut rollout = Rollout::new(version, order, self.limits.exposure, now);
        let recent = self.sessions.recent(now, self.limits.session_timeout);
        rollout.add_sticky_sessions(recent, Finder::Own, now);
        self.rollouts.insert(service.clone(), rollout);
        self.apply_early_status(&service);
        applied
    }

    /// Applies what was known of a rollout before its order was read.
    fn apply_early_status(&mut self, service: &str) {
        if let Some(early) = self.early_statuses.remove(service)
            && let Some(rollout) = self.rollouts.get_mut(service)
        {
            early.apply(rollout);
        }
    }

    pub(super) fn restore(&mut self, domain: DomainName, now: Instant) -> Applied {
        if !self.evacuated.remove(&domain) {
            return Applied::Nothing;
        }
        // Its upstreams may have restarted undetected while they got no work.
        let cold_times: HashMap<ServiceName, Duration> = self.cold_times();
        for upstream in self.registry.all_mut().filter(|u| u.domain == domain) {
            if let Some(cold) = cold_times.get(&upstream.service) {
                upstream.mark_cold_until(now + *cold);
            }
        }
        Applied::Restored(domain)
    }

    pub(super) fn cold_times(&self) -> HashMap<ServiceName, Duration> {
        let services = self.routes.iter().flat_map(|r| &r.configuration().services);
        services
            .filter(|service| service.cold_rate > 0.0)
            .map(|service| (service.name.clone(), service.cold_time))
            .collect()
    }

    pub(super) fn cold_time(&self, service: &str) -> Option<Duration> {
        let service = self.routes.as_ref()?.service(service)?;
        (service.cold_rate > 0.0).then_some(service.cold_time)
    }
}
