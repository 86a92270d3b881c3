//! The verb `measure`: runs a measurement against stand-ins.

use std::process::ExitCode;

use crate::{cli::MeasureArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: MeasureArgs) -> ExitCode {
    eprintln!("measure: not built yet");
    Status::Failed.into()
}
