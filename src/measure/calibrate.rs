//! Measures the fleet's capacity: answers per second within their deadline under a closed-loop load
//! with about as many callers as the engines have slots.

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

/// Duration of the load before answers are counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// Time during which answers are counted.
const COUNTING_TIME: Duration = Duration::from_secs(6);

/// Delay before a caller's next request after one that was refused or failed.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Number of concurrent callers, each with one outstanding request.
const CALLERS: usize = 66;

/// Measures the number of complete answers per second that meet their deadline.
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
