//! Value whose writes become visible to readers after a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of pending values; further writes within one lag replace the newest of them.
const MAX_STATES: usize = 256;

/// Value that readers see as it was one lag ago.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    lag: Duration,
    visible: T,
    pending: VecDeque<Pending<T>>,
}

#[derive(Debug)]
struct Pending<T> {
    written_at: Instant,
    value: T,
}

impl<T: Clone> Lagging<T> {
    pub(crate) fn new(lag: Duration, value: T) -> Self {
        Self {
            lag,
            visible: value,
            pending: VecDeque::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn write(&mut self, now: Instant, value: T) {
        self.apply_elapsed(now);
        let full = self.pending.len() >= MAX_STATES;
        match self.pending.back_mut() {
            Some(last) if full => last.value = value,
            _ => self.pending.push_back(Pending {
                written_at: now,
                value,
            }),
        }
    }

    pub(crate) fn read(&mut self, now: Instant) -> T {
        self.apply_elapsed(now);
        self.visible.clone()
    }

    fn apply_elapsed(&mut self, now: Instant) {
        while let Some(first) = self.pending.front()
            && now.duration_since(first.written_at) >= self.lag
        {
            if let Some(first) = self.pending.pop_front() {
                self.visible = first.value;
            }
        }
    }
}
