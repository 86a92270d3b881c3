//! Stand-ins that one run uses.

use stand_in::{
    control::Control,
    instances::InstancesConfig,
    stats::{EngineStats, RoleStats},
};

use crate::{
    local::{
        LocalError,
        platform::LocalPlatform,
        upstreams::{self, LocalUpstreams},
    },
    measure::{objects, scenario::Scenario},
    state::objects::{Objects, Offer},
};

/// Stand-ins for the platform and the upstreams, with the matching configuration.
pub(super) struct Harness {
    pub(super) scenario: Scenario,
    pub(super) platform: LocalPlatform,
    pub(super) upstreams: LocalUpstreams,
    pub(super) objects: Objects,
}

impl Harness {
    pub(super) async fn spawn(scenario: Scenario) -> Result<Self, LocalError> {
        let platform = LocalPlatform::spawn(InstancesConfig::default()).await?;
        let upstreams = upstreams::spawn(objects::upstreams(scenario)).await?;
        let objects = objects::objects(scenario, &upstreams);
        Ok(Self {
            scenario,
            platform,
            upstreams,
            objects,
        })
    }

    /// Sends a control command to the engines of a failure domain, or to all engines.
    pub(super) fn control_engines(&self, domain: Option<&str>, control: &Control) {
        for upstream in self.upstreams.values() {
            let object = &upstream.object;
            let is_selected = domain.is_none_or(|domain| object.failure_domain == domain);
            let is_engine = matches!(object.offer, Offer::Engine { .. });
            if is_selected
                && is_engine
                && let Err(e) = upstream.running.control(control)
            {
                log::warn!("step=measure control={control:?} error={e}");
            }
        }
    }

    /// Returns the cost of all tokens generated so far, in the configuration's units.
    pub(super) fn cost(&self) -> f64 {
        let stats = self.engine_stats();
        let versions = stats.iter().flat_map(|s| &s.versions);
        versions
            .filter_map(|v| Some((v.tokens, self.objects.versions.get(&v.version)?.cost)))
            .map(|(tokens, cost)| tokens as f64 * cost as f64 / 1_000.0)
            .sum()
    }

    /// Returns the statistics of all engines.
    pub(super) fn engine_stats(&self) -> Vec<EngineStats> {
        let stats = self.upstreams.values().map(|u| u.running.stats().role);
        stats
            .filter_map(|role| match role {
                RoleStats::Engine(stats) => Some(stats),
                _ => None,
            })
            .collect()
    }
}
