//! The verb `trace`: what became of a request, by a gateway's log.

use std::{
    collections::VecDeque,
    io::{self, BufRead, Write},
    process::ExitCode,
};

use crate::{cli::TraceArgs, commands::Status};

/// The changes of belief before the request's first line that are shown.
const MAX_CHANGES_BEFORE: usize = 20;

/// Events that tell of one request or of a peer's heartbeat, not of a change of belief.
const REQUEST_EVENTS: [&str; 10] = [
    "chosen",
    "attempt_ended",
    "attempt_failed",
    "refused",
    "no_place",
    "resumed",
    "resume_failed",
    "stream_ended",
    "answer_broken",
    "repeat_over_budget",
];

/// Reads a log from the standard input and writes what concerns a request.
pub fn run(args: &TraceArgs) -> ExitCode {
    match trace(&args.id, io::stdin().lock(), io::stdout().lock()) {
        Ok(0) => {
            eprintln!("trace: no line of this log names the request {}", args.id);
            Status::Failed.into()
        }
        Ok(_) => Status::Done.into(),
        Err(e) => {
            eprintln!("trace: {e}");
            Status::Failed.into()
        }
    }
}

/// Writes the lines of a request and the changes of belief around them; returns how many lines
/// name the request.
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
