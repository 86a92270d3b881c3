//! Client for the rating service, with timeouts, a concurrency limit and a circuit breaker.

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

/// Maximum number of concurrent rating requests.
const MAX_CONCURRENT_RATINGS: usize = 64;

/// Maximum number of answers whose rating is deferred.
const MAX_DEFERRED_RATINGS: usize = 256;

/// Maximum size of a response body from the rating service.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Expected latency of a rating before any has been measured.
const INITIAL_MEAN: Duration = Duration::from_millis(20);

/// Weight of the latest sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Number of consecutive failures that open the circuit.
const FAILURES_TO_OPEN_CIRCUIT: u32 = 3;

/// How long the circuit stays open after the last failure.
const CIRCUIT_OPEN_TIME: Duration = Duration::from_secs(1);

/// Delay before each attempt of a deferred rating.
const DEFERRED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of attempts of a deferred rating.
const MAX_DEFERRED_ATTEMPTS: u32 = 150;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(100),
    head: Duration::from_millis(300),
    chunk: Duration::from_millis(300),
};

/// Why an answer was not rated.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum RateError {
    /// The circuit is open after failures, or too many rating requests are in flight.
    #[error("no rating requested: the circuit is open or too many requests are in flight")]
    NotAttempted,
    /// The HTTP exchange failed.
    #[error("rating: {0}")]
    Http(#[from] HttpError),
    /// The response was invalid.
    #[error("invalid response from rating service {peer}: {reason}")]
    InvalidResponse {
        /// Address of the rating service.
        peer: SocketAddr,
        /// Why the response is invalid.
        reason: String,
    },
}

#[derive(Debug)]
struct CircuitState {
    mean_latency: Duration,
    consecutive_failures: u32,
    open_until: Option<Instant>,
}

/// Client for the rating service.
pub(super) struct RatingClient {
    http: HttpClient,
    concurrent: Semaphore,
    deferred: Arc<Semaphore>,
    circuit: Mutex<CircuitState>,
}

impl RatingClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
            concurrent: Semaphore::new(MAX_CONCURRENT_RATINGS),
            deferred: Arc::new(Semaphore::new(MAX_DEFERRED_RATINGS)),
            circuit: Mutex::new(CircuitState {
                mean_latency: INITIAL_MEAN,
                consecutive_failures: 0,
                open_until: None,
            }),
        }
    }

    /// Returns the mean latency of a rating, or `None` while the circuit is open.
    pub(super) fn expected_latency(&self, now: Instant) -> Option<Duration> {
        let circuit = self.circuit();
        let is_closed = circuit.open_until.is_none_or(|until| now >= until);
        is_closed.then_some(circuit.mean_latency)
    }

    /// Sends a single rating request.
    async fn rate(&self, clock: &SharedClock, req: &RateRequest) -> Result<f64, RateError> {
        let started = clock.now();
        if self.expected_latency(started).is_none() {
            return Err(RateError::NotAttempted);
        }
        let Ok(_permit) = self.concurrent.try_acquire() else {
            return Err(RateError::NotAttempted);
        };
        let result = self.exchange(req).await;
        self.record_result(clock.now(), started, result.is_ok());
        result
    }

    async fn exchange(&self, req: &RateRequest) -> Result<f64, RateError> {
        let body = Bytes::from(serde_json::to_vec(req).map_err(|e| self.invalid_response(&e))?);
        let mut exchange = match self.send(body.clone(), Reuse::Idle).await {
            Err(RateError::Http(e)) if e.timed_out && e.step == Step::Head => {
                self.send(body, Reuse::Fresh).await?
            }
            other => other?,
        };
        if exchange.status() != StatusCode::OK {
            return Err(self.invalid_response(&exchange.status()));
        }
        let body = exchange.bytes(MAX_RESPONSE_BYTES).await?;
        let rating: Rating =
            serde_json::from_slice(&body).map_err(|e| self.invalid_response(&e))?;
        if !(0.0..=1.0).contains(&rating.quality) {
            return Err(self.invalid_response(&"quality is not between 0 and 1"));
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
            .map_err(|e| self.invalid_response(&e))?;
        Ok(self.http.send(req, reuse, TIMEOUTS).await?)
    }

    fn record_result(&self, now: Instant, started: Instant, succeeded: bool) {
        let mut circuit = self.circuit();
        if succeeded {
            let elapsed = now.saturating_duration_since(started);
            circuit.mean_latency = circuit.mean_latency.mul_f64(1.0 - SMOOTHING_FACTOR)
                + elapsed.mul_f64(SMOOTHING_FACTOR);
            circuit.consecutive_failures = 0;
            circuit.open_until = None;
            return;
        }
        circuit.consecutive_failures += 1;
        if circuit.consecutive_failures >= FAILURES_TO_OPEN_CIRCUIT {
            circuit.open_until = Some(now + CIRCUIT_OPEN_TIME);
        }
    }

    fn invalid_response(&self, reason: &dyn ToString) -> RateError {
        RateError::InvalidResponse {
            peer: self.http.peer(),
            reason: reason.to_string(),
        }
    }

    fn circuit(&self) -> std::sync::MutexGuard<'_, CircuitState> {
        self.circuit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Policy {
    /// Requests a rating of an answer and records it; returns `None` if it can't be rated now.
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
                self.record_quality(subject, quality);
                Some(quality)
            }
            Err(_) => {
                self.defer_rating(rater, subject, req);
                None
            }
        }
    }

    /// Retries the rating in the background if the version is on trial; drops it otherwise.
    fn defer_rating(self: &Arc<Self>, rater: &RatingClient, subject: Subject, req: RateRequest) {
        let on_trial = self.lock().trials.on_trial(&subject.version);
        let deferred_permit = rater.deferred.clone().try_acquire_owned();
        let (true, Ok(deferred_permit)) = (on_trial, deferred_permit) else {
            self.lock().trials.settled(&subject.version);
            return;
        };
        let policy = Arc::downgrade(self);
        tokio::spawn(async move {
            let _deferred_permit = deferred_permit;
            for _ in 0..MAX_DEFERRED_ATTEMPTS {
                tokio::time::sleep(DEFERRED_RETRY_DELAY).await;
                let Some(policy) = policy.upgrade() else {
                    return;
                };
                let Some(rater) = &policy.rater else {
                    return;
                };
                if let Ok(quality) = rater.rate(&policy.core.clock, &req).await {
                    policy.record_quality(subject, quality);
                    return;
                }
            }
        });
    }

    fn record_quality(&self, subject: Subject, quality: f64) {
        let snapshot = self.core.snapshot();
        let rule = snapshot.objects.rules.get(&subject.rule);
        let passed = rule.is_some_and(|rule| quality >= rule.quality);
        let now = self.core.clock.now();
        let (verdict, urgent) = {
            let mut state = self.lock();
            let urgent = state.trials.on_trial(&subject.version);
            let verdict = state.record_rating(now, &snapshot.objects, subject, passed);
            (verdict, urgent)
        };
        if let Some(verdict) = &verdict {
            self.log_verdict(verdict);
        }
        if urgent || verdict.is_some() {
            self.outbox_ready.notify_one();
        }
    }
}
