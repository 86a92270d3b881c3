//! Tests of gateway processes with stand-ins for the platform.

mod announcements;
mod brittle;
mod earlier_builds;
mod endless;
mod explain;
mod faults;
mod faulty_answers;
mod harness;
mod heartbeats;
mod input;
mod lost_polls;
mod lost_upstreams;
mod narrow_links;
mod odd_rows;
mod overload;
mod poison;
mod rate_limit;
mod reload;
mod send_budget;
mod serve;
mod short_silence;
mod shutdown;
mod silent_links;
mod slow_readers;
mod table_restore;
mod trace;
