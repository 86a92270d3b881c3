//! What operators ask of a daemon and what it answers, all JSON over HTTP.

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

/// Path of [`PublishBody`], sent with `POST`; the answer is a [`PublishReport`].
pub const PUBLISH_PATH: &str = "/publish";
/// Path of [`FleetStatus`], read with `GET`.
pub const STATUS_PATH: &str = "/status";
/// Path of a list of [`GenerationSummary`], read with `GET`.
pub const GENERATIONS_PATH: &str = "/generations";
/// Path prefix of [`Explanation`], followed by the request's id and read with `GET`.
pub const EXPLAIN_PATH: &str = "/explain/";
/// Path of an invoice, read with `GET`.
pub const INVOICE_PATH: &str = "/invoice";

/// Asks for a publication.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Its id; a repetition under the same id, through any daemon, takes effect once.
    pub id: PublishId,
    /// What to change.
    pub edit: Edit,
    /// The generation whose difference the operator was shown.
    #[serde(default)]
    pub base: Option<Generation>,
    /// Whether only the difference is wanted.
    #[serde(default)]
    pub dry_run: bool,
}

/// What became of a publication and where it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReport {
    /// Its id.
    pub id: PublishId,
    /// How it ended.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// What it changes.
    pub differences: Vec<Difference>,
    /// The daemons on which its generation is in force.
    pub in_force: Vec<DaemonName>,
    /// The daemons in touch on which it is not yet.
    pub awaited: Vec<DaemonName>,
}

/// One published generation, as it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSummary {
    /// The generation.
    pub generation: Generation,
    /// The publication that made it.
    pub publish_id: PublishId,
    /// Who published it.
    pub operator: OperatorName,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The objects that it changed.
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

/// The fleet as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The daemon that answers.
    pub daemon: DaemonName,
    /// The generation in force on it.
    pub generation: Generation,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// All daemons that it knows of, itself included.
    pub members: Vec<MemberStatus>,
}

/// Whether a daemon takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Readiness {
    /// It does.
    Ready,
    /// It is shutting down.
    Leaving,
    /// It does not.
    NotReady(NotReady),
}

/// One daemon as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: DaemonName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// What is believed of it.
    pub state: MemberState,
    /// The generation it last said was in force.
    pub generation: Generation,
    /// Where callers connect.
    pub callers: SocketAddr,
}

/// The decisions about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The decisions, oldest first.
    pub decisions: Vec<Decision>,
    /// The daemons that did not answer, which may know more.
    pub silent: Vec<DaemonName>,
}

/// Why a call was not served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// What is wrong.
    pub error: CompactString,
}
