//! Output of the verbs.

use serde::Serialize;

use crate::{
    commands::{Status, remote::RemoteError},
    coordination::configuration::outcome::{Outcome, Refusal},
    protocol::operators::PublishReport,
};

/// Prints a value as JSON.
pub fn json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("{e}"),
    }
}

/// Prints why a verb failed and returns its exit status.
pub fn failure(e: &RemoteError) -> Status {
    eprintln!("{e}");
    e.status()
}

/// Prints the outcome of a publish request and returns its exit status.
pub fn report(report: &PublishReport, as_json: bool) -> Status {
    if as_json {
        json(report);
    } else {
        report_text(report);
    }
    status_of(&report.outcome)
}

/// Prints the differences that a publish request makes.
pub fn differences(report: &PublishReport) {
    for difference in &report.differences {
        println!("{difference}");
    }
}

fn report_text(report: &PublishReport) {
    match report.outcome.generation() {
        Some(generation) => println!("{}: generation {generation}", report.outcome),
        None => println!("{}", report.outcome),
    }
    if let Outcome::Refused(refusal) = &report.outcome {
        refusal_details(refusal);
    }
    names("in force on", &report.in_force);
    names("awaited on", &report.awaited);
}

fn refusal_details(refusal: &Refusal) {
    match refusal {
        Refusal::Faults { faults } => {
            for fault in faults {
                println!("  {fault}");
            }
        }
        Refusal::Conflicts { conflicts } => {
            for conflict in conflicts {
                println!("  {conflict}");
            }
        }
        Refusal::BaseTooOld { .. }
        | Refusal::Raced { .. }
        | Refusal::TableDown { .. }
        | Refusal::TableUnreadable { .. } => {}
    }
}

fn names<T: AsRef<str>>(title: &str, names: &[T]) {
    if names.is_empty() {
        return;
    }
    let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    println!("{title}: {}", names.join(" "));
}

/// Returns the exit status for the outcome of a publish request.
pub fn status_of(outcome: &Outcome) -> Status {
    match outcome {
        Outcome::Accepted { .. }
        | Outcome::Repeated { .. }
        | Outcome::Unchanged { .. }
        | Outcome::Previewed { .. } => Status::Done,
        Outcome::Refused(_) => Status::Failed,
        Outcome::Unknown { .. } => Status::Unknown,
    }
}
