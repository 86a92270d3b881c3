//! The platform's stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use stand_in::{
    instances::{InstanceList, InstancesConfig},
    objects::ObjectStore,
    rating::{RatingConfig, RatingService},
    server::RoleHandle,
    table::Table,
    weights::{WeightStore, WeightsConfig},
};

use crate::{local::LocalError, settings::Platform};

/// Any free port of loopback.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The platform's services, one stand-in each.
pub struct LocalPlatform {
    /// The table service.
    pub table: RoleHandle,
    /// The object store.
    pub objects: RoleHandle,
    /// The instance list.
    pub instances: RoleHandle,
    /// The rating service.
    pub rating: RoleHandle,
    /// The weight store.
    pub weights: RoleHandle,
}

impl LocalPlatform {
    /// Starts all services.
    pub async fn spawn(instances: InstancesConfig) -> Result<Self, LocalError> {
        Ok(Self {
            table: Table::spawn(ANY_PORT).await?,
            objects: ObjectStore::spawn(ANY_PORT).await?,
            instances: InstanceList::spawn(instances, ANY_PORT).await?,
            rating: RatingService::spawn(RatingConfig::default(), ANY_PORT).await?,
            weights: WeightStore::spawn(WeightsConfig::default(), ANY_PORT).await?,
        })
    }

    /// The addresses, as daemons are told them.
    pub fn addresses(&self) -> Platform {
        Platform {
            table: self.table.address,
            objects: self.objects.address,
            instances: self.instances.address,
            rating: Some(self.rating.address),
            weights: Some(self.weights.address),
        }
    }
}
