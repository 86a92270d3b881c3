//! Measures the latency that a daemon adds to a call, by sending the same completion request to an
//! engine and to a daemon.
//!
//! Arguments: the daemon's address for callers, the engine's address, a customer's key, a rule, a
//! version and the number of calls. The calls alternate between the two, one at a time, on
//! persistent connections.

use std::{
    env,
    error::Error,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use hibiscusyoke::{
    local::caller::LocalCaller,
    transport::{
        engine::{EngineClient, EngineRequest},
        http_client::Reuse,
    },
};
use http::{HeaderMap, StatusCode};
use platform_api::engine::{ChatMessage, ChatRequest};

/// Requests a short answer, to keep the engine's share of the latency small.
const PROMPT: &str = "tokens=1 overhead";
/// Timeout of a direct call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Command-line arguments.
struct Args {
    daemon: SocketAddr,
    engine: SocketAddr,
    key: String,
    rule: String,
    version: String,
    calls: u32,
}

impl Args {
    fn read() -> Result<Self, Box<dyn Error>> {
        let mut args = env::args().skip(1);
        let mut next = |name: &str| args.next().ok_or_else(|| format!("missing {name}"));
        Ok(Self {
            daemon: next("DAEMON")?.parse()?,
            engine: next("ENGINE")?.parse()?,
            key: next("KEY")?,
            rule: next("RULE")?,
            version: next("VERSION")?,
            calls: next("CALLS")?.parse()?,
        })
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::read()?;
    let caller = LocalCaller::new(args.daemon, &args.key);
    let engine = EngineClient::new(args.engine);
    let mut direct = Histogram::<u64>::new(3)?;
    let mut via_daemon = Histogram::<u64>::new(3)?;
    for call in 0..args.calls {
        let started = Instant::now();
        engine.complete(&dispatch(&args, call), Reuse::Idle).await?;
        direct.record(elapsed_micros(started))?;
        let started = Instant::now();
        let answer = caller.chat(&args.rule, PROMPT, &HeaderMap::new()).await?;
        if answer.status != StatusCode::OK {
            return Err(format!("status {}", answer.status).into());
        }
        via_daemon.record(elapsed_micros(started))?;
    }
    print_summary("direct", &direct);
    print_summary("through the daemon", &via_daemon);
    Ok(())
}

fn dispatch(args: &Args, call: u32) -> EngineRequest {
    EngineRequest {
        attempt: format!("overhead-{call}").into(),
        req: ChatRequest {
            model: args.version.as_str().into(),
            messages: vec![ChatMessage {
                role: "user".into(),
                content: PROMPT.into(),
            }],
            stream: false,
            max_tokens: None,
        },
        priority: 0,
        resume_from: 0,
        limit: CALL_TIMEOUT,
    }
}

fn elapsed_micros(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn print_summary(label: &str, histogram: &Histogram<u64>) {
    println!(
        "{label}: {} calls, 50th {} us, 99th {} us",
        histogram.len(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99)
    );
}
