//! The subsets of upstreams that one daemon uses, by version and by plain service.

use std::{collections::HashMap, sync::Arc};

use crate::{
    coordination::{
        hash::hash_pair,
        membership::DaemonName,
        routing::{
            SubsetSize,
            replicas::{Proximity, ReplicaIndex, Replicas},
            subset,
        },
    },
    state::{
        objects::{DomainName, ServiceName, UpstreamName, VersionName},
        snapshot::{Generation, Snapshot},
    },
};

/// The daemon for which pools are built, and the upstreams to leave out.
pub(super) struct PoolContext<'a> {
    pub(super) daemon: &'a DaemonName,
    pub(super) failure_domain: &'a DomainName,
    pub(super) leaving: &'a [UpstreamName],
}

/// The subsets of all pools for one configuration and set of members.
#[derive(Debug, Default)]
pub(super) struct Pools {
    generation: Generation,
    members: Arc<[DaemonName]>,
    versions: HashMap<VersionName, Box<[ReplicaIndex]>>,
    services: HashMap<ServiceName, Box<[ReplicaIndex]>>,
}

impl Pools {
    /// Whether the pools were built for this configuration and these members.
    pub(super) fn is_current(&self, snapshot: &Snapshot, members: &Arc<[DaemonName]>) -> bool {
        self.generation == snapshot.generation && self.members == *members
    }

    /// Builds the pools and the state table of their upstreams.
    pub(super) fn build(
        context: &PoolContext<'_>,
        snapshot: &Snapshot,
        members: &Arc<[DaemonName]>,
    ) -> (Self, Replicas) {
        let mut replicas = Replicas::default();
        let mut pools = Self {
            generation: snapshot.generation,
            members: members.clone(),
            ..Self::default()
        };
        for version in snapshot.objects.versions.keys() {
            let names = snapshot.engines_for_version(version);
            let indices = context.build_pool(snapshot, names, members, &mut replicas);
            pools.versions.insert(version.clone(), indices);
        }
        for service in snapshot.objects.services.keys() {
            let names = snapshot.servers_for_service(service);
            let indices = context.build_pool(snapshot, names, members, &mut replicas);
            pools.services.insert(service.clone(), indices);
        }
        (pools, replicas)
    }

    /// Returns the subset of upstreams for a version.
    pub(super) fn version(&self, name: &str) -> &[ReplicaIndex] {
        self.versions.get(name).map_or(&[], |indices| indices)
    }

    /// Returns the subset of upstreams for a plain service, or `None` if it is not configured.
    pub(super) fn service(&self, name: &str) -> Option<&[ReplicaIndex]> {
        self.services.get(name).map(AsRef::as_ref)
    }
}

impl PoolContext<'_> {
    fn build_pool(
        &self,
        snapshot: &Snapshot,
        names: &[UpstreamName],
        members: &[DaemonName],
        replicas: &mut Replicas,
    ) -> Box<[ReplicaIndex]> {
        let serving: Vec<_> = names
            .iter()
            .filter(|name| !self.leaving.contains(name))
            .filter_map(|name| Some((name, &snapshot.in_service(name)?.failure_domain)))
            .collect();
        let size = SubsetSize::of(serving.len(), members.len());
        let chosen = subset(self.daemon, self.failure_domain, serving.into_iter(), size);
        chosen
            .into_iter()
            .map(|(name, domain)| {
                let proximity = Proximity {
                    same_domain: domain == self.failure_domain,
                    own: self.owns(name, members),
                };
                replicas.insert(name, proximity)
            })
            .collect()
    }

    /// Whether this daemon has the highest rendezvous weight of all members for an upstream.
    fn owns(&self, upstream: &str, members: &[DaemonName]) -> bool {
        let own = hash_pair(upstream, self.daemon);
        let weights = members.iter().map(|m| hash_pair(upstream, m));
        weights.max().is_none_or(|highest| own >= highest)
    }
}
