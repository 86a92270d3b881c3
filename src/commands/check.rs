//! The verb `check`: checks configuration files as one set.

use std::process::ExitCode;

use crate::{cli::CheckArgs, commands::Status};

/// Runs the verb.
pub fn run(_args: &CheckArgs) -> ExitCode {
    eprintln!("check: not built yet");
    Status::Failed.into()
}
