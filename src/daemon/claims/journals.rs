//! Cache of the claim journals of other incarnations.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{coordination::claims::JournalView, protocol::home_key::Home};

/// Maximum number of cached journals.
const MAX_CACHED_JOURNALS: usize = 8;
/// Maximum age of a cached journal that is incomplete and may still grow.
const MAX_INCOMPLETE_AGE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CachedJournal {
    home: Home,
    view: Arc<JournalView>,
    read_at: Instant,
}

/// The most recently read journals.
#[derive(Debug, Default)]
pub(super) struct JournalCache(Mutex<VecDeque<CachedJournal>>);

impl JournalCache {
    pub(super) fn get(&self, home: &Home, now: Instant) -> Option<Arc<JournalView>> {
        let journals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let journal = journals.iter().find(|j| j.belongs_to(home))?;
        let is_fresh = journal.view.is_complete() || now < journal.read_at + MAX_INCOMPLETE_AGE;
        is_fresh.then(|| journal.view.clone())
    }

    pub(super) fn put(&self, home: Home, view: Arc<JournalView>, now: Instant) {
        let mut journals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        journals.retain(|j| !j.belongs_to(&home));
        if journals.len() == MAX_CACHED_JOURNALS {
            journals.pop_front();
        }
        journals.push_back(CachedJournal {
            home,
            view,
            read_at: now,
        });
    }
}

impl CachedJournal {
    fn belongs_to(&self, home: &Home) -> bool {
        self.home.daemon == home.daemon && self.home.incarnation == home.incarnation
    }
}
