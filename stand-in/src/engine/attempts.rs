//! Progress of the latest attempts of an engine.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use compact_str::CompactString;
use platform_api::engine::AttemptState;

/// Maximum number of retained attempts.
const MAX_ATTEMPTS: usize = 4096;

/// Offset that marks an attempt as ended.
const ENDED: u32 = u32::MAX;

/// Progress of one attempt, which ends when this value is dropped.
pub(crate) struct Progress(Arc<AtomicU32>);

/// Latest attempts of one incarnation of an engine.
#[derive(Default)]
pub(crate) struct Attempts {
    offsets: HashMap<CompactString, Arc<AtomicU32>>,
    order: VecDeque<CompactString>,
}

impl Attempts {
    pub(crate) fn begin(&mut self, id: &CompactString, offset: u32) -> Progress {
        let progress = Arc::new(AtomicU32::new(offset));
        let known = self.offsets.insert(id.clone(), progress.clone());
        if known.is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.offsets.remove(&oldest);
        }
        Progress(progress)
    }

    pub(crate) fn state(&self, id: &str) -> AttemptState {
        let Some(progress) = self.offsets.get(id) else {
            return AttemptState::Unknown;
        };
        match progress.load(Ordering::Acquire) {
            ENDED => AttemptState::Ended,
            offset => AttemptState::Running { offset },
        }
    }
}

impl Progress {
    pub(crate) fn set(&self, offset: u32) {
        self.0.store(offset, Ordering::Release);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.set(ENDED);
    }
}
