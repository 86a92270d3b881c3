//! The verb `publish`: shows a difference and publishes it.

use std::process::ExitCode;

use crate::{cli::PublishArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: PublishArgs) -> ExitCode {
    eprintln!("publish: not built yet");
    Status::Failed.into()
}
