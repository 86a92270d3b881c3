//! Bills, kept by peers and the table so that each request is billed exactly once.
//!
//! A bill is safe once two peers hold it or the table has it. Its owner writes bills to the table
//! in numbered batches; the holders of a dead owner write its bills among their own. A bill may
//! so be written more than once, and the invoice takes one for each customer and request.

use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::format_compact;
use derive_more::Display;
use platform_api::{engine::Usage, table::Key};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{decisions::RequestId, membership::Incarnation},
    state::{
        objects::{CustomerName, MicroCost, ServiceName, VersionName},
        snapshot::Snapshot,
    },
};

mod held;
mod holders;
mod invoice;
mod pending;

pub use held::{HeldBills, Owner};
pub use holders::choose_holders;
pub use invoice::{CustomerTotal, Invoice, build_invoice};
pub use pending::{BatchWrite, BillNumber, BillStorageError, HoldBatch, Limits, PendingBills};

/// The prefix of all rows of bills.
pub const ROWS_PREFIX: &str = "bill/";

/// The number of tokens to which a version's cost refers.
const TOKENS_PER_COST_UNIT: u64 = 1_000;

/// What was used.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BilledItem {
    /// A model's version; units are generated tokens.
    #[display("version:{_0}")]
    Version(VersionName),
    /// A plain service; units are calls.
    #[display("service:{_0}")]
    Service(ServiceName),
}

/// What a customer owes for one request.
///
/// The order decides which of several bills with one key counts: the earliest.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("customer={customer} billed={request_id} item={item} units={units} cost={cost}")]
pub struct Bill {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who owes.
    pub customer: CustomerName,
    /// The request; with the customer it is the bill's key.
    pub request_id: RequestId,
    /// What was used.
    pub item: BilledItem,
    /// How much of it.
    pub units: u64,
    /// What it costs.
    pub cost: MicroCost,
}

/// A row of the table: one batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The bills.
    pub bills: Vec<Bill>,
}

impl Bill {
    /// The bill of one completion.
    pub fn for_completion(
        snapshot: &Snapshot,
        customer: &str,
        request_id: &str,
        version: &str,
        usage: Usage,
        at: SystemTime,
    ) -> Self {
        let tokens = u64::from(usage.completion_tokens);
        let cost = snapshot.objects.versions.get(version).map_or(0, |v| v.cost);
        Self {
            at_ms: unix_millis(at),
            customer: customer.into(),
            request_id: request_id.into(),
            item: BilledItem::Version(version.into()),
            units: tokens,
            cost: (cost * tokens).div_ceil(TOKENS_PER_COST_UNIT),
        }
    }

    /// The bill of one call of a plain service.
    pub fn for_service_call(
        customer: &str,
        request_id: &str,
        service: &str,
        at: SystemTime,
    ) -> Self {
        Self {
            at_ms: unix_millis(at),
            customer: customer.into(),
            request_id: request_id.into(),
            item: BilledItem::Service(service.into()),
            units: 1,
            cost: 0,
        }
    }
}

/// The key of an incarnation's batch.
pub fn row_key(daemon: &str, incarnation: Incarnation, sequence: u64) -> Key {
    let daemon = daemon.replace('%', "%25").replace('/', "%2f");
    format_compact!("{ROWS_PREFIX}{daemon}/{incarnation:016x}/{sequence:08}")
}

fn unix_millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
