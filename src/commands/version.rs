//! The verb `version`: withdraws, drains or enables a version.

use std::process::ExitCode;

use crate::{
    cli::{VersionArgs, VersionVerb},
    commands::publish,
    coordination::configuration::edit::Edit,
    state::objects::VersionState,
};

/// Runs the verb.
pub async fn run(args: VersionArgs) -> ExitCode {
    let state = match args.verb {
        VersionVerb::Withdraw => VersionState::Withdrawn,
        VersionVerb::Drain => VersionState::Draining,
        VersionVerb::Enable => VersionState::Enabled,
    };
    let edit = Edit::Version {
        name: args.name,
        state,
    };
    publish::run_edit(&args.remote, edit).await
}
