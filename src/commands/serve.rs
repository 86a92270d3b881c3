//! The verb `serve`: runs the daemon of this instance.

use std::process::ExitCode;

use crate::{cli::ServeArgs, commands::Status, settings::Settings};

/// Runs the daemon until it is told to leave.
pub async fn run(args: ServeArgs) -> ExitCode {
    if let Err(e) = Settings::open(&args.settings) {
        eprintln!("{e}");
        return Status::Usage.into();
    }
    eprintln!("serve: not built yet");
    Status::Failed.into()
}
