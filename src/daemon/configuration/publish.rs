//! Publishes configuration changes through this daemon.

use std::{
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use platform_api::table::CommitOutcome;
use tokio::time::timeout;

use crate::{
    coordination::{
        configuration::{
            event::Event,
            outcome::PublishRequest,
            publisher::{Publication, PublishResult, Step, StepResult},
            rows,
        },
        membership::DaemonName,
    },
    daemon::configuration::{Configuration, table},
    protocol::operators::{GenerationSummary, PublishReport},
    state::{
        record::{PublishId, Record},
        snapshot::Generation,
    },
};

/// Maximum time for pushing a new generation before the report is returned.
const PUSH_BUDGET: Duration = Duration::from_secs(2);
/// Timeout of each table read during a publication.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of listed generations.
const MAX_LISTED_GENERATIONS: Generation = 100;

/// Propagation of one generation among the reachable daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Propagation {
    /// Daemons that have activated the generation.
    pub in_force: Vec<DaemonName>,
    /// Daemons that have not activated the generation yet.
    pub awaited: Vec<DaemonName>,
}

impl Propagation {
    fn add(&mut self, daemon: &DaemonName, has_generation: bool) {
        let list = if has_generation {
            &mut self.in_force
        } else {
            &mut self.awaited
        };
        list.push(daemon.clone());
    }
}

impl Configuration {
    /// Publishes a change and waits until it has been pushed to the reachable peers.
    pub async fn publish(self: &Arc<Self>, request: PublishRequest) -> PublishReport {
        let id = request.id.clone();
        let publish_result = self.run_publication(request).await;
        self.record_publication(&id, &publish_result);
        let pushed = match &publish_result.record {
            Some(record) => self.push_to_all(record).await,
            None => Vec::new(),
        };
        self.report(id, publish_result, &pushed)
    }

    /// Returns the latest generations, newest first: from the table, or from memory if the read
    /// fails.
    pub async fn generations(&self) -> Vec<GenerationSummary> {
        let after = self
            .core
            .snapshot()
            .generation
            .saturating_sub(MAX_LISTED_GENERATIONS);
        let read = timeout(READ_TIMEOUT, table::read_records(&self.core.table, after)).await;
        let records = match read {
            Ok(Ok(records)) => records,
            _ => self.follower().retained_records(),
        };
        records.into_iter().rev().map(Into::into).collect()
    }

    async fn run_publication(&self, request: PublishRequest) -> PublishResult {
        let _one_at_a_time = self.publishing.lock().await;
        let snapshot = self.core.snapshot();
        let objects = snapshot.objects.clone();
        let mut publication =
            Publication::new(request, self.wall_ms(), snapshot.generation, objects);
        let mut step = publication.start();
        loop {
            let step_result = match step {
                Step::Done(publish_result) => return *publish_result,
                step => self.execute(step).await,
            };
            step = publication.handle(self.core.clock.now(), step_result);
        }
    }

    async fn execute(&self, step: Step) -> StepResult {
        let table = &self.core.table;
        match step {
            Step::Read(keys) => match timeout(READ_TIMEOUT, table.read(keys)).await {
                Ok(Ok(rows)) => StepResult::Rows(rows),
                Ok(Err(e)) => StepResult::NotApplied(e.to_string()),
                Err(_) => StepResult::NotApplied("timed out".into()),
            },
            Step::ReadRecords { after } => match table::read_records(table, after).await {
                Ok(records) => StepResult::Records(records),
                Err(e) => StepResult::NotApplied(e.to_string()),
            },
            Step::ReadWhole => match table::read_objects(table).await {
                Ok((generation, objects)) => StepResult::Whole(generation, Box::new(objects)),
                Err(e) => StepResult::NotApplied(e.to_string()),
            },
            Step::Commit(commit) => match table.commit(&commit).await {
                Ok(CommitOutcome::Committed { .. }) => StepResult::Committed,
                Ok(CommitOutcome::Conflict { .. }) => StepResult::Conflict,
                Err(e) if e.not_applied() => StepResult::NotApplied(e.to_string()),
                Err(e) => StepResult::ResponseLost(e.to_string()),
            },
            Step::Wait(time) => {
                tokio::time::sleep(time).await;
                StepResult::Waited
            }
            Step::Done(_) => StepResult::Waited,
        }
    }

    async fn push_to_all(self: &Arc<Self>, record: &Record) -> Vec<DaemonName> {
        self.handle_event(Event::Pushed(record.clone()));
        tokio::spawn(self.clone().prune(record.generation));
        let others: Vec<DaemonName> = self
            .core
            .reachable_peers()
            .into_iter()
            .map(|m| m.name)
            .collect();
        self.push_along_tree(record, &others, PUSH_BUDGET).await
    }

    /// Removes records that are too old to be requested.
    async fn prune(self: Arc<Self>, generation: Generation) {
        if let Err(e) = self.try_prune(generation).await {
            log::warn!("step=prune error={e}");
        }
    }

    async fn try_prune(&self, generation: Generation) -> Result<(), table::ReadError> {
        let keys = rows::outdated_keys(generation);
        if keys.is_empty() {
            return Ok(());
        }
        let outdated = self.core.table.read(keys).await?;
        if !outdated.is_empty() {
            self.core
                .table
                .commit(&rows::prune_commit(&outdated)?)
                .await?;
        }
        Ok(())
    }

    fn report(
        &self,
        id: PublishId,
        publish_result: PublishResult,
        pushed: &[DaemonName],
    ) -> PublishReport {
        let propagation = match publish_result.outcome.generation() {
            Some(generation) => self.propagation(generation, pushed),
            None => Propagation::default(),
        };
        PublishReport {
            id,
            outcome: publish_result.outcome,
            differences: publish_result.differences,
            in_force: propagation.in_force,
            awaited: propagation.awaited,
        }
    }

    /// Returns the propagation of `generation` among the reachable daemons.
    pub fn propagation(&self, generation: Generation, pushed: &[DaemonName]) -> Propagation {
        let mut propagation = Propagation::default();
        let own = self.core.snapshot().generation;
        propagation.add(self.core.name(), own >= generation);
        for member in self.core.reachable_peers() {
            let has_generation = member.generation >= generation || pushed.contains(&member.name);
            propagation.add(&member.name, has_generation);
        }
        propagation
    }

    fn record_publication(&self, id: &str, publish_result: &PublishResult) {
        let outcome = &publish_result.outcome;
        let changed = publish_result.differences.len();
        self.core.record_decision(
            id,
            "publish",
            format_args!("outcome={outcome} objects={changed}"),
        );
    }

    fn wall_ms(&self) -> u64 {
        let since = self
            .core
            .clock
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
