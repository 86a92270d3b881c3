//! Invoice built from all batches, with one bill counted per customer and request.

use std::collections::{BTreeMap, btree_map::Entry};

use serde::{Deserialize, Serialize};

use super::{Bill, BillRow};
use crate::{
    coordination::decisions::RequestId,
    state::objects::{CustomerName, MicroCost},
};

/// Totals of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerTotal {
    /// Number of billed requests.
    pub requests: u64,
    /// Total units.
    pub units: u64,
    /// Total cost.
    pub cost: MicroCost,
}

/// Totals of all customers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invoice {
    /// Totals by customer.
    pub customers: BTreeMap<CustomerName, CustomerTotal>,
    /// Number of bills left out because another bill for the same customer and request counts.
    pub duplicates: u64,
    /// Number of rows that could not be parsed.
    pub unreadable: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BillKey {
    customer: CustomerName,
    request_id: RequestId,
}

/// Builds the invoice from the values of bill rows, in any order.
pub fn build_invoice<'a>(rows: impl IntoIterator<Item = &'a str>) -> Invoice {
    let mut invoice = Invoice::default();
    let mut counted: BTreeMap<BillKey, Bill> = BTreeMap::new();
    for row in rows {
        let Ok(row) = serde_json::from_str::<BillRow>(row) else {
            invoice.unreadable += 1;
            continue;
        };
        for bill in row.bills {
            invoice.duplicates += u64::from(!count_bill(&mut counted, bill));
        }
    }
    for bill in counted.into_values() {
        let total = invoice.customers.entry(bill.customer).or_default();
        total.requests += 1;
        total.units += bill.units;
        total.cost += bill.cost;
    }
    invoice
}

/// Keeps the lowest of the bills with the same key; returns whether the key is new.
fn count_bill(counted: &mut BTreeMap<BillKey, Bill>, bill: Bill) -> bool {
    let key = BillKey {
        customer: bill.customer.clone(),
        request_id: bill.request_id.clone(),
    };
    match counted.entry(key) {
        Entry::Vacant(entry) => {
            entry.insert(bill);
            true
        }
        Entry::Occupied(mut entry) => {
            let earliest = bill.min(entry.get().clone());
            entry.insert(earliest);
            false
        }
    }
}
