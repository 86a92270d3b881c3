//! The verb `explain`: shows the decisions about one request.

use std::process::ExitCode;

use crate::{cli::ExplainArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: ExplainArgs) -> ExitCode {
    eprintln!("explain: not built yet");
    Status::Failed.into()
}
