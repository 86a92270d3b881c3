//! A small cache of other incarnations' claim journals.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{coordination::claims::JournalView, protocol::home_key::Home};

/// The greatest number of journals kept.
const MAX_JOURNALS: usize = 8;
/// How long a journal that may grow is kept.
const STALE_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Cached {
    home: Home,
    view: Arc<JournalView>,
    read_at: Instant,
}

/// The journals read last.
#[derive(Debug, Default)]
pub(super) struct Journals(Mutex<VecDeque<Cached>>);

impl Journals {
    pub(super) fn get(&self, home: &Home, now: Instant) -> Option<Arc<JournalView>> {
        let cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = cached.iter().find(|c| c.is_of(home))?;
        let usable = found.view.is_complete() || now < found.read_at + STALE_AFTER;
        usable.then(|| found.view.clone())
    }

    pub(super) fn put(&self, home: Home, view: Arc<JournalView>, now: Instant) {
        let mut cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        cached.retain(|c| !c.is_of(&home));
        if cached.len() == MAX_JOURNALS {
            cached.pop_front();
        }
        cached.push_back(Cached {
            home,
            view,
            read_at: now,
        });
    }
}

impl Cached {
    fn is_of(&self, home: &Home) -> bool {
        self.home.daemon == home.daemon && self.home.incarnation == home.incarnation
    }
}
