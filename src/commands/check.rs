//! The verb `check`: validates configuration files as one set.

use std::process::ExitCode;

use serde::Serialize;

use crate::{
    cli::CheckArgs,
    commands::{Status, files::ConfigurationFiles, print},
    state::{check::check, diff::ObjectKind, objects::Objects},
};

/// Result of the check, printed with `--json`.
#[derive(Debug, Serialize)]
struct CheckReport {
    /// All faults, with file, line and key; empty if the set can be published.
    faults: Vec<String>,
}

/// Runs the verb.
pub fn run(args: &CheckArgs) -> ExitCode {
    let mut report = CheckReport { faults: Vec::new() };
    let objects = match ConfigurationFiles::open(&args.files) {
        Ok(files) => {
            let faults = check(&files.objects);
            report.faults = faults
                .iter()
                .map(|fault| files.describe_fault(fault))
                .collect();
            files.objects
        }
        Err(e) => {
            report.faults.push(e.to_string());
            Objects::default()
        }
    };
    if args.json {
        print::json(&report);
    } else {
        print_text(&report, &objects);
    }
    let status = if report.faults.is_empty() {
        Status::Done
    } else {
        Status::Failed
    };
    status.into()
}

fn print_text(report: &CheckReport, objects: &Objects) {
    if report.faults.is_empty() {
        println!("ok: {}", counts(objects));
    }
    for fault in &report.faults {
        println!("{fault}");
    }
}

fn counts(objects: &Objects) -> String {
    let puts = objects.puts();
    let counts = ObjectKind::ALL.into_iter().map(|kind| {
        let count = puts
            .iter()
            .filter(|change| change.id().kind == kind)
            .count();
        format!("{count} {}", kind.field())
    });
    counts.collect::<Vec<_>>().join(", ")
}
