//! Which bodies and connections give way to others, without a network.

mod bodies;
mod budgets;
mod connections;
