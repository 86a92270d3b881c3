//! The `hibiscusyoke` command.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use hibiscusyoke::{
    cli::{Command, command_line},
    commands::{self, Status},
};
use tokio::runtime::Builder;

/// Line width of help texts.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    match command_line().run_inner(Args::current_args()) {
        Ok(command) => run(command),
        Err(failure) => report_parse_failure(&failure).into(),
    }
}

/// Runs a command, the gateway on a single-threaded runtime and all others on a multi-threaded one.
fn run(command: Command) -> ExitCode {
    let mut builder = match command {
        Command::Gateway(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(commands::run(command)),
        Err(e) => {
            eprintln!("cannot start the async runtime: {e}");
            Status::Failed.into()
        }
    }
}

fn report_parse_failure(failure: &ParseFailure) -> Status {
    failure.print_message(HELP_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => Status::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Status::Done,
    }
}
