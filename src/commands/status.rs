//! The verb `status`: shows the fleet and the generation in force on each daemon.

use std::process::ExitCode;

use crate::{
    cli::StatusArgs,
    commands::query,
    protocol::operators::{FleetStatus, Readiness, STATUS_PATH},
};

/// Runs the verb.
pub async fn run(args: StatusArgs) -> ExitCode {
    query::run(&args.remote, STATUS_PATH, show).await
}

fn show(status: &FleetStatus) {
    let readiness = match &status.readiness {
        Readiness::Ready => "ready".into(),
        Readiness::Leaving => "leaving".into(),
        Readiness::NotReady(reason) => format!("not ready: {reason}"),
    };
    println!(
        "{} generation={} {readiness}",
        status.daemon, status.generation
    );
    for member in &status.members {
        println!(
            "  {} {} {} generation={} callers={}",
            member.name, member.failure_domain, member.state, member.generation, member.callers
        );
    }
}
