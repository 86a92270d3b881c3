//! What the fleet bears: answers a second in time, with as many callers as there are places.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::Instant;

use crate::{
    local::LocalError,
    measure::{
        Plan,
        arrivals::arrivals,
        harness::Harness,
        sample::Outcome,
        target::{Target, TargetKind},
    },
};

/// How long the fleet is kept busy before answers are counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// How long answers are counted.
const COUNTING_TIME: Duration = Duration::from_secs(6);

/// How long a caller that was refused waits before its next request.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// The number of callers that send one request after the other.
const CALLERS: usize = 66;

/// The answers a second that come whole and in time.
pub(super) async fn capacity(plan: &Plan) -> Result<f64, LocalError> {
    let harness = Harness::spawn(plan.scenario).await?;
    let target = Target::spawn(TargetKind::Fleet, &harness).await?;
    let requests = arrivals(
        plan.scenario,
        plan.seed ^ 1,
        1_000.0,
        Duration::from_secs(20),
    );
    let start = Instant::now();
    let caller = async |caller_index: usize| {
        let mut count = 0_u32;
        for arrival in requests.iter().skip(caller_index).step_by(CALLERS) {
            if start.elapsed() >= WARM_UP + COUNTING_TIME {
                break;
            }
            let sent = Instant::now();
            let outcome = target.send(arrival).await;
            let answered = matches!(outcome, Outcome::Answered { .. });
            if !answered {
                tokio::time::sleep(REFUSAL_BACKOFF).await;
            }
            let in_time = sent.elapsed() <= arrival.traffic.deadline;
            let window = WARM_UP..WARM_UP + COUNTING_TIME;
            count += u32::from(answered && in_time && window.contains(&start.elapsed()));
        }
        count
    };
    let counts = join_all((0..CALLERS).map(caller)).await;
    let answers: u32 = counts.iter().sum();
    target.shutdown().await;
    Ok(f64::from(answers) / COUNTING_TIME.as_secs_f64())
}
