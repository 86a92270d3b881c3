//! The verb `invoice`: shows what customers are billed.

use std::process::ExitCode;

use crate::{cli::InvoiceArgs, commands::Status};

/// Runs the verb.
pub async fn run(_args: InvoiceArgs) -> ExitCode {
    eprintln!("invoice: not built yet");
    Status::Failed.into()
}
