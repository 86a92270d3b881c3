//! The verb `demo`: runs three daemons and stand-ins for platform and upstreams in this process.

use std::process::ExitCode;

use crate::{cli::DemoArgs, commands::Status, demo};

/// Runs the verb.
pub async fn run(args: DemoArgs) -> ExitCode {
    match demo::run(args.hold).await {
        Ok(()) => Status::Done.into(),
        Err(e) => {
            eprintln!("demo: {e}");
            Status::Failed.into()
        }
    }
}
