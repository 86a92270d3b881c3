//! The verbs of the command line, one module each.

use std::process::ExitCode;

use derive_more::Display;

use crate::cli::Command;

pub mod check;
pub mod demo;
pub mod explain;
pub mod explain_route;
pub mod files;
pub mod gateway;
pub mod generations;
pub mod invoice;
pub mod measure;
pub mod print;
pub mod publish;
pub mod query;
pub mod remote;
pub mod serve;
pub mod service;
pub mod status;
pub mod trace;
pub mod version;

/// Exit status of a verb.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Status {
    /// The verb succeeded.
    Done = 0,
    /// The verb was refused or failed, and changed nothing.
    Failed = 1,
    /// The arguments or the settings are invalid.
    Usage = 2,
    /// The verb may or may not have taken effect; it is safe to run again.
    Unknown = 3,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}

/// Runs a verb.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Serve(args) => serve::run(args).await,
        Command::Gateway(args) => gateway::run(args).await,
        Command::Trace(args) => trace::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Publish(args) => publish::run(args).await,
        Command::Domain(args) => service::run(service::Target::FailureDomain, args).await,
        Command::Version(args) => version::run(args).await,
        Command::Upstream(args) => service::run(service::Target::Upstream, args).await,
        Command::Status(args) => status::run(args).await,
        Command::Explain(args) => explain::run(args).await,
        Command::ExplainRoute(args) => explain_route::run(args).await,
        Command::Invoice(args) => invoice::run(args).await,
        Command::Generations(args) => generations::run(args).await,
        Command::Demo(args) => demo::run(args).await,
        Command::Measure(args) => measure::run(args).await,
    }
}
