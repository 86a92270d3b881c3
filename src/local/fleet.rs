//! Starts and controls the daemons of a local fleet.

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

/// Key shared by the daemons of a local fleet.
const FLEET_KEY: &str = "2d6f63616c20666c65657420666f72206465";
/// Operator key for publishing the initial configuration.
pub const OPERATOR_KEY: &str = "local-operator";
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Name and failure domain of a daemon in a local fleet.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    /// The name of the daemon.
    pub name: CompactString,
    /// The failure domain of the daemon.
    pub failure_domain: DomainName,
}

/// Returns the settings of a daemon on free loopback ports.
pub fn settings(
    identity: DaemonIdentity,
    platform: Platform,
    keep_seconds: u64,
) -> Result<Settings, LocalError> {
    // All ports are bound before any is released, so that they differ.
    let listeners = [
        TcpListener::bind(ANY_PORT)?,
        TcpListener::bind(ANY_PORT)?,
        TcpListener::bind(ANY_PORT)?,
    ];
    Ok(Settings {
        name: identity.name,
        failure_domain: identity.failure_domain,
        callers: listeners[0].local_addr()?,
        peers: listeners[1].local_addr()?,
        operators: listeners[2].local_addr()?,
        platform,
        fleet_key: FLEET_KEY.into(),
        keep_seconds,
        memory_mb: None,
        max_open_files: None,
        bootstrap_operator: Some(hash_key(OPERATOR_KEY)),
    })
}

/// Adds the daemons to the platform's instance list.
pub fn register_daemons(platform: &LocalPlatform, settings: &[Settings]) -> Result<(), LocalError> {
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

/// Starts one daemon for each `Settings`.
pub async fn spawn(settings: Vec<Settings>) -> Result<Vec<Daemon>, LocalError> {
    let mut daemons = Vec::with_capacity(settings.len());
    for settings in settings {
        daemons.push(Daemon::spawn(settings, Arc::new(SystemClock)).await?);
    }
    Ok(daemons)
}

/// Waits until every daemon can reach all others.
pub async fn wait_for_members(daemons: &[Daemon], timeout: Duration) -> Result<(), LocalError> {
    wait_until(timeout, "the daemons to discover each other", || {
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
    timeout: Duration,
) -> Result<(), LocalError> {
    wait_until(timeout, "the generation to be in force", || {
        daemons
            .iter()
            .all(|d| d.components().core.snapshot().generation >= generation)
    })
    .await
}

/// Waits until a condition holds.
pub async fn wait_until(
    timeout: Duration,
    description: &str,
    condition: impl Fn() -> bool,
) -> Result<(), LocalError> {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(LocalError::Timeout(description.into()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Publishes an edit through one daemon and returns the resulting generation.
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
        .ok_or_else(|| LocalError::Response(format!("{:?}", report.outcome)))
}
