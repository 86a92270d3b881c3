//! Pushes new records along a tree of peers.

use std::{sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::{
        configuration::{
            event::Event,
            push_tree::{Branch, push_branches},
        },
        membership::DaemonName,
    },
    daemon::configuration::Configuration,
    protocol::peer::configuration::{Push, Request, Response},
    state::record::Record,
};

/// Maximum number of daemons tried as the root of one branch.
const MAX_ROOTS_TRIED: u32 = 2;
/// Part of the time budget that each daemon reserves for its own work and its reply.
const HOP_RESERVE: Duration = Duration::from_millis(50);
/// Minimum time budget for pushing a record further.
const MIN_PUSH_BUDGET: Duration = Duration::from_millis(100);

impl Configuration {
    /// Applies a pushed record and forwards it.
    pub(super) async fn handle_push(self: &Arc<Self>, push: Push) -> Response {
        let generation = push.record.generation;
        self.handle_event(Event::Pushed(push.record.clone()));
        let budget = Duration::from_millis(push.budget_ms).saturating_sub(HOP_RESERVE);
        let mut in_force = self
            .push_along_tree(&push.record, &push.forward, budget)
            .await;
        if self.core.snapshot().generation >= generation {
            in_force.push(self.core.name().clone());
        }
        Response::Pushed { in_force }
    }

    /// Pushes a record to `targets` and returns the daemons that have activated it.
    pub(super) fn push_along_tree<'a>(
        self: &'a Arc<Self>,
        record: &'a Record,
        targets: &'a [DaemonName],
        budget: Duration,
    ) -> BoxFuture<'a, Vec<DaemonName>> {
        async move {
            if budget < MIN_PUSH_BUDGET {
                return Vec::new();
            }
            let branches = push_branches(targets);
            let pushes = branches.iter().map(|b| self.push_branch(record, b, budget));
            join_all(pushes).await.concat()
        }
        .boxed()
    }

    async fn push_branch(
        self: &Arc<Self>,
        record: &Record,
        branch: &Branch,
        budget: Duration,
    ) -> Vec<DaemonName> {
        let limit = budget / MAX_ROOTS_TRIED;
        let max_roots = usize::try_from(MAX_ROOTS_TRIED).unwrap_or(1);
        for (i, root) in branch.members.iter().enumerate().take(max_roots) {
            let push = Push {
                record: record.clone(),
                forward: branch.members.iter().skip(i + 1).cloned().collect(),
                budget_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
            };
            let response = self.call(root, Request::Push(push), limit).await;
            if let Some(Response::Pushed { in_force }) = response {
                return in_force;
            }
        }
        Vec::new()
    }
}
