//! The verb `demo`: runs stand-ins and three daemons in this process.

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
