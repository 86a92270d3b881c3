//! How configuration is published through the table and followed by every daemon.
//!
//! The row `config/head` names the generation in force; a publication commits on condition that it
//! is unchanged, so generations form one line and only grow.

pub mod connectivity;
pub mod edit;
pub mod event;
pub mod follower;
pub mod outcome;
pub mod publisher;
pub mod push_tree;
pub mod rows;
