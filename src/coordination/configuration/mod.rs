//! Publishes configuration through the table and distributes it to every daemon.
//!
//! The row `config/head` holds the current generation. A publication commits only if that row is
//! unchanged, so generations form a single increasing sequence.

pub mod connectivity;
pub mod edit;
pub mod event;
pub mod follower;
pub mod outcome;
pub mod publisher;
pub mod push_tree;
pub mod rows;
