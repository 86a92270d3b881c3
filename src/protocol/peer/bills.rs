//! Peer messages about bills replicated between daemons.

use serde::{Deserialize, Serialize};

use crate::coordination::bills::{Bill, BillNumber, Owner};

/// A request about bills replicated between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks the peer to hold bills until they are in the table.
    Hold(Hold),
}

/// Bills to hold and the progress of writing them to the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// Owner of the bills.
    pub owner: Owner,
    /// Number of the first bill.
    pub from: BillNumber,
    /// Consecutively numbered bills.
    pub bills: Vec<Bill>,
    /// All bills with smaller numbers are in the table.
    pub flushed: BillNumber,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The peer holds the bills.
    Held,
    /// The peer has no capacity for the bills.
    Full,
}
