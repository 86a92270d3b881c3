//! Messages between daemons that are sent as UDP datagrams.
//!
//! While an upgrade runs, daemons of two builds exchange them. Fields are encoded by position, so that neither
//! these types nor those that they contain may change: what a later build has to add goes into a new
//! variant at the end, which earlier builds ignore.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    heartbeat::Heartbeat, prefill_queue::PrefillNotice, shared_loads::LoadUpdate,
};

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// The sender's current state, sent periodically.
    Heartbeat(Box<Heartbeat>),
    /// The same, to be forwarded within the receiver's failure domain.
    HeartbeatToForward(Box<Heartbeat>),
    /// The state of another daemon, which has this address.
    ForwardedHeartbeat(SocketAddr, Box<Heartbeat>),
    /// Reports that the sender has sent a prompt to an engine.
    PromptSent(PrefillNotice),
    /// Loads of the sender on engines that the receiver uses, in a large fleet.
    Loads(LoadUpdate),
}

impl Datagram {
    /// Returns the name used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::HeartbeatToForward(_) => "heartbeat_to_forward",
            Self::ForwardedHeartbeat(..) => "forwarded_heartbeat",
            Self::PromptSent(_) => "prompt_sent",
            Self::Loads(_) => "loads",
        }
    }
}
