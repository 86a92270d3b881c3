//! Sends the arrivals when they are due, whatever became of earlier ones.

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
    bed::Bed,
    sample::{Outcome, Sample},
    target::Target,
    timeline::Timed,
};

/// The greatest number of requests under way; more are counted as failed by the caller.
const MAX_UNDER_WAY: usize = 4_000;

/// How long answers are waited for after the last arrival.
const PATIENCE: Duration = Duration::from_secs(70);

/// Sends the arrivals and lets the events happen; returns what became of each request.
pub(super) async fn drive(
    bed: &Bed,
    target: &Target,
    arrivals: Vec<Arrival>,
    timeline: Vec<Timed>,
    length: Duration,
) -> Vec<Sample> {
    let start = Instant::now();
    let under_way = Arc::new(AtomicUsize::new(0));
    let requests: FuturesUnordered<_> = arrivals
        .into_iter()
        .map(|arrival| {
            send(
                start,
                target,
                under_way.clone(),
                arrival,
                start + length + PATIENCE,
            )
        })
        .collect();
    let events = async {
        for event in timeline {
            sleep_until(start + event.at).await;
            event.step.apply(bed, target).await;
        }
    };
    let (samples, ()) = futures::join!(requests.collect(), events);
    samples
}

async fn send(
    start: Instant,
    target: &Target,
    under_way: Arc<AtomicUsize>,
    arrival: Arrival,
    until: Instant,
) -> Sample {
    let due = start + arrival.at;
    sleep_until(due).await;
    let outcome = if under_way.fetch_add(1, Ordering::Relaxed) >= MAX_UNDER_WAY {
        Outcome::failed(&"too many under way at the caller")
    } else {
        let answer = timeout_at(until, target.send(&arrival)).await;
        answer.unwrap_or_else(|_| Outcome::failed(&"no end in the run"))
    };
    under_way.fetch_sub(1, Ordering::Relaxed);
    Sample {
        traffic: arrival.traffic,
        at: arrival.at,
        took: due.elapsed(),
        outcome,
    }
}
