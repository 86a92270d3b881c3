//! The verb `trace`: what became of a request, by a gateway's log.

use std::{
    collections::VecDeque,
    io::{self, BufRead, Write},
    process::ExitCode,
};

use crate::{cli::TraceArgs, commands::Status};

/// The changes of belief before the request's first line that are shown.
const CHANGES_BEFORE: usize = 20;

/// Events that tell of one request or of a peer's heartbeat, not of a change of belief.
const NO_CHANGE: [&str; 10] = [
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
    let named = format!(" id={id}");
    let mut before: VecDeque<String> = VecDeque::new();
    let mut lines = 0;
    for line in log.lines() {
        let line = line?;
        let names = line.contains(&named);
        if !names && !is_change(&line) {
            continue;
        }
        if names {
            lines += 1;
            for change in before.drain(..) {
                writeln!(out, "{change}")?;
            }
            writeln!(out, "{line}")?;
            continue;
        }
        before.push_back(line);
        if before.len() > CHANGES_BEFORE {
            before.pop_front();
        }
    }
    Ok(lines)
}

fn is_change(line: &str) -> bool {
    let Some((_, event)) = line.split_once("event=") else {
        return false;
    };
    let event = event.split(' ').next().unwrap_or_default();
    !NO_CHANGE.contains(&event)
}
