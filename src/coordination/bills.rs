//! Bills, replicated to peers and written to the table so that each request is billed exactly
//! once.
//!
//! A bill is durable once two peers hold it or the table has it. The daemon that created a bill,
//! its owner, writes its bills to the table in numbered batches. If the owner dies, the peers that
//! hold its bills write them together with their own. A bill may therefore be written more than
//! once; the invoice counts one bill per customer and request.

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

/// Key prefix of all bill rows in the table.
pub const ROWS_PREFIX: &str = "bill/";

/// Number of tokens that a version's cost applies to.
const TOKENS_PER_COST_UNIT: u64 = 1_000;

/// Resource that a bill charges for.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BilledItem {
    /// Version of a model; units are generated tokens.
    #[display("version:{_0}")]
    Version(VersionName),
    /// Plain service; units are calls.
    #[display("service:{_0}")]
    Service(ServiceName),
}

/// Charge to a customer for one request.
///
/// Of several bills with the same customer and request, the lowest in the derived order counts,
/// which is the earliest.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("customer={customer} billed={request_id} item={item} units={units} cost={cost}")]
pub struct Bill {
    /// Time of the bill in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The billed customer.
    pub customer: CustomerName,
    /// The billed request; identifies the bill together with the customer.
    pub request_id: RequestId,
    /// The billed resource.
    pub item: BilledItem,
    /// Number of units used.
    pub units: u64,
    /// Cost of all units.
    pub cost: MicroCost,
}

/// Table row with one batch of bills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// Bills of the batch.
    pub bills: Vec<Bill>,
}

impl Bill {
    /// Creates the bill for a completion.
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

    /// Creates the bill for a call to a plain service.
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

/// Returns the table key of an incarnation's batch.
pub fn row_key(daemon: &str, incarnation: Incarnation, sequence: u64) -> Key {
    let daemon = daemon.replace('%', "%25").replace('/', "%2f");
    format_compact!("{ROWS_PREFIX}{daemon}/{incarnation:016x}/{sequence:08}")
}

fn unix_millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
