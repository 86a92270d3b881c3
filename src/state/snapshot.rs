//! Immutable, indexed snapshots of a published and validated configuration.

use std::collections::HashMap;

use crate::state::objects::{
    Customer, CustomerName, KeyHash, Objects, Offer, ServiceName, ServiceState, Upstream,
    UpstreamName, VersionName,
};

/// The number of a published configuration; it only increases, and 0 means none.
pub type Generation = u64;

/// A published configuration with the indexes used for routing.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The generation number.
    pub generation: Generation,
    /// The objects.
    pub objects: Objects,
    customers_by_key: HashMap<KeyHash, CustomerName>,
    upstreams_by_version: HashMap<VersionName, Vec<UpstreamName>>,
    upstreams_by_service: HashMap<ServiceName, Vec<UpstreamName>>,
}

impl Snapshot {
    /// Creates a snapshot of `objects`, which must already be validated.
    pub fn new(generation: Generation, objects: Objects) -> Self {
        let mut snapshot = Self {
            generation,
            ..Self::default()
        };
        for (name, customer) in &objects.customers {
            for key in &customer.keys {
                snapshot.customers_by_key.insert(key.clone(), name.clone());
            }
        }
        for (name, upstream) in &objects.upstreams {
            match &upstream.offer {
                Offer::Engine { versions, .. } => {
                    for version in versions {
                        let names = &mut snapshot.upstreams_by_version;
                        names.entry(version.clone()).or_default().push(name.clone());
                    }
                }
                Offer::Service { service, .. } => {
                    let names = &mut snapshot.upstreams_by_service;
                    names.entry(service.clone()).or_default().push(name.clone());
                }
            }
        }
        snapshot.objects = objects;
        snapshot
    }

    /// Returns the customer that owns the key with this hash.
    pub fn customer_by_key(&self, hash: &str) -> Option<(&CustomerName, &Customer)> {
        let name = self.customers_by_key.get(hash)?;
        self.objects.customers.get_key_value(name)
    }

    /// Returns the upstreams that may run `version`, in name order, whether or not they are in
    /// service.
    pub fn engines_for_version(&self, version: &str) -> &[UpstreamName] {
        self.upstreams_by_version
            .get(version)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the upstreams of a plain service, in name order, whether or not they are in service.
    pub fn servers_for_service(&self, service: &str) -> &[UpstreamName] {
        self.upstreams_by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the upstream if both it and its failure domain are in service.
    pub fn in_service(&self, upstream: &str) -> Option<&Upstream> {
        let upstream = self.objects.upstreams.get(upstream)?;
        let domain = self.objects.failure_domains.get(&upstream.failure_domain)?;
        let available = upstream.state == ServiceState::In && domain.state == ServiceState::In;
        available.then_some(upstream)
    }
}
