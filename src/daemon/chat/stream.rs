//! Streamed answers: one version, resumed elsewhere when an upstream fails, with an explicit end.

use std::time::Duration;

use bytes::Bytes;
use platform_api::engine::ChatChunk;
use tokio::sync::mpsc;

use crate::{
    daemon::chat::{
        call::{ChatReply, ReplyBody},
        deliver,
        pick::pick,
        run::{Attempt, Run},
    },
    protocol::problem::{Problem, Refusal},
    transport::{
        engine::{
            error::EngineError,
            stream::{DONE, StreamItem, TokenStream},
        },
        http_client::Reuse,
    },
};

/// The number of events that may wait for a slow caller.
const BUFFERED_EVENTS: usize = 64;

/// An attempt whose stream has begun.
struct Begun {
    attempt: Attempt,
    stream: TokenStream,
    first: StreamItem,
    first_token: Duration,
}

/// What is being relayed to one caller.
struct Relay {
    run: Run,
    tx: mpsc::Sender<Bytes>,
    text: String,
}

/// Begins a streamed answer; it goes on in its own task once the first token has come.
pub(super) async fn serve(mut run: Run) -> Result<ChatReply, Refusal> {
    let begun = begin(&mut run, 0).await?;
    let version = begun.attempt.pick.choice.version.clone();
    let session = deliver::session(&run, &version)?;
    let (tx, rx) = mpsc::channel(BUFFERED_EVENTS);
    let relay = Relay {
        run,
        tx,
        text: String::new(),
    };
    tokio::spawn(relay.run_to_end(begun));
    Ok(ChatReply {
        version,
        session,
        body: ReplyBody::Stream(rx),
    })
}

/// Starts a stream at `offset`, after as many attempts as it takes, and waits for its first item.
async fn begin(run: &mut Run, offset: u32) -> Result<Begun, Refusal> {
    loop {
        let pick = pick(run).await?;
        let attempt = run.attempt(pick, offset);
        match first_item(run, &attempt).await {
            Ok((stream, first)) => {
                let first_token = run.parts.core.clock.now() - attempt.started;
                return Ok(Begun {
                    attempt,
                    stream,
                    first,
                    first_token,
                });
            }
            Err(e) => run.failed(attempt, &e).await?,
        }
    }
}

async fn first_item(
    run: &mut Run,
    attempt: &Attempt,
) -> Result<(TokenStream, StreamItem), EngineError> {
    let reuse = std::mem::replace(&mut run.reuse, Reuse::Idle);
    let mut stream = attempt.client.stream(&attempt.dispatch, reuse).await?;
    let first = stream.next().await?;
    Ok((stream, first))
}

impl Relay {
    async fn run_to_end(mut self, mut begun: Begun) {
        loop {
            let offset = match self.relay(&mut begun).await {
                Ok(()) => {
                    let incarnation = begun.stream.incarnation();
                    let first_token = begun.first_token;
                    self.run.answered(begun.attempt, first_token, incarnation);
                    return;
                }
                Err(Stop::CallerGone) => {
                    self.run
                        .parts
                        .core
                        .decide(&self.run.call.log_id, "deliver", "caller=gone");
                    return;
                }
                Err(Stop::Refused(refusal)) => return self.fail(&refusal).await,
                Err(Stop::Upstream(e)) => {
                    let offset = begun.stream.offset();
                    self.run.route.session = Some(begun.attempt.pick.choice.version.clone());
                    if let Err(refusal) = self.run.failed(begun.attempt, &e).await {
                        return self.fail(&refusal).await;
                    }
                    offset
                }
            };
            begun = match begin(&mut self.run, offset).await {
                Ok(begun) => begun,
                Err(refusal) => return self.fail(&refusal).await,
            };
        }
    }

    /// Relays one attempt's items up to the end of the answer.
    async fn relay(&mut self, begun: &mut Begun) -> Result<(), Stop> {
        let mut item = std::mem::replace(
            &mut begun.first,
            StreamItem::Token {
                offset: 0,
                text: String::new(),
            },
        );
        loop {
            let chunk = self.chunk(begun, &item);
            match item {
                StreamItem::Token { text, .. } => {
                    self.text.push_str(&text);
                    self.send(event(&chunk)).await?;
                }
                StreamItem::End { usage, .. } => {
                    let choice = &begun.attempt.pick.choice;
                    deliver::bill(&self.run, choice, usage)
                        .await
                        .map_err(Stop::Refused)?;
                    self.send(event(&chunk)).await?;
                    self.send(Bytes::from(format!("data: {DONE}\n\n"))).await?;
                    deliver::rate_later(&self.run, choice, &self.text);
                    return Ok(());
                }
            }
            item = begun.stream.next().await.map_err(Stop::Upstream)?;
        }
    }

    fn chunk(&self, begun: &Begun, item: &StreamItem) -> ChatChunk {
        let id = self.run.call.request_id.clone();
        let model = begun.attempt.pick.choice.version.clone();
        match item {
            StreamItem::Token { offset, text } => ChatChunk {
                id,
                model,
                offset: *offset,
                delta: text.clone(),
                finish_reason: None,
                usage: None,
            },
            StreamItem::End {
                finish_reason,
                usage,
            } => ChatChunk {
                id,
                model,
                offset: begun.stream.offset(),
                delta: String::new(),
                finish_reason: Some(finish_reason.clone()),
                usage: Some(*usage),
            },
        }
    }

    async fn send(&self, event: Bytes) -> Result<(), Stop> {
        self.tx.send(event).await.map_err(|_| Stop::CallerGone)
    }

    /// Ends the stream with an explicit error event.
    async fn fail(&self, refusal: &Refusal) {
        let core = &self.run.parts.core;
        core.decide(
            &self.run.call.log_id,
            "refuse",
            format_args!(
                "kind={} run={} at={} reason={:?}",
                refusal.kind, refusal.run, refusal.step, refusal.detail
            ),
        );
        let problem = Problem::new(&self.run.call.request_id, refusal);
        let json = serde_json::to_string(&problem).unwrap_or_default();
        let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
        if self.tx.send(event).await.is_err() {
            core.decide(&self.run.call.log_id, "deliver", "caller=gone");
        }
    }
}

/// Why the relaying of one attempt stopped before the end of the answer.
enum Stop {
    /// The caller has closed its connection.
    CallerGone,
    /// The attempt failed.
    Upstream(EngineError),
    /// The answer can't be finished.
    Refused(Refusal),
}

fn event(chunk: &ChatChunk) -> Bytes {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
