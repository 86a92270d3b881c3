//! Gateways as processes, between callers and stand-ins of the platform.

mod bed;
mod explain;
mod faults;
mod input;
mod reload;
mod serve;
mod stop;
