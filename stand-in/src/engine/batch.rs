//! Continuous batching: a fixed number of slots and a bounded priority queue.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Priority of a request; larger values run first.
pub(crate) type Priority = u32;

/// Slots and queue of one incarnation of an engine.
pub(crate) struct Batch {
    slots: u32,
    waiting_limit: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: u32,
    peak: u32,
    next_arrival: u64,
    waiting: BTreeMap<QueuePosition, oneshot::Sender<Slot>>,
}

/// Position in the queue: ordered by priority, then by arrival.
type QueuePosition = (Reverse<Priority>, u64);

/// Error: all slots are taken and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueFull;

/// A slot, released when this value is dropped.
pub(crate) struct Slot {
    batch: Option<Arc<Batch>>,
}

/// A queued request, removed from the queue when this value is dropped.
struct Waiter {
    batch: Arc<Batch>,
    position: QueuePosition,
    rx: oneshot::Receiver<Slot>,
}

impl Batch {
    pub(crate) fn new(slots: u32, waiting_limit: usize) -> Self {
        Self {
            slots,
            waiting_limit,
            state: Mutex::default(),
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.state().running
    }

    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(self.state().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns the maximum number of concurrently running requests so far.
    pub(crate) fn peak(&self) -> u32 {
        self.state().peak
    }

    /// Waits for a slot, unless the queue is full.
    pub(crate) async fn enter(self: &Arc<Self>, priority: Priority) -> Result<Slot, QueueFull> {
        let mut waiter = match self.try_enter(priority)? {
            Entry::Slot(slot) => return Ok(slot),
            Entry::Wait(waiter) => waiter,
        };
        (&mut waiter.rx).await.map_err(|_| QueueFull)
    }

    fn try_enter(self: &Arc<Self>, priority: Priority) -> Result<Entry, QueueFull> {
        let mut state = self.state();
        if state.running < self.slots {
            state.running += 1;
            state.peak = state.peak.max(state.running);
            return Ok(Entry::Slot(Slot::new(self.clone())));
        }
        if state.waiting.len() >= self.waiting_limit {
            return Err(QueueFull);
        }
        let position = (Reverse(priority), state.next_arrival);
        state.next_arrival += 1;
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(position, tx);
        Ok(Entry::Wait(Waiter {
            batch: self.clone(),
            position,
            rx,
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the slot to the first request in the queue that is still waiting.
    fn release(self: &Arc<Self>) {
        loop {
            let first = {
                let mut state = self.state();
                match state.waiting.pop_first() {
                    Some((_, tx)) => tx,
                    None => {
                        state.running -= 1;
                        return;
                    }
                }
            };
            let Err(slot) = first.send(Slot::new(self.clone())) else {
                return;
            };
            slot.disarm();
        }
    }
}

enum Entry {
    Slot(Slot),
    Wait(Waiter),
}

impl Slot {
    fn new(batch: Arc<Batch>) -> Self {
        Self { batch: Some(batch) }
    }

    /// Returns the number of requests that run on the engine now.
    pub(crate) fn running(&self) -> u32 {
        self.batch.as_ref().map_or(0, |b| b.running())
    }

    fn disarm(mut self) {
        self.batch = None;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.release();
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.batch.state().waiting.remove(&self.position);
    }
}
