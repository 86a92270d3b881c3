//! Transport layer: sockets, HTTP servers and clients, and connections between peers.

pub mod body_memory;
pub mod caller_connections;
pub mod caller_stream;
pub mod engine;
pub mod engine_link;
pub mod gossip;
pub mod http_body;
pub mod http_client;
pub mod http_server;
pub mod instances;
pub mod operators;
pub mod peers;
pub mod rating;
pub mod stop;
pub mod table;
