//! Clients that stop short, never end or never read must cost a process no more than its instance has.
//!
//! Each test runs alone, starts processes on loopback addresses and checks what does not depend on the speed
//! of the machine: that the process lives, that memory and descriptors stay under a bound, and that an ordinary
//! request is answered.

mod bodies;
mod connections;
mod crowd;
mod gateway;
#[expect(dead_code, reason = "shared with the tests of gateways")]
#[path = "../gateway/harness.rs"]
mod harness;
mod peers;
mod refusals;
mod serve;
mod streams;
#[path = "../support/mod.rs"]
mod support;
mod usage;
