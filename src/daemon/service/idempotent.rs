//! Idempotent calls: a silent connection or a failed replica costs a second try, not the call.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::StatusCode;
use tokio::time::timeout;

use super::{
    Call, ServiceAnswer, Services,
    attempt::{AttemptError, CONNECT_TIMEOUT, answer, request},
    upstreams::{NoPlace, Place},
};
use crate::{
    protocol::problem::{Refusal, RefusalKind},
    state::objects::UpstreamName,
    transport::http_client::{HttpClient, Reuse, Timeouts},
};

/// The greatest number of tries of one call.
const MAX_TRIES: usize = 3;
/// How long a try may be silent before another one starts beside it.
const SILENCE: Duration = Duration::from_millis(900);
/// The greatest number of extra tries saved up.
const MAX_SAVED: f64 = 64.0;
/// The extra tries that each call adds.
const EARNED_BY_CALL: f64 = 0.2;

/// Bounds the extra tries to a part of all calls.
#[derive(Debug)]
pub(super) struct Budget(Mutex<f64>);

impl Default for Budget {
    fn default() -> Self {
        Self(Mutex::new(MAX_SAVED))
    }
}

impl Budget {
    fn earn(&self) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED_BY_CALL).min(MAX_SAVED);
    }

    fn spend(&self) -> bool {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let enough = *saved >= 1.0;
        if enough {
            *saved -= 1.0;
        }
        enough
    }
}

type Tried = Result<ServiceAnswer, AttemptError>;

/// The tries of one call so far.
struct Tries<'a> {
    running: FuturesUnordered<BoxFuture<'a, Tried>>,
    used: Vec<UpstreamName>,
    clients: Vec<HttpClient>,
    maybe_sent: usize,
    last_error: Option<AttemptError>,
    unavailable: Option<ServiceAnswer>,
}

impl Services {
    pub(super) async fn serve_idempotent(&self, call: &Call) -> Result<ServiceAnswer, Refusal> {
        self.hedges.earn();
        let service = &call.asked.service;
        let first = self.upstreams.wait(service, &[], call.deadline).await;
        let first = first.map_err(no_place)?;
        let mut tries = Tries {
            running: FuturesUnordered::new(),
            used: Vec::new(),
            clients: Vec::new(),
            maybe_sent: 0,
            last_error: None,
            unavailable: None,
        };
        self.start(call, &mut tries, first, Reuse::Idle, "first");
        loop {
            let left = self.time_left(call);
            if left.is_zero() {
                return Err(tries.refusal(RefusalKind::DeadlineExceeded));
            }
            let more = tries.used.len() < MAX_TRIES;
            let wait = if more { left.min(SILENCE) } else { left };
            match timeout(wait, tries.running.next()).await {
                Ok(Some(tried)) => {
                    if let Some(answer) = tries.take(tried) {
                        return Ok(answer);
                    }
                    self.try_again(call, &mut tries, "failed");
                }
                Ok(None) => return tries.finish(),
                Err(_) if more => {
                    tries.clients.iter().for_each(HttpClient::drop_idle);
                    self.try_again(call, &mut tries, "silent");
                }
                Err(_) => {}
            }
        }
    }

    /// Starts one more try, on a new connection and if possible at another upstream.
    fn try_again<'a>(&'a self, call: &'a Call, tries: &mut Tries<'a>, reason: &str) {
        if tries.used.len() >= MAX_TRIES {
            return;
        }
        let Ok(place) = self.upstreams.take(&call.asked.service, &tries.used) else {
            return;
        };
        if !self.hedges.spend() {
            self.decide(
                call,
                "retry",
                format_args!("refused=budget reason={reason}"),
            );
            return;
        }
        self.start(call, tries, place, Reuse::Fresh, reason);
    }

    fn start<'a>(
        &'a self,
        call: &'a Call,
        tries: &mut Tries<'a>,
        place: Place,
        reuse: Reuse,
        reason: &str,
    ) {
        let number = tries.used.len();
        let upstream = &place.upstream;
        self.decide(
            call,
            "route",
            format_args!("upstream={upstream} try={number} reason={reason}"),
        );
        tries.used.push(upstream.clone());
        tries.clients.push(place.http.clone());
        tries.maybe_sent += 1;
        let tried = async move { self.exchange(call, &place, reuse).await };
        tries.running.push(tried.boxed());
    }

    async fn exchange(
        &self,
        call: &Call,
        place: &Place,
        reuse: Reuse,
    ) -> Result<ServiceAnswer, AttemptError> {
        if !self.upstreams.still_in_service(place) {
            return Err(AttemptError::OutOfService);
        }
        let attempt = self.next_attempt();
        let req = request(&call.asked, &attempt)?;
        let left = self.time_left(call);
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: left,
            chunk: left,
        };
        let mut exchange = place.http.send(req, reuse, timeouts).await?;
        answer(&mut exchange, &attempt).await
    }
}

impl Tries<'_> {
    /// The answer, unless the try failed in a way that another one may mend.
    fn take(&mut self, tried: Tried) -> Option<ServiceAnswer> {
        match tried {
            Ok(answer) if is_unavailable(answer.status) => {
                self.unavailable = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(e) => {
                if e.not_run() {
                    self.maybe_sent -= 1;
                }
                self.last_error = Some(e);
                None
            }
        }
    }

    fn finish(self) -> Result<ServiceAnswer, Refusal> {
        match self.unavailable {
            Some(answer) => Ok(answer),
            None => Err(self.refusal(RefusalKind::UpstreamFailed)),
        }
    }

    fn refusal(&self, kind: RefusalKind) -> Refusal {
        let detail = self
            .last_error
            .as_ref()
            .map_or_else(|| "no answer in time".to_owned(), ToString::to_string);
        let refusal = if self.maybe_sent == 0 {
            Refusal::not_run(kind, "dispatch", detail)
        } else {
            Refusal::unknown(kind, "dispatch", detail)
        };
        let refusal = refusal.retry_after(Duration::from_secs(1));
        match self.used.last() {
            Some(upstream) => refusal.with_peer(upstream.clone()),
            None => refusal,
        }
    }
}

/// Whether an answer says that another replica may do better.
fn is_unavailable(status: u16) -> bool {
    let unavailable = [
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    unavailable.iter().any(|s| s.as_u16() == status)
}

/// The refusal of a call that found no upstream.
pub(super) fn no_place(reason: NoPlace) -> Refusal {
    let (kind, detail) = match reason {
        NoPlace::NoneInService => (RefusalKind::NoUpstream, "no upstream is in service"),
        NoPlace::Full => (
            RefusalKind::Overloaded,
            "too many calls wait for the service",
        ),
        NoPlace::Late => (
            RefusalKind::DeadlineExceeded,
            "no upstream was free in time",
        ),
    };
    Refusal::not_run(kind, "route", detail).retry_after(Duration::from_secs(1))
}
