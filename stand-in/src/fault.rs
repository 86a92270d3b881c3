//! The faults of one role, shared by its listener, its connections and its requests.

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
    control::{Control, Down, Next},
    http::{Answer, refusal},
};

/// How long the first of two crossed answers waits for the second.
const CROSS_WAIT: Duration = Duration::from_secs(5);

/// Counts events that part old connections from new ones.
pub(crate) type Epoch = u64;

/// The faults that last until they are ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lasting {
    pub(crate) slow: Duration,
    pub(crate) down: Option<Down>,
    pub(crate) frozen: bool,
    pub(crate) epoch: Epoch,
    pub(crate) silent_before: Epoch,
    pub(crate) cut_before: Epoch,
    /// Counts changes of `frozen`, so that a timer ends only its own freeze.
    freezes: u64,
    /// Counts changes of `down`, so that a timer ends only its own outage.
    outages: u64,
}

/// The faults that strike a number of requests.
#[derive(Debug, Default)]
struct Striking {
    lose: Next,
    delay: Next,
    delay_by: Duration,
    cross: Next,
    duplicate: Next,
    truncate: Next,
    truncate_after: usize,
    crossed: Option<Crossed>,
}

/// The first of two crossed answers, waiting for the second.
#[derive(Debug)]
struct Crossed {
    answer: Answer,
    swapped: oneshot::Sender<Answer>,
}

/// Counts that all roles record.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) accepted: AtomicU64,
    pub(crate) open: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) crashes: AtomicU64,
}

/// The faults of one role.
#[derive(Debug)]
pub struct Faults {
    pub(crate) lasting: watch::Sender<Lasting>,
    pub(crate) counts: Counts,
    striking: Mutex<Striking>,
    incarnation: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            lasting: watch::Sender::default(),
            counts: Counts::default(),
            striking: Mutex::default(),
            incarnation: AtomicU64::new(wall_micros()),
        }
    }
}

impl Faults {
    /// Which start of the role this is.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Closes all connections, refuses new ones for a while and begins a new incarnation.
    pub fn crash(&self, restart: Duration) {
        self.counts.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_max(wall_micros(), Ordering::AcqRel);
        self.incarnation.fetch_add(1, Ordering::AcqRel);
        self.take_down(Down::Refuse);
        let outage = self.lasting.borrow().outages;
        let lasting = self.lasting.clone();
        tokio::spawn(async move {
            tokio::time::sleep(restart).await;
            lasting.send_if_modified(|l| {
                let own = l.outages == outage;
                if own {
                    l.down = None;
                }
                own
            });
        });
    }

    /// Applies a fault; `false` if the message is not about faults of all roles.
    pub(crate) fn apply(&self, control: &Control) -> bool {
        match control {
            Control::Slow { by } => self.lasting.send_modify(|l| l.slow = *by),
            Control::Down { how } => self.take_down(*how),
            Control::Up => self.take_up(),
            Control::Freeze { millis } => self.freeze(millis.map(Duration::from_millis)),
            Control::Thaw => self.thaw(),
            Control::SilenceEstablished => self.lasting.send_modify(|l| {
                l.epoch += 1;
                l.silent_before = l.epoch;
            }),
            Control::Cut => self.lasting.send_modify(cut),
            Control::Heal => self.heal(),
            Control::LoseAnswers { next } => self.striking().lose = next.clone(),
            Control::DelayAnswers { next, by } => {
                let mut striking = self.striking();
                striking.delay = next.clone();
                striking.delay_by = *by;
            }
            Control::CrossAnswers { next } => self.striking().cross = next.clone(),
            Control::DuplicateAnswers { next } => self.striking().duplicate = next.clone(),
            Control::TruncateAnswers { next, after_bytes } => {
                let mut striking = self.striking();
                striking.truncate = next.clone();
                striking.truncate_after = *after_bytes;
            }
            _ => return false,
        }
        true
    }

    /// Ends when the role is not frozen.
    pub(crate) async fn thawed(&self) {
        let mut rx = self.lasting.subscribe();
        let _ = rx.wait_for(|l| !l.frozen).await;
    }

    pub(crate) fn take_lose(&self, path: &str) -> bool {
        self.striking().lose.strikes(path)
    }

    pub(crate) fn take_delay(&self, path: &str) -> Option<Duration> {
        let mut striking = self.striking();
        striking.delay.strikes(path).then_some(striking.delay_by)
    }

    pub(crate) fn take_duplicate(&self, path: &str) -> bool {
        self.striking().duplicate.strikes(path)
    }

    pub(crate) fn take_truncate(&self, path: &str) -> Option<usize> {
        let mut striking = self.striking();
        let strikes = striking.truncate.strikes(path);
        strikes.then_some(striking.truncate_after)
    }

    /// Swaps the answer for that of another request if the fault strikes both.
    pub(crate) async fn cross(&self, path: &str, answer: Answer) -> Answer {
        let mut rx = {
            let mut striking = self.striking();
            if !striking.cross.strikes(path) {
                return answer;
            }
            if let Some(first) = striking.crossed.take() {
                return match first.swapped.send(answer) {
                    Ok(()) => first.answer,
                    Err(own) => own,
                };
            }
            let (tx, rx) = oneshot::channel();
            striking.crossed = Some(Crossed {
                answer,
                swapped: tx,
            });
            rx
        };
        match tokio::time::timeout(CROSS_WAIT, &mut rx).await {
            Ok(Ok(swapped)) => swapped,
            _ => self.uncrossed(&mut rx),
        }
    }

    fn uncrossed(&self, rx: &mut oneshot::Receiver<Answer>) -> Answer {
        let mut striking = self.striking();
        if let Ok(swapped) = rx.try_recv() {
            return swapped;
        }
        match striking.crossed.take() {
            Some(first) => first.answer,
            None => refusal(StatusCode::INTERNAL_SERVER_ERROR, "crossed"),
        }
    }

    fn take_down(&self, how: Down) {
        self.lasting.send_modify(|l| {
            l.down = Some(how);
            l.outages += 1;
            if how != Down::Unavailable {
                cut(l);
            }
        });
    }

    fn take_up(&self) {
        self.lasting.send_modify(|l| {
            l.down = None;
            l.outages += 1;
        });
    }

    fn freeze(&self, limit: Option<Duration>) {
        self.lasting.send_modify(|l| {
            l.frozen = true;
            l.freezes += 1;
        });
        let Some(limit) = limit else { return };
        let own = self.lasting.borrow().freezes;
        let lasting = self.lasting.clone();
        tokio::spawn(async move {
            tokio::time::sleep(limit).await;
            lasting.send_if_modified(|l| {
                let ends = l.freezes == own;
                if ends {
                    l.frozen = false;
                }
                ends
            });
        });
    }

    fn thaw(&self) {
        self.lasting.send_modify(|l| {
            l.frozen = false;
            l.freezes += 1;
        });
    }

    fn heal(&self) {
        self.take_up();
        self.thaw();
        self.lasting.send_modify(|l| l.slow = Duration::ZERO);
        let crossed = self.striking().crossed.take();
        *self.striking() = Striking {
            crossed,
            ..Striking::default()
        };
    }

    fn striking(&self) -> MutexGuard<'_, Striking> {
        self.striking.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Next {
    /// The next requests on any path.
    pub fn any(count: u32) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    /// The next requests whose path begins with `path`.
    pub fn on(path: &str, count: u32) -> Self {
        Self {
            count,
            path: path.into(),
        }
    }

    fn strikes(&mut self, path: &str) -> bool {
        let strikes = self.count > 0 && path.starts_with(self.path.as_str());
        if strikes {
            self.count -= 1;
        }
        strikes
    }
}

fn cut(lasting: &mut Lasting) {
    lasting.epoch += 1;
    lasting.cut_before = lasting.epoch;
}

fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
