//! The client of the rating service: bounded in time and number, and left alone while it is down.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::rating::{PATH, RateRequest, Rating};
use tokio::sync::Semaphore;

use crate::{
    clock::SharedClock,
    coordination::{
        quality::Subject,
        routing::{Choice, RouteRequest},
    },
    daemon::policy::Policy,
    transport::http_client::{HttpClient, HttpError, Reuse, Step, Timeouts},
};

/// The greatest number of ratings asked for at once.
const MAX_AT_ONCE: usize = 64;

/// The greatest number of answers that wait to be rated later.
const MAX_LATER: usize = 256;

/// The longest answer of the rating service.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The time that a rating is expected to take before any is known.
const PRIOR: Duration = Duration::from_millis(20);

/// The weight of the newest time in the moving average.
const WEIGHT: f64 = 0.1;

/// The consecutive failures after which the service is left alone.
const FAILURES_TO_OPEN: u32 = 3;

/// How long it is left alone.
const OPEN: Duration = Duration::from_secs(1);

/// The pause between two tries to rate an answer that must be rated in the end.
const LATER_PAUSE: Duration = Duration::from_secs(2);

/// How often such an answer is tried.
const LATER_TRIES: u32 = 150;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(100),
    head: Duration::from_millis(300),
    chunk: Duration::from_millis(300),
};

/// Why an answer was not rated.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum RateError {
    /// The service is left alone after failures, or too many ratings are under way.
    #[error("rating not asked for")]
    NotAsked,
    /// The exchange failed.
    #[error("rating: {0}")]
    Http(#[from] HttpError),
    /// The answer could not be used.
    #[error("rating {peer}: {reason}")]
    Answer {
        /// The service's address.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

#[derive(Debug)]
struct Record {
    mean: Duration,
    failures: u32,
    open_until: Option<Instant>,
}

/// The client of the rating service.
pub(super) struct Rater {
    http: HttpClient,
    at_once: Semaphore,
    later: Arc<Semaphore>,
    record: Mutex<Record>,
}

impl Rater {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
            at_once: Semaphore::new(MAX_AT_ONCE),
            later: Arc::new(Semaphore::new(MAX_LATER)),
            record: Mutex::new(Record {
                mean: PRIOR,
                failures: 0,
                open_until: None,
            }),
        }
    }

    /// The time that a rating takes, or `None` while the service is left alone.
    pub(super) fn expected(&self, now: Instant) -> Option<Duration> {
        let record = self.record();
        let closed = record.open_until.is_none_or(|until| now >= until);
        closed.then_some(record.mean)
    }

    /// Asks once.
    async fn rate(&self, clock: &SharedClock, req: &RateRequest) -> Result<f64, RateError> {
        let started = clock.now();
        if self.expected(started).is_none() {
            return Err(RateError::NotAsked);
        }
        let Ok(_permit) = self.at_once.try_acquire() else {
            return Err(RateError::NotAsked);
        };
        let rated = self.exchange(req).await;
        self.note(clock.now(), started, rated.is_ok());
        rated
    }

    async fn exchange(&self, req: &RateRequest) -> Result<f64, RateError> {
        let body = Bytes::from(serde_json::to_vec(req).map_err(|e| self.nonsense(&e))?);
        let mut exchange = match self.send(body.clone(), Reuse::Idle).await {
            Err(RateError::Http(e)) if e.timed_out && e.step == Step::Head => {
                self.send(body, Reuse::Fresh).await?
            }
            other => other?,
        };
        if exchange.status() != StatusCode::OK {
            return Err(self.nonsense(&exchange.status()));
        }
        let body = exchange.bytes(MAX_BODY_BYTES).await?;
        let rating: Rating = serde_json::from_slice(&body).map_err(|e| self.nonsense(&e))?;
        if !(0.0..=1.0).contains(&rating.quality) {
            return Err(self.nonsense(&"quality out of range"));
        }
        Ok(rating.quality)
    }

    async fn send(
        &self,
        body: Bytes,
        reuse: Reuse,
    ) -> Result<crate::transport::http_client::Exchange, RateError> {
        let req = Request::post(PATH)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| self.nonsense(&e))?;
        Ok(self.http.send(req, reuse, TIMEOUTS).await?)
    }

    fn note(&self, now: Instant, started: Instant, succeeded: bool) {
        let mut record = self.record();
        if succeeded {
            let took = now.saturating_duration_since(started);
            record.mean = record.mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
            record.failures = 0;
            record.open_until = None;
            return;
        }
        record.failures += 1;
        if record.failures >= FAILURES_TO_OPEN {
            record.open_until = Some(now + OPEN);
        }
    }

    fn nonsense(&self, reason: &dyn ToString) -> RateError {
        RateError::Answer {
            peer: self.http.peer(),
            reason: reason.to_string(),
        }
    }

    fn record(&self) -> std::sync::MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Policy {
    /// Has an answer rated and learns from it; `None` if it can't be rated now.
    pub async fn rate(
        self: &Arc<Self>,
        route: &RouteRequest,
        choice: &Choice,
        prompt: &str,
        answer: &str,
    ) -> Option<f64> {
        let subject = Subject {
            rule: route.rule.clone(),
            version: choice.version.clone(),
            class: choice.class,
        };
        let Some(rater) = &self.rater else {
            self.lock().trials.settled(&choice.version);
            return None;
        };
        let req = RateRequest {
            request_id: route.request_id.clone(),
            version: choice.version.clone(),
            prompt: prompt.into(),
            answer: answer.into(),
        };
        match rater.rate(&self.core.clock, &req).await {
            Ok(quality) => {
                self.learn(subject, quality);
                Some(quality)
            }
            Err(_) => {
                self.rate_later(rater, subject, req);
                None
            }
        }
    }

    /// Keeps the answer of a version on trial until it is rated; others are let go.
    fn rate_later(self: &Arc<Self>, rater: &Rater, subject: Subject, req: RateRequest) {
        let on_trial = self.lock().trials.on_trial(&subject.version);
        let place = rater.later.clone().try_acquire_owned();
        let (true, Ok(place)) = (on_trial, place) else {
            self.lock().trials.settled(&subject.version);
            return;
        };
        let policy = Arc::downgrade(self);
        tokio::spawn(async move {
            let _place = place;
            for _ in 0..LATER_TRIES {
                tokio::time::sleep(LATER_PAUSE).await;
                let Some(policy) = policy.upgrade() else {
                    return;
                };
                let Some(rater) = &policy.rater else {
                    return;
                };
                if let Ok(quality) = rater.rate(&policy.core.clock, &req).await {
                    policy.learn(subject, quality);
                    return;
                }
            }
        });
    }

    fn learn(&self, subject: Subject, quality: f64) {
        let snapshot = self.core.snapshot();
        let rule = snapshot.objects.rules.get(&subject.rule);
        let passed = rule.is_some_and(|rule| quality >= rule.quality);
        let now = self.core.clock.now();
        let (verdict, urgent) = {
            let mut state = self.lock();
            let urgent = state.trials.on_trial(&subject.version);
            let verdict = state.rated(now, &snapshot.objects, subject, passed);
            (verdict, urgent)
        };
        if let Some(verdict) = &verdict {
            self.judged(verdict);
        }
        if urgent || verdict.is_some() {
            self.news.notify_one();
        }
    }
}
