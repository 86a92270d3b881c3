//! What the stand-ins record; tests take these records as the truth.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The record of one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Which start of the role this is.
    pub incarnation: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Connections open.
    pub open: u64,
    /// Requests that began.
    pub requests: u64,
    /// Crashes, those asked for included.
    pub crashes: u64,
    /// What only this role records.
    pub role: RoleStats,
}

/// What each role records beside the common counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum RoleStats {
    /// The table service.
    Table(TableStats),
    /// The object store.
    Objects(ObjectsStats),
    /// The instance list.
    Instances(InstancesStats),
    /// The weight store.
    Weights(WeightsStats),
    /// The rating service.
    Rating(RatingStats),
    /// A model engine.
    Engine(EngineStats),
    /// A plain service.
    Service(ServiceStats),
    /// A relay.
    Relay,
}

/// The record of the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStats {
    /// Reads and scans answered.
    pub reads: u64,
    /// Commits asked for.
    pub writes: u64,
    /// Commits refused because a condition did not hold.
    pub conflicts: u64,
    /// Rows held now.
    pub rows: u64,
}

/// The record of the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsStats {
    /// Objects read.
    pub reads: u64,
    /// Objects written.
    pub writes: u64,
}

/// The record of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesStats {
    /// Reads of the list.
    pub reads: u64,
}

/// The record of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStats {
    /// Weights served.
    pub served: u64,
    /// Reads refused because they were over the rate.
    pub refused: u64,
}

/// The record of the rating service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingStats {
    /// Answers rated.
    pub rated: u64,
}

/// The record of a model engine; it outlives crashes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Whether it is cold.
    pub cold: bool,
    /// The greatest number of requests it held at once while cold.
    pub cold_peak: u32,
    /// Times it crashed because it held more than it bears while cold.
    pub cold_crashes: u64,
    /// Times a request crashed it.
    pub poison_crashes: u64,
    /// Requests refused because the queue was full.
    pub refused: u64,
    /// Attempts whose request was dropped before its end.
    pub cancelled: u64,
    /// The greatest number of requests running at once.
    pub running_peak: u32,
    /// Orders refused because of their fencing number.
    pub fenced: u64,
    /// The count of executions of each attempt, in order of the attempt's id.
    pub attempts: Vec<AttemptCount>,
    /// The record of each version.
    pub versions: Vec<VersionStats>,
}

/// How often an attempt was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCount {
    /// The attempt.
    pub id: CompactString,
    /// Its executions.
    pub executions: u32,
}

/// The record of one version on one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionStats {
    /// The version.
    pub version: CompactString,
    /// Answers begun.
    pub begun: u64,
    /// Answers completed.
    pub completed: u64,
    /// Answers begun while the version was bad.
    pub begun_bad: u64,
    /// The sum of the true qualities of the completed answers.
    pub quality_sum: f64,
    /// Tokens generated.
    pub tokens: u64,
}

/// The record of a plain service; it outlives crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Requests executed.
    pub executed: u64,
    /// The count of executions, in order of key and path.
    pub executions: Vec<Execution>,
}

/// How often the request of one key was executed on one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The idempotency key; empty if there was none.
    pub key: CompactString,
    /// The path.
    pub path: CompactString,
    /// The executions.
    pub count: u32,
}

impl ServiceStats {
    /// The executions of a key on all paths.
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.executions
            .iter()
            .filter(|e| e.key == key)
            .map(|e| e.count)
            .sum()
    }
}
