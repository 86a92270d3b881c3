//! The verb `explain`: shows the decisions about one request, in order.

use std::process::ExitCode;

use crate::{
    cli::ExplainArgs,
    commands::{Status, query},
    protocol::operators::{EXPLAIN_PATH, Explanation},
    state::names::is_valid_name,
};

/// Runs the verb.
pub async fn run(args: ExplainArgs) -> ExitCode {
    if !is_valid_name(&args.request) {
        eprintln!("{:?} is not a valid request id", args.request);
        return Status::Usage.into();
    }
    let path = format!("{EXPLAIN_PATH}{}", args.request);
    query::run(&args.remote, &path, show).await
}

fn show(explanation: &Explanation) {
    if explanation.decisions.is_empty() {
        println!("no daemon has a recorded decision about this request");
    }
    for decision in &explanation.decisions {
        println!(
            "{} {} step={} {}",
            decision.at_ms, decision.daemon, decision.step, decision.detail
        );
    }
    for daemon in &explanation.silent {
        println!("{daemon} did not respond and may have further decisions");
    }
}
