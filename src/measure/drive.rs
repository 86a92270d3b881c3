//! Open-loop load generator: sends each request at its scheduled time, regardless of the outcome
//! of earlier requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::measure::{
    arrivals::Arrival,
    harness::Harness,
    sample::{Outcome, Sample},
    target::Target,
    timeline::ScheduledEvent,
};

/// Maximum number of outstanding requests; further ones are not sent and count as failed.
const MAX_OUTSTANDING: usize = 4_000;

/// Maximum time to wait for outstanding requests after arrivals end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(70);

/// Sends the requests and applies the scheduled events; returns one sample per request.
pub(super) async fn drive(
    harness: &Harness,
    target: &Target,
    arrivals: Vec<Arrival>,
    timeline: Vec<ScheduledEvent>,
    duration: Duration,
) -> Vec<Sample> {
    let start = Instant::now();
    let outstanding = Arc::new(AtomicUsize::new(0));
    let requests: FuturesUnordered<_> = arrivals
        .into_iter()
        .map(|arrival| {
            send(
                start,
                target,
                outstanding.clone(),
                arrival,
                start + duration + DRAIN_TIMEOUT,
            )
        })
        .collect();
    let events = async {
        for scheduled in timeline {
            sleep_until(start + scheduled.at).await;
            scheduled.event.apply(harness, target).await;
        }
    };
    let (samples, ()) = futures::join!(requests.collect(), events);
    samples
}

async fn send(
    start: Instant,
    target: &Target,
    outstanding: Arc<AtomicUsize>,
    arrival: Arrival,
    deadline: Instant,
) -> Sample {
    let scheduled_at = start + arrival.at;
    sleep_until(scheduled_at).await;
    let outcome = if outstanding.fetch_add(1, Ordering::Relaxed) >= MAX_OUTSTANDING {
        Outcome::failed(&"too many under way at the caller")
    } else {
        let answer = timeout_at(deadline, target.send(&arrival)).await;
        answer.unwrap_or_else(|_| Outcome::failed(&"no end in the run"))
    };
    outstanding.fetch_sub(1, Ordering::Relaxed);
    Sample {
        traffic: arrival.traffic,
        at: arrival.at,
        latency: scheduled_at.elapsed(),
        outcome,
    }
}
