//! The verbs `domain` and `upstream`: take an object out of service or back in.

use std::process::ExitCode;

use crate::{
    cli::{ServiceArgs, ServiceVerb},
    commands::publish,
    coordination::configuration::edit::Edit,
    state::objects::ServiceState,
};

/// The kind of object that is taken out of service or back in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A failure domain.
    FailureDomain,
    /// An upstream.
    Upstream,
}

/// Runs the verb.
pub async fn run(target: Target, args: ServiceArgs) -> ExitCode {
    let name = args.name;
    let state = match args.verb {
        ServiceVerb::Out => ServiceState::Out,
        ServiceVerb::In => ServiceState::In,
    };
    let edit = match target {
        Target::FailureDomain => Edit::FailureDomain { name, state },
        Target::Upstream => Edit::Upstream { name, state },
    };
    publish::run_edit(&args.remote, edit).await
}
