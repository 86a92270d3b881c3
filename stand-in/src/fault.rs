//! Faults of one role, shared by its listener, connections and requests.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http::StatusCode;
use tokio::sync::{oneshot, watch};

use crate::{
    control::{Control, Down, NextRequests},
    http::{HttpResponse, refusal},
};

/// How long the first of two responses to be swapped waits for the second.
const SWAP_TIMEOUT: Duration = Duration::from_secs(5);

/// Counter that separates connections accepted before an event from later ones.
pub(crate) type Epoch = u64;

/// Faults that last until they are ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct PersistentFaults {
    pub(crate) slow: Duration,
    pub(crate) down: Option<Down>,
    pub(crate) frozen: bool,
    pub(crate) epoch: Epoch,
    pub(crate) silent_before: Epoch,
    pub(crate) cut_before: Epoch,
    /// Number of changes of `frozen`, so that a timer ends only the freeze that started it.
    freeze_count: u64,
    /// Number of changes of `down`, so that a timer ends only the outage that started it.
    outage_count: u64,
}

/// Faults that apply to a limited number of requests.
#[derive(Debug, Default)]
struct CountedFaults {
    lose: NextRequests,
    delay: NextRequests,
    delay_by: Duration,
    fail: NextRequests,
    fail_status: StatusCode,
    cross: NextRequests,
    duplicate: NextRequests,
    truncate: NextRequests,
    truncate_after: usize,
    pending_swap: Option<PendingSwap>,
}

/// The first of two responses to be swapped, waiting for the second.
#[derive(Debug)]
struct PendingSwap {
    response: HttpResponse,
    swapped: oneshot::Sender<HttpResponse>,
}

/// Counters common to all roles.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) accepted: AtomicU64,
    pub(crate) open: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) crashes: AtomicU64,
}

/// Faults of one role.
#[derive(Debug)]
pub struct Faults {
    pub(crate) persistent: watch::Sender<PersistentFaults>,
    pub(crate) counts: Counts,
    counted: Mutex<CountedFaults>,
    incarnation: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            persistent: watch::Sender::default(),
            counts: Counts::default(),
            counted: Mutex::default(),
            incarnation: AtomicU64::new(unix_micros()),
        }
    }
}

impl Faults {
    /// Returns the incarnation of the role, which identifies its latest start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Closes all connections, refuses new ones for the restart time and starts a new incarnation.
    pub fn crash(&self, restart: Duration) {
        self.counts.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_max(unix_micros(), Ordering::AcqRel);
        self.incarnation.fetch_add(1, Ordering::AcqRel);
        self.take_down(Down::Refuse);
        let outage = self.persistent.borrow().outage_count;
        let persistent = self.persistent.clone();
        tokio::spawn(async move {
            tokio::time::sleep(restart).await;
            persistent.send_if_modified(|l| {
                let own = l.outage_count == outage;
                if own {
                    l.down = None;
                }
                own
            });
        });
    }

    /// Applies a fault; returns `false` if the message is not a fault common to all roles.
    pub(crate) fn apply(&self, control: &Control) -> bool {
        match control {
            Control::Slow { by } => self.persistent.send_modify(|l| l.slow = *by),
            Control::Down { how } => self.take_down(*how),
            Control::Up => self.take_up(),
            Control::Freeze { millis } => self.freeze(millis.map(Duration::from_millis)),
            Control::Thaw => self.thaw(),
            Control::SilenceEstablished => self.persistent.send_modify(|l| {
                l.epoch += 1;
                l.silent_before = l.epoch;
            }),
            Control::Cut => self.persistent.send_modify(cut_connections),
            Control::Heal => self.heal(),
            Control::LoseAnswers { next } => self.counted().lose = next.clone(),
            Control::DelayAnswers { next, by } => {
                let mut counted = self.counted();
                counted.delay = next.clone();
                counted.delay_by = *by;
            }
            Control::FailAnswers { next, status } => {
                let Ok(status) = StatusCode::from_u16(*status) else {
                    return false;
                };
                let mut counted = self.counted();
                counted.fail = next.clone();
                counted.fail_status = status;
            }
            Control::CrossAnswers { next } => self.counted().cross = next.clone(),
            Control::DuplicateAnswers { next } => self.counted().duplicate = next.clone(),
            Control::TruncateAnswers { next, after_bytes } => {
                let mut counted = self.counted();
                counted.truncate = next.clone();
                counted.truncate_after = *after_bytes;
            }
            _ => return false,
        }
        true
    }

    /// Waits until the role is not frozen.
    pub(crate) async fn wait_until_thawed(&self) {
        let mut rx = self.persistent.subscribe();
        let _ = rx.wait_for(|l| !l.frozen).await;
    }

    pub(crate) fn take_lose(&self, path: &str) -> bool {
        self.counted().lose.try_take(path)
    }

    pub(crate) fn take_delay(&self, path: &str) -> Option<Duration> {
        let mut counted = self.counted();
        counted.delay.try_take(path).then_some(counted.delay_by)
    }

    pub(crate) fn take_fail(&self, path: &str) -> Option<StatusCode> {
        let mut counted = self.counted();
        counted.fail.try_take(path).then_some(counted.fail_status)
    }

    pub(crate) fn take_duplicate(&self, path: &str) -> bool {
        self.counted().duplicate.try_take(path)
    }

    pub(crate) fn take_truncate(&self, path: &str) -> Option<usize> {
        let mut counted = self.counted();
        let applies = counted.truncate.try_take(path);
        applies.then_some(counted.truncate_after)
    }

    /// Swaps the response with that of another request if the fault applies to both.
    pub(crate) async fn cross(&self, path: &str, response: HttpResponse) -> HttpResponse {
        let mut rx = {
            let mut counted = self.counted();
            if !counted.cross.try_take(path) {
                return response;
            }
            if let Some(first) = counted.pending_swap.take() {
                return match first.swapped.send(response) {
                    Ok(()) => first.response,
                    Err(own) => own,
                };
            }
            let (tx, rx) = oneshot::channel();
            counted.pending_swap = Some(PendingSwap {
                response,
                swapped: tx,
            });
            rx
        };
        match tokio::time::timeout(SWAP_TIMEOUT, &mut rx).await {
            Ok(Ok(swapped)) => swapped,
            _ => self.withdraw_swap(&mut rx),
        }
    }

    fn withdraw_swap(&self, rx: &mut oneshot::Receiver<HttpResponse>) -> HttpResponse {
        let mut counted = self.counted();
        if let Ok(swapped) = rx.try_recv() {
            return swapped;
        }
        match counted.pending_swap.take() {
            Some(first) => first.response,
            None => refusal(StatusCode::INTERNAL_SERVER_ERROR, "crossed"),
        }
    }

    fn take_down(&self, how: Down) {
        self.persistent.send_modify(|l| {
            l.down = Some(how);
            l.outage_count += 1;
            if how != Down::Unavailable {
                cut_connections(l);
            }
        });
    }

    fn take_up(&self) {
        self.persistent.send_modify(|l| {
            l.down = None;
            l.outage_count += 1;
        });
    }

    fn freeze(&self, limit: Option<Duration>) {
        self.persistent.send_modify(|l| {
            l.frozen = true;
            l.freeze_count += 1;
        });
        let Some(limit) = limit else { return };
        let own = self.persistent.borrow().freeze_count;
        let persistent = self.persistent.clone();
        tokio::spawn(async move {
            tokio::time::sleep(limit).await;
            persistent.send_if_modified(|l| {
                let ends = l.freeze_count == own;
                if ends {
                    l.frozen = false;
                }
                ends
            });
        });
    }

    fn thaw(&self) {
        self.persistent.send_modify(|l| {
            l.frozen = false;
            l.freeze_count += 1;
        });
    }

    fn heal(&self) {
        self.take_up();
        self.thaw();
        self.persistent.send_modify(|l| l.slow = Duration::ZERO);
        let pending_swap = self.counted().pending_swap.take();
        *self.counted() = CountedFaults {
            pending_swap,
            ..CountedFaults::default()
        };
    }

    fn counted(&self) -> MutexGuard<'_, CountedFaults> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NextRequests {
    /// Matches the next requests on any path.
    pub fn any(count: u32) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    /// Matches the next requests whose path starts with `path`.
    pub fn on_path(path: &str, count: u32) -> Self {
        Self {
            count,
            path: path.into(),
        }
    }

    fn try_take(&mut self, path: &str) -> bool {
        let applies = self.count > 0 && path.starts_with(self.path.as_str());
        if applies {
            self.count -= 1;
        }
        applies
    }
}

fn cut_connections(persistent: &mut PersistentFaults) {
    persistent.epoch += 1;
    persistent.cut_before = persistent.epoch;
}

fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
