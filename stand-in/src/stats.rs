//! Statistics of the roles, which tests use as ground truth.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Statistics of one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Incarnation of the role, which identifies its latest start.
    pub incarnation: u64,
    /// Accepted connections.
    pub accepted: u64,
    /// Open connections.
    pub open: u64,
    /// Started requests.
    pub requests: u64,
    /// Crashes, including those requested by control messages.
    pub crashes: u64,
    /// Statistics that are specific to the role.
    pub role: RoleStats,
}

/// Statistics of each role beyond the common counters.
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

/// Statistics of the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStats {
    /// Answered reads and scans.
    pub reads: u64,
    /// Requested commits.
    pub writes: u64,
    /// Commits that were refused because a condition did not hold.
    pub conflicts: u64,
    /// Rows stored now.
    pub rows: u64,
}

/// Statistics of the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsStats {
    /// Objects read.
    pub reads: u64,
    /// Objects written.
    pub writes: u64,
}

/// Statistics of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesStats {
    /// Reads of the list.
    pub reads: u64,
}

/// Statistics of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStats {
    /// Weights served.
    pub served: u64,
    /// Reads refused because of the rate limit.
    pub refused: u64,
}

/// Statistics of the rating service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingStats {
    /// Rated answers.
    pub rated: u64,
}

/// Statistics of a model engine; kept across crashes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Whether the engine is cold.
    pub cold: bool,
    /// Maximum number of concurrent requests, including waiting ones, while cold.
    pub cold_peak: u32,
    /// Crashes caused by exceeding the concurrency limit while cold.
    pub cold_crashes: u64,
    /// Crashes caused by a poison request.
    pub poison_crashes: u64,
    /// Requests refused because the queue was full.
    pub refused: u64,
    /// Attempts whose request was cancelled before it was complete.
    pub cancelled: u64,
    /// Maximum number of concurrently running requests.
    pub running_peak: u32,
    /// Orders refused because of an outdated fencing number.
    pub fenced: u64,
    /// Number of executions of each attempt, ordered by attempt id.
    pub attempts: Vec<AttemptCount>,
    /// Statistics of each version.
    pub versions: Vec<VersionStats>,
}

/// Number of executions of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCount {
    /// Id of the attempt.
    pub id: CompactString,
    /// Number of executions.
    pub executions: u32,
}

/// Statistics of one version on one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionStats {
    /// Name of the version.
    pub version: CompactString,
    /// Started answers.
    pub begun: u64,
    /// Completed answers.
    pub completed: u64,
    /// Answers started while the quality of the version was lowered.
    pub begun_bad: u64,
    /// Sum of the true quality of all completed answers.
    pub quality_sum: f64,
    /// Generated tokens.
    pub tokens: u64,
}

/// Statistics of a plain service; kept across crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Executed requests.
    pub executed: u64,
    /// Number of executions, ordered by key and path.
    pub executions: Vec<Execution>,
}

/// Number of executions of the request with one key on one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Idempotency key; empty if the requests had none.
    pub key: CompactString,
    /// Request path.
    pub path: CompactString,
    /// Number of executions.
    pub count: u32,
}

impl ServiceStats {
    /// Returns the number of executions with a key, summed over all paths.
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.executions
            .iter()
            .filter(|e| e.key == key)
            .map(|e| e.count)
            .sum()
    }
}
