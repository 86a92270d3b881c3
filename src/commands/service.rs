//! The verbs `domain` and `upstream`: take one out of service or back in.

use std::process::ExitCode;

use crate::{cli::ServiceArgs, commands::Status};

/// What is taken out or in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A failure domain.
    FailureDomain,
    /// An upstream.
    Upstream,
}

/// Runs the verb.
pub async fn run(_target: Target, _args: ServiceArgs) -> ExitCode {
    eprintln!("domain and upstream: not built yet");
    Status::Failed.into()
}
