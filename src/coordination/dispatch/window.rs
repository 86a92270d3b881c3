//! Which engines a daemon of a large fleet uses, so that few daemons share each.
//!
//! Answers the load pattern of many daemons before many engines: what a daemon knows of an engine is
//! only good if it hears of every prompt sent there, and that must not grow with the fleet. Daemons
//! and engines stand on a circle in the order of their hashes; a daemon uses the engines that come
//! next to it. Who joins or leaves shifts the others by less than one place.

/// The engines that a daemon uses.
const WINDOW: usize = 12;

/// A daemon's place among all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The daemons before it.
    pub rank: usize,
    /// The daemons in all.
    pub daemons: usize,
}

impl Seat {
    /// Whether a daemon uses the engine that has `index` among `engines`.
    pub fn uses(self, index: usize, engines: usize) -> bool {
        if engines <= WINDOW {
            return true;
        }
        let first = self.rank * engines / self.daemons.max(1);
        (index + engines - first) % engines < WINDOW
    }
}
