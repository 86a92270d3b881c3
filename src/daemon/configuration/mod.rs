//! The configuration of one daemon: it follows what is published, answers peers and publishes.

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
};

mod publish;
mod pull;
mod push;
mod table;

pub use publish::Reach;

/// How often the follower is told that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// The running part of a daemon that keeps its configuration current.
pub struct Configuration {
    core: Arc<Core>,
    follower: Mutex<Follower>,
    publishing: tokio::sync::Mutex<()>,
}

impl Configuration {
    /// Starts to follow the published configuration, until the handle is dropped.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let follower = Follower::new(core.clock.now(), core.incarnation);
        let members = core.members.subscribe();
        let configuration = Arc::new(Self {
            core,
            follower: Mutex::new(follower),
            publishing: tokio::sync::Mutex::new(()),
        });
        tokio::spawn(run(Arc::downgrade(&configuration), members));
        configuration
    }

    /// Whether the configuration is current enough to take new work.
    pub fn readiness(&self) -> Result<(), NotReady> {
        self.follower().readiness(self.core.clock.now())
    }

    /// Answers a peer.
    pub async fn answer(self: &Arc<Self>, req: Request) -> Response {
        match req {
            Request::Head => Response::Head(self.follower().peer_head(self.core.clock.now())),
            Request::RecordsAfter(after) => self.answer_after(after),
            Request::Push(push) => self.receive(push).await,
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

    /// Tells the follower what happened and carries out what it decides.
    fn feed(self: &Arc<Self>, event: Event) {
        let actions = {
            let mut follower = self.follower();
            let actions = follower.handle(self.core.clock.now(), event);
            // Under the follower's lock, so that snapshots come into force in their order.
            self.enforce(&actions);
            actions
        };
        for action in actions {
            match action {
                Action::ReadPeerHead(peer) => drop(tokio::spawn(self.clone().ask(peer))),
                Action::ReadTableHead => drop(tokio::spawn(self.clone().read_head())),
                Action::Pull { from, after } => drop(tokio::spawn(self.clone().pull(from, after))),
                Action::Activate(_) => {}
                Action::ReportUnreadable { generation, reason } => {
                    log::error!("step=enforce generation={generation} unreadable={reason}");
                }
            }
        }
    }

    fn enforce(&self, actions: &[Action]) {
        for action in actions {
            if let Action::Activate(snapshot) = action {
                self.core.snapshot.send_replace(snapshot.clone());
                self.note(snapshot);
            }
        }
    }

    fn note(&self, snapshot: &Snapshot) {
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
    let mut ticks = tokio::time::interval(TICK);
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
        configuration.feed(if changed {
            Event::ReachablePeers(peer_views(&configuration.core))
        } else {
            Event::Tick
        });
    }
}

fn peer_views(core: &Core) -> Vec<ReachablePeer> {
    core.reachable_peers()
        .into_iter()
        .map(|member| ReachablePeer {
            name: member.name,
            generation: member.generation,
        })
        .collect()
}
