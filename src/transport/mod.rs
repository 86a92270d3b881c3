//! The transport layer: sockets, HTTP servers and clients, links between peers.

pub mod gossip;
pub mod http_client;
pub mod instances;
pub mod peers;
pub mod table;
