//! Runs the membership protocol: gossip socket, timers and polling of the instance list.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, UNIX_EPOCH},
};

use platform_api::instances::{Instance, InstanceState, Role};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    coordination::membership::{Member, Outgoing, QuorumStatus, Record, Seed, swim::Swim},
    daemon::core::Core,
    state::objects::UpstreamName,
    supervise::Supervisor,
    transport::{gossip::GossipSocket, instances::InstancesClient},
};

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between reads of the instance list.
const MIN_INSTANCE_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum reads of the instance list per second over the whole fleet.
const MAX_FLEET_INSTANCE_READS_PER_SECOND: u32 = 4;

/// Membership protocol of a running daemon.
pub struct Membership {
    core: Arc<Core>,
    swim: Mutex<Swim>,
    socket: GossipSocket,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Membership {
    /// Binds the socket and starts discovering the other members.
    pub async fn spawn(core: Arc<Core>) -> io::Result<Arc<Self>> {
        let settings = &core.settings;
        let socket = GossipSocket::bind(settings.peers, &settings.fleet_key).await?;
        let swim = Swim::new(core.clock.now(), own_record(&core), rand::random());
        let this = Arc::new(Self {
            core,
            swim: Mutex::new(swim),
            socket,
            tasks: Mutex::default(),
        });
        let supervisor = Supervisor::new(&this.core.clock);
        let tasks = vec![
            supervisor.spawn("membership", this.clone(), Self::run),
            supervisor.spawn("poll_instances", this.clone(), Self::poll_instances),
        ];
        *this.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
        Ok(this)
    }

    /// Announces that this daemon accepts no new callers.
    pub async fn leave(&self) {
        let messages = self.swim().leave(self.core.clock.now());
        self.publish();
        self.send(&messages).await;
    }

    /// Announces that this daemon is about to exit, and stops all tasks.
    pub async fn depart(&self) {
        let messages = self.swim().depart(self.core.clock.now());
        self.send(&messages).await;
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// Returns when a message from another daemon was last received.
    pub fn last_contact(&self) -> Option<Instant> {
        self.swim().last_contact()
    }

    /// Returns this daemon's connectivity to the fleet.
    pub fn quorum_status(&self) -> QuorumStatus {
        self.swim().quorum_status(self.core.clock.now())
    }

    /// Whether a later incarnation of the same name has replaced this daemon.
    pub fn superseded(&self) -> bool {
        self.swim().superseded()
    }

    async fn run(self: Arc<Self>) {
        let mut snapshot = self.core.snapshot.subscribe();
        loop {
            let wakeup = self.swim().next_wakeup();
            let wait = wakeup.saturating_duration_since(self.core.clock.now());
            let messages = tokio::select! {
                received = self.socket.recv() => match received {
                    Ok((src, message)) => {
                        self.swim().handle_message(self.core.clock.now(), src, &message)
                    }
                    Err(e) => {
                        log::warn!("failed to receive a gossip message: {e}");
                        sleep(RECEIVE_RETRY_DELAY).await;
                        continue;
                    }
                },
                () = sleep(wait) => self.swim().tick(self.core.clock.now()),
                Ok(()) = snapshot.changed() => {
                    let generation = snapshot.borrow_and_update().generation;
                    self.swim().set_generation(generation);
                    Vec::new()
                }
            };
            self.publish();
            self.send(&messages).await;
        }
    }

    async fn poll_instances(self: Arc<Self>) {
        let list = InstancesClient::new(self.core.settings.platform.instances);
        loop {
            match list.read().await {
                Ok(instances) => {
                    self.update_leaving_upstreams(&instances);
                    self.swim().set_seeds(seeds(instances));
                }
                Err(e) => log::warn!("{e}"),
            }
            let members = u32::try_from(self.core.members().len()).unwrap_or(u32::MAX);
            let fair_interval =
                Duration::from_secs(1) * members / MAX_FLEET_INSTANCE_READS_PER_SECOND;
            sleep(fair_interval.max(MIN_INSTANCE_POLL_INTERVAL)).await;
        }
    }

    /// Publishes the set of leaving upstreams if it has changed.
    fn update_leaving_upstreams(&self, instances: &[Instance]) {
        let mut leaving: Vec<UpstreamName> = instances
            .iter()
            .filter(|i| i.role == Role::Upstream && i.state == InstanceState::Leaving)
            .map(|i| i.name.clone())
            .collect();
        leaving.sort();
        let known = self.core.leaving_upstreams();
        if *known == *leaving {
            return;
        }
        log::info!("step=instances leaving={}", leaving.join(","));
        self.core.leaving_upstreams.send_replace(leaving.into());
    }

    /// Publishes the members if they have changed, and logs each change of state or incarnation.
    fn publish(&self) {
        let members = {
            let mut swim = self.swim();
            if !swim.take_changed() {
                return;
            }
            swim.members()
        };
        let previous_members = self.core.members();
        for member in &members {
            let known = previous_members.iter().find(|m| m.name == member.name);
            if known.is_none_or(|k| k.state != member.state || k.incarnation != member.incarnation)
            {
                log_member_change(member);
            }
        }
        self.core.members.send_replace(members.into());
    }

    async fn send(&self, messages: &[Outgoing]) {
        for outgoing in messages {
            self.socket.send(outgoing).await;
        }
    }

    fn swim(&self) -> MutexGuard<'_, Swim> {
        self.swim.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_member_change(member: &Member) {
    log::info!(
        "step=membership peer={} incarnation={:x} failure_domain={} state={}",
        member.name,
        member.incarnation,
        member.failure_domain,
        member.state,
    );
}

fn own_record(core: &Core) -> Record {
    let settings = &core.settings;
    let since_epoch = core.clock.wall().duration_since(UNIX_EPOCH);
    let started_ms = since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let member = core
        .members()
        .iter()
        .find(|m| m.name == settings.name)
        .cloned();
    Record {
        member: member.expect("the initial member list contains this daemon"),
        started_ms,
        revision: 0,
    }
}

fn seeds(instances: Vec<Instance>) -> Vec<Seed> {
    instances
        .into_iter()
        .filter(|i| i.role == Role::Entry)
        .map(|i| Seed {
            name: i.name,
            peers: i.address,
        })
        .collect()
}
