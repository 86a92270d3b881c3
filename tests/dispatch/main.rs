//! Decisions of the gateway, replayed in virtual time.

mod budget;
mod choice;
mod cold;
mod escalation;
mod followers;
mod herd;
mod lapse;
mod orders;
mod poison;
mod rollout;
mod routes;
mod support;
