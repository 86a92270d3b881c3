//! What the fleet bears: answers a second in time, with as many callers as there are places.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::Instant;

use crate::{
    local::LocalError,
    measure::{
        Plan,
        arrivals::arrivals,
        bed::Bed,
        sample::Outcome,
        target::{Kind, Target},
    },
};

/// How long the fleet is kept busy before answers are counted.
const WARM_UP: Duration = Duration::from_secs(12);

/// How long answers are counted.
const COUNTED: Duration = Duration::from_secs(6);

/// How long a caller that was refused waits before its next request.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// The number of callers that send one request after the other.
const CALLERS: usize = 66;

/// The answers a second that come whole and in time.
pub(super) async fn capacity(plan: &Plan) -> Result<f64, LocalError> {
    let bed = Bed::spawn(plan.scenario).await?;
    let target = Target::spawn(Kind::Fleet, &bed).await?;
    let requests = arrivals(
        plan.scenario,
        plan.seed ^ 1,
        1_000.0,
        Duration::from_secs(20),
    );
    let start = Instant::now();
    let caller = async |first: usize| {
        let mut counted = 0_u32;
        for arrival in requests.iter().skip(first).step_by(CALLERS) {
            if start.elapsed() >= WARM_UP + COUNTED {
                break;
            }
            let sent = Instant::now();
            let outcome = target.send(arrival).await;
            let whole = matches!(outcome, Outcome::Answered { .. });
            if !whole {
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
            let in_time = sent.elapsed() <= arrival.traffic.deadline;
            let window = WARM_UP..WARM_UP + COUNTED;
            counted += u32::from(whole && in_time && window.contains(&start.elapsed()));
        }
        counted
    };
    let counts = join_all((0..CALLERS).map(caller)).await;
    let answers: u32 = counts.iter().sum();
    target.shutdown().await;
    Ok(f64::from(answers) / COUNTED.as_secs_f64())
}
