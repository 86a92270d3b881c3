//! The verb `status`: shows the fleet.

use std::process::ExitCode;

use crate::{cli::StatusArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: StatusArgs) -> ExitCode {
    eprintln!("status: not built yet");
    Status::Failed.into()
}
