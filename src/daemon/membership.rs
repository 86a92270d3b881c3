//! Drives membership: the socket, the timer and the instance list.

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
    transport::{gossip::GossipSocket, instances::InstancesClient},
};

/// The pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// How often a small fleet reads the instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(2);
/// How often the whole fleet may read the instance list each second.
const INSTANCES_READS_PER_SECOND: u32 = 4;

/// The running membership of one daemon.
pub struct Membership {
    core: Arc<Core>,
    swim: Mutex<Swim>,
    socket: GossipSocket,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Membership {
    /// Binds the socket and begins to look for the others.
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
        let tasks = vec![
            tokio::spawn(this.clone().run()),
            tokio::spawn(this.clone().follow_instances()),
        ];
        *this.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
        Ok(this)
    }

    /// Tells the others that this daemon takes no new callers.
    pub async fn leave(&self) {
        let out = self.swim().leave(self.core.clock.now());
        self.publish();
        self.send(&out).await;
    }

    /// Tells the others that this daemon is about to exit, and stops.
    pub async fn depart(&self) {
        let out = self.swim().depart(self.core.clock.now());
        self.send(&out).await;
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// When another daemon was last heard from.
    pub fn last_contact(&self) -> Option<Instant> {
        self.swim().last_contact()
    }

    /// How this daemon stands in the fleet.
    pub fn standing(&self) -> QuorumStatus {
        self.swim().quorum_status(self.core.clock.now())
    }

    /// Whether a later start of the same name has taken this daemon's place.
    pub fn superseded(&self) -> bool {
        self.swim().superseded()
    }

    async fn run(self: Arc<Self>) {
        let mut snapshot = self.core.snapshot.subscribe();
        loop {
            let wakeup = self.swim().next_wakeup();
            let wait = wakeup.saturating_duration_since(self.core.clock.now());
            let out = tokio::select! {
                received = self.socket.recv() => match received {
                    Ok((src, message)) => {
                        self.swim().handle_message(self.core.clock.now(), src, &message)
                    }
                    Err(e) => {
                        log::warn!("gossip receive failed: {e}");
                        sleep(RECEIVE_PAUSE).await;
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
            self.send(&out).await;
        }
    }

    async fn follow_instances(self: Arc<Self>) {
        let list = InstancesClient::new(self.core.settings.platform.instances);
        loop {
            match list.read().await {
                Ok(instances) => {
                    self.note_leaving(&instances);
                    self.swim().set_seeds(seeds(instances));
                }
                Err(e) => log::warn!("{e}"),
            }
            let members = u32::try_from(self.core.members().len()).unwrap_or(u32::MAX);
            let share = Duration::from_secs(1) * members / INSTANCES_READS_PER_SECOND;
            sleep(share.max(INSTANCES_INTERVAL)).await;
        }
    }

    /// Publishes the upstreams that are leaving, if they have changed.
    fn note_leaving(&self, instances: &[Instance]) {
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

    /// Publishes the members if they have changed, and logs each change.
    fn publish(&self) {
        let members = {
            let mut swim = self.swim();
            if !swim.take_changed() {
                return;
            }
            swim.members()
        };
        let before = self.core.members();
        for member in &members {
            let known = before.iter().find(|m| m.name == member.name);
            if known.is_none_or(|k| k.state != member.state || k.incarnation != member.incarnation)
            {
                log_change(member);
            }
        }
        self.core.members.send_replace(members.into());
    }

    async fn send(&self, out: &[Outgoing]) {
        for outgoing in out {
            self.socket.send(outgoing).await;
        }
    }

    fn swim(&self) -> MutexGuard<'_, Swim> {
        self.swim.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(member: &Member) {
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
        member: member.expect("a new core knows its own daemon"),
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
