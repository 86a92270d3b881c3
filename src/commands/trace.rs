//! The verb `trace`: shows the log lines of a request from a gateway's log.

use std::{
    collections::VecDeque,
    io::{self, BufRead, Write},
    process::ExitCode,
};

use crate::{cli::TraceArgs, commands::Status};

/// Maximum number of state changes shown before each line of the request.
const MAX_CHANGES_BEFORE: usize = 20;

/// Events that concern a single request and are not changes of the gateway's state.
const REQUEST_EVENTS: [&str; 15] = [
    "chosen",
    "delegated",
    "attempt_ended",
    "attempt_failed",
    "refused",
    "no_place",
    "resumed",
    "resume_failed",
    "stream_ended",
    "answer_broken",
    "answer_replaced",
    "caller_too_slow",
    "run_interrupted",
    "poison_refused",
    "repeat_over_budget",
];

/// Reads a log from standard input and writes the lines that concern a request.
pub fn run(args: &TraceArgs) -> ExitCode {
    match trace(&args.id, io::stdin().lock(), io::stdout().lock()) {
        Ok(0) => {
            eprintln!(
                "trace: no line of this log contains the request id {}",
                args.id
            );
            Status::Failed.into()
        }
        Ok(_) => Status::Done.into(),
        Err(e) => {
            eprintln!("trace: {e}");
            Status::Failed.into()
        }
    }
}

/// Writes the lines of a request and the state changes that precede them. Returns the number of
/// lines of the request.
fn trace(id: &str, log: impl BufRead, mut out: impl Write) -> io::Result<usize> {
    let id_field = format!(" id={id}");
    let mut recent_changes: VecDeque<String> = VecDeque::new();
    let mut lines = 0;
    for line in log.lines() {
        let line = line?;
        let is_match = line.contains(&id_field);
        if !is_match && !is_state_change(&line) {
            continue;
        }
        if is_match {
            lines += 1;
            for change in recent_changes.drain(..) {
                writeln!(out, "{change}")?;
            }
            writeln!(out, "{line}")?;
            continue;
        }
        recent_changes.push_back(line);
        if recent_changes.len() > MAX_CHANGES_BEFORE {
            recent_changes.pop_front();
        }
    }
    Ok(lines)
}

fn is_state_change(line: &str) -> bool {
    let Some((_, event)) = line.split_once("event=") else {
        return false;
    };
    let event = event.split(' ').next().unwrap_or_default();
    !REQUEST_EVENTS.contains(&event)
}
