//! The verb `generations`: shows the latest published generations.

use std::process::ExitCode;

use crate::{cli::StatusArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: StatusArgs) -> ExitCode {
    eprintln!("generations: not built yet");
    Status::Failed.into()
}
