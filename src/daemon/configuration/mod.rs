//! Configuration of one daemon: follows published generations, serves peers and publishes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use tokio::{sync::watch, time::MissedTickBehavior};

use crate::{
    coordination::{
        configuration::{
            connectivity::NotReady,
            event::{Action, Event, ReachablePeer},
            follower::Follower,
        },
        membership::Member,
    },
    daemon::core::{Core, MemberList},
    protocol::peer::configuration::{Request, Response},
    state::snapshot::Snapshot,
    supervise::Supervisor,
};

mod publish;
mod pull;
mod push;
mod table;

pub use publish::Propagation;

/// Interval of the follower's tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the configuration of a running daemon current.
pub struct Configuration {
    core: Arc<Core>,
    follower: Mutex<Follower>,
    publishing: tokio::sync::Mutex<()>,
}

impl Configuration {
    /// Starts following the published configuration, until the returned handle is dropped.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let follower = Follower::new(core.clock.now(), core.incarnation);
        let members = core.members.subscribe();
        let configuration = Arc::new(Self {
            core,
            follower: Mutex::new(follower),
            publishing: tokio::sync::Mutex::new(()),
        });
        let tasks = Supervisor::new(&configuration.core.clock);
        let state = (Arc::downgrade(&configuration), members);
        tasks.spawn("follow_configuration", state, |(configuration, members)| {
            run(configuration, members)
        });
        configuration
    }

    /// Returns an error if the configuration is not current enough to accept new work.
    pub fn readiness(&self) -> Result<(), NotReady> {
        self.follower().readiness(self.core.clock.now())
    }

    /// Handles a request from a peer.
    pub async fn answer(self: &Arc<Self>, req: Request) -> Response {
        match req {
            Request::Head => Response::Head(self.follower().peer_head(self.core.clock.now())),
            Request::RecordsAfter(after) => self.answer_after(after),
            Request::Push(push) => self.handle_push(push).await,
        }
    }

    fn answer_after(&self, after: u64) -> Response {
        let (records, snapshot) = {
            let follower = self.follower();
            (follower.records_after(after), follower.snapshot().clone())
        };
        match records {
            Some(records) => Response::Records(records),
            None => Response::FullSet {
                generation: snapshot.generation,
                puts: snapshot.objects.puts(),
            },
        }
    }

    /// Passes an event to the follower and executes the resulting actions.
    fn handle_event(self: &Arc<Self>, event: Event) {
        let actions = {
            let mut follower = self.follower();
            let actions = follower.handle(self.core.clock.now(), event);
            // Runs under the follower's lock, so that snapshots are activated in order.
            self.activate(&actions);
            actions
        };
        for action in actions {
            match action {
                Action::ReadPeerHead(peer) => drop(tokio::spawn(self.clone().poll_peer(peer))),
                Action::ReadTableHead => drop(tokio::spawn(self.clone().read_table_head())),
                Action::Pull { from, after } => drop(tokio::spawn(self.clone().pull(from, after))),
                Action::Activate(_) => {}
                Action::ReportUnreadable { generation, reason } => {
                    log::error!("step=enforce generation={generation} unreadable={reason}");
                }
            }
        }
    }

    fn activate(&self, actions: &[Action]) {
        for action in actions {
            if let Action::Activate(snapshot) = action {
                self.core.snapshot.send_replace(snapshot.clone());
                self.record_activation(snapshot);
            }
        }
    }

    fn record_activation(&self, snapshot: &Snapshot) {
        let generation = snapshot.generation;
        let id = format!("generation-{generation}");
        self.core
            .record_decision(&id, "enforce", format_args!("generation={generation}"));
    }

    fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn member(&self, name: &str) -> Option<Member> {
        let members = self.core.members();
        members.iter().find(|m| m.name == name).cloned()
    }
}

async fn run(configuration: Weak<Configuration>, mut members: watch::Receiver<MemberList>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    members.mark_changed();
    loop {
        let changed = tokio::select! {
            changed = members.changed() => changed.is_ok(),
            _ = ticks.tick() => false,
        };
        let Some(configuration) = configuration.upgrade() else {
            return;
        };
        configuration.handle_event(if changed {
            Event::ReachablePeers(peer_generations(&configuration.core))
        } else {
            Event::Tick
        });
    }
}

fn peer_generations(core: &Core) -> Vec<ReachablePeer> {
    core.reachable_peers()
        .into_iter()
        .map(|member| ReachablePeer {
            name: member.name,
            generation: member.generation,
        })
        .collect()
}
