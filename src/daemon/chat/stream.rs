//! Streamed answers: pinned to one version, resumed on another upstream after a failure, and
//! terminated by an explicit end or error event.

use std::time::Duration;

use bytes::Bytes;
use platform_api::engine::ChatChunk;
use tokio::sync::mpsc;

use crate::{
    daemon::chat::{
        call::{ChatReply, ReplyBody},
        deliver,
        placement::select_placement,
        run::{Attempt, CompletionRun},
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

/// Number of events buffered for a slow caller.
const BUFFERED_EVENTS: usize = 64;

/// Attempt that has returned the first item of its stream.
struct StartedStream {
    attempt: Attempt,
    stream: TokenStream,
    first: StreamItem,
    first_token: Duration,
}

/// Relays a stream to one caller.
struct Relay {
    run: CompletionRun,
    tx: mpsc::Sender<Bytes>,
    text: String,
}

/// Starts a streamed answer; after the first item, it continues in a separate task.
pub(super) async fn serve(mut run: CompletionRun) -> Result<ChatReply, Refusal> {
    let current = start_stream(&mut run, 0).await?;
    let version = current.attempt.placement.choice.version.clone();
    let session = deliver::session_token(&run, &version)?;
    let (tx, rx) = mpsc::channel(BUFFERED_EVENTS);
    let relay = Relay {
        run,
        tx,
        text: String::new(),
    };
    tokio::spawn(relay.relay_to_end(current));
    Ok(ChatReply {
        version,
        session,
        body: ReplyBody::Stream(rx),
    })
}

/// Starts a stream at `offset` and waits for its first item, retrying failed attempts.
async fn start_stream(run: &mut CompletionRun, offset: u32) -> Result<StartedStream, Refusal> {
    loop {
        let placement = select_placement(run).await?;
        let attempt = run.attempt(placement, offset);
        match receive_first_item(run, &attempt).await {
            Ok((stream, first)) => {
                let first_token = run.components.core.clock.now() - attempt.started;
                return Ok(StartedStream {
                    attempt,
                    stream,
                    first,
                    first_token,
                });
            }
            Err(e) => run.record_failure(attempt, &e).await?,
        }
    }
}

async fn receive_first_item(
    run: &mut CompletionRun,
    attempt: &Attempt,
) -> Result<(TokenStream, StreamItem), EngineError> {
    let reuse = std::mem::replace(&mut run.reuse, Reuse::Idle);
    let mut stream = attempt.client.stream(&attempt.dispatch, reuse).await?;
    let first = stream.next().await?;
    Ok((stream, first))
}

impl Relay {
    async fn relay_to_end(mut self, mut current: StartedStream) {
        loop {
            let offset = match self.relay(&mut current).await {
                Ok(()) => {
                    let incarnation = current.stream.incarnation();
                    let first_token = current.first_token;
                    self.run
                        .record_success(current.attempt, first_token, incarnation);
                    return;
                }
                Err(RelayError::CallerDisconnected) => {
                    self.run.components.core.record_decision(
                        &self.run.call.log_id,
                        "deliver",
                        "caller=gone",
                    );
                    return;
                }
                Err(RelayError::Refused(refusal)) => return self.send_error(&refusal).await,
                Err(RelayError::Upstream(e)) => {
                    let offset = current.stream.offset();
                    self.run.route.session = Some(current.attempt.placement.choice.version.clone());
                    if let Err(refusal) = self.run.record_failure(current.attempt, &e).await {
                        return self.send_error(&refusal).await;
                    }
                    offset
                }
            };
            current = match start_stream(&mut self.run, offset).await {
                Ok(current) => current,
                Err(refusal) => return self.send_error(&refusal).await,
            };
        }
    }

    /// Relays the items of one attempt until the end of the answer.
    async fn relay(&mut self, current: &mut StartedStream) -> Result<(), RelayError> {
        let mut item = std::mem::replace(
            &mut current.first,
            StreamItem::Token {
                offset: 0,
                text: String::new(),
            },
        );
        loop {
            let chunk = self.chunk(current, &item);
            match item {
                StreamItem::Token { text, .. } => {
                    self.text.push_str(&text);
                    self.send(data_event(&chunk)).await?;
                }
                StreamItem::End { usage, .. } => {
                    let choice = &current.attempt.placement.choice;
                    deliver::record_bill(&self.run, choice, usage)
                        .await
                        .map_err(RelayError::Refused)?;
                    self.send(data_event(&chunk)).await?;
                    self.send(Bytes::from(format!("data: {DONE}\n\n"))).await?;
                    deliver::rate_in_background(&self.run, choice, &self.text);
                    return Ok(());
                }
            }
            item = current.stream.next().await.map_err(RelayError::Upstream)?;
        }
    }

    fn chunk(&self, current: &StartedStream, item: &StreamItem) -> ChatChunk {
        let id = self.run.call.request_id.clone();
        let model = current.attempt.placement.choice.version.clone();
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
                offset: current.stream.offset(),
                delta: String::new(),
                finish_reason: Some(finish_reason.clone()),
                usage: Some(*usage),
            },
        }
    }

    async fn send(&self, event: Bytes) -> Result<(), RelayError> {
        self.tx
            .send(event)
            .await
            .map_err(|_| RelayError::CallerDisconnected)
    }

    /// Ends the stream with an error event.
    async fn send_error(&self, refusal: &Refusal) {
        let core = &self.run.components.core;
        core.record_decision(
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
            core.record_decision(&self.run.call.log_id, "deliver", "caller=gone");
        }
    }
}

/// Error that interrupted the relay of an attempt before the end of the answer.
enum RelayError {
    /// The caller closed its connection.
    CallerDisconnected,
    /// The attempt failed.
    Upstream(EngineError),
    /// The answer can't be completed.
    Refused(Refusal),
}

fn data_event(chunk: &ChatChunk) -> Bytes {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
