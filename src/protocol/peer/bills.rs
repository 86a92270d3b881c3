//! Peer messages about bills held for one another.

use serde::{Deserialize, Serialize};

use crate::coordination::bills::{Bill, BillNumber, Owner};

/// A question about bills held for one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks the peer to hold bills until the table has them.
    Hold(Hold),
}

/// Bills to hold, and how many the table has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// Whose bills they are.
    pub owner: Owner,
    /// The number of the first bill.
    pub from: BillNumber,
    /// The bills, numbered on from there.
    pub bills: Vec<Bill>,
    /// The table has all bills with smaller numbers.
    pub flushed: BillNumber,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The peer holds the bills.
    Held,
    /// The peer has no room.
    Full,
}
