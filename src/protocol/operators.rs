//! Requests and responses of the operators' API, JSON over HTTP.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        configuration::{connectivity::NotReady, edit::Edit, outcome::Outcome},
        decisions::Decision,
        membership::{DaemonName, MemberState},
    },
    state::{
        diff::{Change, Difference, ObjectId},
        objects::{DomainName, OperatorName},
        record::{PublishId, Record},
        snapshot::Generation,
    },
};

/// Path that accepts [`PublishBody`] with `POST` and returns a [`PublishReport`].
pub const PUBLISH_PATH: &str = "/publish";
/// Path that returns [`FleetStatus`] for `GET`.
pub const STATUS_PATH: &str = "/status";
/// Path that returns a list of [`GenerationSummary`] for `GET`.
pub const GENERATIONS_PATH: &str = "/generations";
/// Path prefix, followed by a request id, that returns an [`Explanation`] for `GET`.
pub const EXPLAIN_PATH: &str = "/explain/";
/// Path that returns an invoice for `GET`.
pub const INVOICE_PATH: &str = "/invoice";

/// Request to publish a configuration change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Id of the publication; retries with the same id, through any daemon, take effect once.
    pub id: PublishId,
    /// The change to publish.
    pub edit: Edit,
    /// Generation that the previewed difference was based on.
    #[serde(default)]
    pub base: Option<Generation>,
    /// Whether to return only the difference without publishing.
    #[serde(default)]
    pub dry_run: bool,
}

/// Outcome of a publication and the daemons on which it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReport {
    /// Id of the publication.
    pub id: PublishId,
    /// Outcome of the publication.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// Differences between the previous and the new configuration.
    pub differences: Vec<Difference>,
    /// Daemons on which the generation is in force.
    pub in_force: Vec<DaemonName>,
    /// Reachable daemons on which the generation is not yet in force.
    pub awaited: Vec<DaemonName>,
}

/// Summary of one published generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSummary {
    /// Number of the generation.
    pub generation: Generation,
    /// Publication that created the generation.
    pub publish_id: PublishId,
    /// Operator who published it.
    pub operator: OperatorName,
    /// Time of publication in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Objects changed by the publication.
    pub objects: Vec<ObjectId>,
}

impl From<Record> for GenerationSummary {
    fn from(record: Record) -> Self {
        Self {
            generation: record.generation,
            publish_id: record.publish_id,
            operator: record.operator,
            at_ms: record.at_ms,
            objects: record.changes.iter().map(Change::id).cloned().collect(),
        }
    }
}

/// One daemon's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the responding daemon.
    pub daemon: DaemonName,
    /// Generation in force on this daemon.
    pub generation: Generation,
    /// Whether this daemon accepts new requests.
    pub readiness: Readiness,
    /// All known daemons, including this one.
    pub members: Vec<MemberStatus>,
}

/// Whether a daemon accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Readiness {
    /// The daemon accepts new requests.
    Ready,
    /// The daemon is shutting down.
    Leaving,
    /// The daemon cannot accept new requests for the given reason.
    NotReady(NotReady),
}

/// Status of a member as seen by the responding daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Failure domain of the daemon.
    pub failure_domain: DomainName,
    /// Membership state of the daemon.
    pub state: MemberState,
    /// Generation that it last reported as in force.
    pub generation: Generation,
    /// Address that callers connect to.
    pub callers: SocketAddr,
}

/// Recorded decisions about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions, oldest first.
    pub decisions: Vec<Decision>,
    /// Daemons that did not respond and may hold further decisions.
    pub silent: Vec<DaemonName>,
}

/// Error body of a rejected call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Description of the error.
    pub error: CompactString,
}
