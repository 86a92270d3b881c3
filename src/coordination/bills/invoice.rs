//! The invoice: a fold of all batches that takes one bill for each customer and request.

use std::collections::{BTreeMap, btree_map::Entry};

use serde::{Deserialize, Serialize};

use super::{Bill, BillRow};
use crate::{
    coordination::decisions::RequestId,
    state::objects::{CustomerName, MicroCost},
};

/// What one customer owes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerTotal {
    /// The number of requests billed.
    pub requests: u64,
    /// The sum of units.
    pub units: u64,
    /// The sum of costs.
    pub cost: MicroCost,
}

/// What all customers owe.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invoice {
    /// The totals by customer.
    pub customers: BTreeMap<CustomerName, CustomerTotal>,
    /// Bills left out because another one with the same key counts.
    pub duplicates: u64,
    /// Rows that could not be read.
    pub unreadable: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BillKey {
    customer: CustomerName,
    request_id: RequestId,
}

/// Folds the values of bill rows, in any order, into an invoice.
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

/// Counts the lesser of the bills with one key; returns whether the key is new.
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
