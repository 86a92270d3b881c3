//! The verb `demo`: runs stand-ins and three daemons in this process.

use std::process::ExitCode;

use crate::{cli::DemoArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: DemoArgs) -> ExitCode {
    eprintln!("demo: not built yet");
    Status::Failed.into()
}
