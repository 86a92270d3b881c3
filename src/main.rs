//! The command `hibiscusyoke`.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use hibiscusyoke::{
    cli::command_line,
    commands::{self, Status},
};

/// The width at which help is wrapped.
const HELP_COLUMNS: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    match command_line().run_inner(Args::current_args()) {
        Ok(command) => commands::run(command).await,
        Err(failure) => explain(&failure).into(),
    }
}

fn explain(failure: &ParseFailure) -> Status {
    failure.print_message(HELP_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => Status::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Status::Done,
    }
}
