//! Tests of gateway processes with stand-ins for the platform.

mod announcements;
mod brittle;
mod endless;
mod faults;
mod harness;
mod heartbeats;
mod input;
mod lost_upstreams;
mod narrow_links;
mod overload;
mod poison;
mod rate_limit;
mod reload;
mod serve;
mod short_silence;
mod shutdown;
mod table_restore;
mod trace;
