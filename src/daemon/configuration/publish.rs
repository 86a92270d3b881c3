//! Publications through this daemon.

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

/// How long the push of a new generation may take before the report is given.
const PUSH_BUDGET: Duration = Duration::from_secs(2);
/// How long each read for a publication may take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The greatest number of generations that are listed.
const MAX_LISTED: Generation = 100;

/// The daemons in touch, by whether one generation is in force on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// It is in force.
    pub in_force: Vec<DaemonName>,
    /// It is not yet.
    pub awaited: Vec<DaemonName>,
}

impl Reach {
    fn note(&mut self, daemon: &DaemonName, has: bool) {
        let list = if has {
            &mut self.in_force
        } else {
            &mut self.awaited
        };
        list.push(daemon.clone());
    }
}

impl Configuration {
    /// Publishes, and waits until the peers in touch have had their push.
    pub async fn publish(self: &Arc<Self>, request: PublishRequest) -> PublishReport {
        let id = request.id.clone();
        let end = self.run_publication(request).await;
        self.note_publication(&id, &end);
        let pushed = match &end.record {
            Some(record) => self.push_to_all(record).await,
            None => Vec::new(),
        };
        self.report(id, end, &pushed)
    }

    /// The latest generations, newest first: from the table, or from memory while it is down.
    pub async fn generations(&self) -> Vec<GenerationSummary> {
        let after = self.core.snapshot().generation.saturating_sub(MAX_LISTED);
        let read = timeout(READ_TIMEOUT, table::records(&self.core.table, after)).await;
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
            let input = match step {
                Step::Done(end) => return *end,
                step => self.perform(step).await,
            };
            step = publication.handle(self.core.clock.now(), input);
        }
    }

    async fn perform(&self, step: Step) -> StepResult {
        let table = &self.core.table;
        match step {
            Step::Read(keys) => match timeout(READ_TIMEOUT, table.read(keys)).await {
                Ok(Ok(rows)) => StepResult::Rows(rows),
                Ok(Err(e)) => StepResult::NotApplied(e.to_string()),
                Err(_) => StepResult::NotApplied("no answer in time".into()),
            },
            Step::ReadRecords { after } => match table::records(table, after).await {
                Ok(records) => StepResult::Records(records),
                Err(e) => StepResult::NotApplied(e.to_string()),
            },
            Step::ReadWhole => match table::whole(table).await {
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
        self.feed(Event::Pushed(record.clone()));
        tokio::spawn(self.clone().prune(record.generation));
        let others: Vec<DaemonName> = self
            .core
            .reachable_peers()
            .into_iter()
            .map(|m| m.name)
            .collect();
        self.spread(record, &others, PUSH_BUDGET).await
    }

    /// Removes records that are too old to be asked for.
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

    fn report(&self, id: PublishId, end: PublishResult, pushed: &[DaemonName]) -> PublishReport {
        let reach = match end.outcome.generation() {
            Some(generation) => self.reach(generation, pushed),
            None => Reach::default(),
        };
        PublishReport {
            id,
            outcome: end.outcome,
            differences: end.differences,
            in_force: reach.in_force,
            awaited: reach.awaited,
        }
    }

    /// How far `generation` has come among the daemons in touch.
    pub fn reach(&self, generation: Generation, pushed: &[DaemonName]) -> Reach {
        let mut reach = Reach::default();
        let own = self.core.snapshot().generation;
        reach.note(self.core.name(), own >= generation);
        for member in self.core.reachable_peers() {
            let has = member.generation >= generation || pushed.contains(&member.name);
            reach.note(&member.name, has);
        }
        reach
    }

    fn note_publication(&self, id: &str, end: &PublishResult) {
        let outcome = &end.outcome;
        let changed = end.differences.len();
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
