//! Tests of the gateway's decisions in virtual time.

mod announcements;
mod brittle;
mod cold;
mod crash_storm;
mod escalation;
mod fanout;
mod fleet;
mod herd;
mod orders;
mod overload;
mod overload_fleet;
mod placement;
mod poison;
mod polling;
mod prefill_queue;
mod prefill_speed;
mod prefix_homes;
mod rate_limit;
mod reachability;
mod retry_budget;
mod rollout;
mod rollout_conflict;
mod routes;
mod support;
mod table_outage;
mod table_restore;
