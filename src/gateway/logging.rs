//! Rate-limited log output that drops lines rather than blocking on a stalled reader.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Average number of lines written per second.
const LINES_PER_SECOND: f64 = 200.0;
/// Maximum number of lines written in a burst.
const BURST_LINES: f64 = 600.0;

/// Installs a logger on standard output that drops and counts lines over the rate limit.
pub fn install() {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    let out = BoundedOutput::new(io::stdout());
    if WriteLogger::init(LevelFilter::Info, config, out).is_err() {
        log::debug!("event=logger_kept");
    }
}

/// Writes complete lines within a token bucket and drops the rest.
pub struct BoundedOutput<W> {
    out: W,
    line: Vec<u8>,
    budget: f64,
    refilled_at: Instant,
    dropped_lines: u64,
}

impl<W: Write> BoundedOutput<W> {
    /// Creates an output with a full budget.
    pub fn new(out: W) -> Self {
        Self {
            out,
            line: Vec::new(),
            budget: BURST_LINES,
            refilled_at: Instant::now(),
            dropped_lines: 0,
        }
    }

    fn end_line(&mut self) {
        self.refill(self.refilled_at.elapsed());
        if self.budget < 1.0 && !is_important(&self.line) {
            self.dropped_lines += 1;
        } else {
            self.budget -= 1.0;
            if self.dropped_lines > 0 {
                let summary = format!("event=log_lines_left_out count={}\n", self.dropped_lines);
                self.line.extend_from_slice(summary.as_bytes());
                self.dropped_lines = 0;
            }
            // A stalled reader loses log lines; requests must not fail because of it.
            if self.out.write(&self.line).is_err() {
                self.dropped_lines += 1;
            }
        }
        self.line.clear();
    }

    fn refill(&mut self, elapsed: Duration) {
        self.refilled_at += elapsed;
        let budget = self.budget + elapsed.as_secs_f64() * LINES_PER_SECOND;
        self.budget = budget.min(BURST_LINES);
    }
}

impl<W: Write> Write for BoundedOutput<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for chunk in bytes.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(chunk);
            if chunk.ends_with(b"\n") {
                self.end_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a line reports a refusal, a failure or a state change rather than routine work.
///
/// Such lines are written even when the budget is used up.
fn is_important(line: &[u8]) -> bool {
    const ORDINARY: [&[u8]; 2] = [b"event=chosen", b"event=attempt_ended"];
    !ORDINARY
        .iter()
        .any(|event| line.windows(event.len()).any(|window| window == *event))
}
