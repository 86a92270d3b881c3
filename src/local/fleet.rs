//! Daemons of a local fleet.

use std::{net::TcpListener, sync::Arc, time::Duration};

use compact_str::CompactString;
use platform_api::instances::{Instance, InstanceState, Role};
use stand_in::control::Control;
use tokio::time::{Instant, sleep};

use crate::{
    clock::SystemClock,
    coordination::configuration::{edit::Edit, outcome::PublishRequest},
    daemon::Daemon,
    local::{
        LocalError,
        platform::{ANY_PORT, LocalPlatform},
    },
    settings::{Platform, Settings},
    state::{credentials::hash_key, objects::DomainName, snapshot::Generation},
};

/// The key that the daemons of a local fleet share.
const FLEET_KEY: &str = "2d6f63616c20666c65657420666f72206465";
/// The key with which a local operator may publish the first configuration.
pub const OPERATOR_KEY: &str = "local-operator";
/// How often a condition is looked at again.
const POLL: Duration = Duration::from_millis(20);

/// Where a daemon of a local fleet runs.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: CompactString,
    /// Its failure domain.
    pub failure_domain: DomainName,
}

/// Settings of a daemon on free ports of loopback.
pub fn settings(
    place: Place,
    platform: Platform,
    keep_seconds: u64,
) -> Result<Settings, LocalError> {
    // All are bound before any is released, so that they differ.
    let listeners = [
        TcpListener::bind(ANY_PORT)?,
        TcpListener::bind(ANY_PORT)?,
        TcpListener::bind(ANY_PORT)?,
    ];
    Ok(Settings {
        name: place.name,
        failure_domain: place.failure_domain,
        callers: listeners[0].local_addr()?,
        peers: listeners[1].local_addr()?,
        operators: listeners[2].local_addr()?,
        platform,
        fleet_key: FLEET_KEY.into(),
        keep_seconds,
        bootstrap_operator: Some(hash_key(OPERATOR_KEY)),
    })
}

/// Puts the daemons on the platform's instance list.
pub fn list_daemons(platform: &LocalPlatform, settings: &[Settings]) -> Result<(), LocalError> {
    let instances = settings.iter().map(|s| Instance {
        name: s.name.clone(),
        role: Role::Entry,
        failure_domain: s.failure_domain.clone(),
        address: s.peers,
        state: InstanceState::Live,
    });
    let control = Control::SetInstances {
        instances: instances.collect(),
    };
    Ok(platform.instances.control(&control)?)
}

/// Starts a daemon for each of the settings.
pub async fn spawn(settings: Vec<Settings>) -> Result<Vec<Daemon>, LocalError> {
    let mut daemons = Vec::with_capacity(settings.len());
    for settings in settings {
        daemons.push(Daemon::spawn(settings, Arc::new(SystemClock)).await?);
    }
    Ok(daemons)
}

/// Waits until every daemon knows all others.
pub async fn wait_for_members(daemons: &[Daemon], limit: Duration) -> Result<(), LocalError> {
    wait(limit, "the daemons to meet", || {
        daemons
            .iter()
            .all(|d| d.components().core.reachable_peers().len() + 1 == daemons.len())
    })
    .await
}

/// Waits until a generation is in force on every daemon.
pub async fn wait_for_generation(
    daemons: &[Daemon],
    generation: Generation,
    limit: Duration,
) -> Result<(), LocalError> {
    wait(limit, "the generation to be in force", || {
        daemons
            .iter()
            .all(|d| d.components().core.snapshot().generation >= generation)
    })
    .await
}

/// Waits until a condition holds.
pub async fn wait(
    limit: Duration,
    what: &str,
    condition: impl Fn() -> bool,
) -> Result<(), LocalError> {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return Err(LocalError::Late(what.into()));
        }
        sleep(POLL).await;
    }
    Ok(())
}

/// Publishes an edit through one daemon and returns the generation in which it is.
pub async fn publish(daemon: &Daemon, edit: Edit) -> Result<Generation, LocalError> {
    let components = daemon.components();
    let request = PublishRequest {
        id: components.generate_request_id(),
        operator: "local".into(),
        edit,
        base: None,
        dry_run: false,
    };
    let report = components.configuration.publish(request).await;
    report
        .outcome
        .generation()
        .ok_or_else(|| LocalError::Answer(format!("{:?}", report.outcome)))
}
