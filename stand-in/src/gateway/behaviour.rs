//! How a fake of an upstream responds to requests.

use http::StatusCode;

/// How an upstream responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes and answers requests.
    #[default]
    Serve,
    /// Executes requests and answers with status 500.
    Fail,
    /// Executes requests and answers with an error that does not say whether it did.
    FailWith(ErrorAnswer),
    /// Refuses requests, and reports that they were not executed.
    Refuse,
    /// Refuses requests and asks for a pause of this many seconds.
    RefuseWithPause(u64),
    /// Executes and answers requests, and announces that it leaves.
    Leave,
    /// Executes and answers requests, and names this limit of an upstream in requests per 1,000 seconds.
    Limit(u32),
    /// Runs requests as its slots allow, refuses the others, and says that it is brittle: it crashes if it
    /// refuses more than this many in a second.
    Brittle(u32),
    /// Runs requests as its slots allow, queues this many others by priority, and refuses the rest.
    Queue(usize),
    /// Is silent for this many milliseconds before it executes and answers a request.
    SilentFor(u64),
    /// Executes requests and closes the connection without a response.
    Break,
    /// Closes the connection after the given number of events, inside the next one.
    BreakAfter(u64),
    /// Pauses each run of a stream for the second number of milliseconds after the first number of its events.
    PauseAfter(u64, u64),
    /// Ends the stream without an error after the given number of events, inside the next one.
    EndAfter(u64),
    /// Ends the stream without an error before its first event.
    EndEmpty,
    /// Answers with the id of another request.
    Foreign,
    /// Answers without its signature.
    Unsigned,
    /// Never answers.
    Hang,
}

/// The answer of an upstream that has executed a request and reports a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of `Retry-After` in seconds.
    pub retry_after_s: Option<u64>,
    /// Whether it has the upstream's signature.
    pub is_signed: bool,
}

impl ErrorAnswer {
    /// Creates a signed answer without `Retry-After`.
    pub fn signed(status: StatusCode) -> Self {
        Self {
            status,
            retry_after_s: None,
            is_signed: true,
        }
    }
}

/// How an upstream marks the end of its streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By an empty chunk.
    #[default]
    Chunked,
    /// By closing the connection.
    Close,
}
