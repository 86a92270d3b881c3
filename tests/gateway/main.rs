//! Gateways as processes, between callers and stand-ins of the platform.

mod faults;
mod harness;
mod input;
mod reload;
mod serve;
mod shutdown;
mod trace;
