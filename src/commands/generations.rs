//! The verb `generations`: shows the latest published generations.

use std::process::ExitCode;

use crate::{
    cli::StatusArgs,
    commands::query,
    protocol::operators::{GENERATIONS_PATH, GenerationSummary},
};

/// Maximum number of objects listed per generation.
const MAX_OBJECTS_SHOWN: usize = 8;

/// Runs the verb.
pub async fn run(args: StatusArgs) -> ExitCode {
    query::run(&args.remote, GENERATIONS_PATH, show).await
}

fn show(generations: &Vec<GenerationSummary>) {
    for summary in generations {
        println!(
            "{} at_ms={} operator={} id={} objects={}",
            summary.generation,
            summary.at_ms,
            summary.operator,
            summary.publish_id,
            format_object_names(summary)
        );
    }
}

fn format_object_names(summary: &GenerationSummary) -> String {
    let names = summary
        .objects
        .iter()
        .take(MAX_OBJECTS_SHOWN)
        .map(ToString::to_string);
    let names = names.collect::<Vec<_>>().join(",");
    match summary.objects.len().checked_sub(MAX_OBJECTS_SHOWN) {
        Some(more) if more > 0 => format!("{names} and {more} more"),
        _ => names,
    }
}
