//! The verb `version`: withdraws, drains or enables a version.

use std::process::ExitCode;

use crate::{cli::VersionArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: VersionArgs) -> ExitCode {
    eprintln!("version: not built yet");
    Status::Failed.into()
}
