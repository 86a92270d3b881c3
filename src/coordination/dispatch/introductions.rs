//! Answers to the first heartbeat of another daemon.
//!
//! Load pattern: all daemons of a large fleet restart at once. If each answered every new daemon at once,
//! hundreds of datagrams would reach a daemon together, and those that do not fit into its socket's
//! buffer are lost. The answers are therefore spread over time.

use std::time::Duration;

use rand::Rng;

use crate::coordination::dispatch::Dispatcher;

impl Dispatcher {
    /// Returns the time after which to answer a daemon that was heard of for the first time.
    pub fn introduction_delay(&mut self) -> Duration {
        match self.is_large_fleet() {
            true => self.peers.spread_over_fleet().mul_f64(self.rng.random()),
            false => Duration::ZERO,
        }
    }
}
