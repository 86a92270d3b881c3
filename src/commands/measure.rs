//! The verb `measure`: runs a measurement against stand-ins.

use std::{fs, path::Path, process::ExitCode, time::Duration};

use crate::{
    cli::MeasureArgs,
    commands::Status,
    measure::{self, Comparison, Plan, Scenario},
};

/// Runs the verb.
pub async fn run(args: MeasureArgs) -> ExitCode {
    let plan = match plan(&args) {
        Ok(plan) => plan,
        Err(reason) => {
            eprintln!("measure: {reason}");
            return Status::Usage.into();
        }
    };
    let comparison = match measure::run(&plan).await {
        Ok(comparison) => comparison,
        Err(e) => {
            eprintln!("measure: {e}");
            return Status::Failed.into();
        }
    };
    print!("{comparison}");
    match args.json.map(|path| write(&path, &comparison)) {
        Some(Err(reason)) => {
            eprintln!("measure: {reason}");
            Status::Failed.into()
        }
        Some(Ok(())) | None => Status::Done.into(),
    }
}

fn plan(args: &MeasureArgs) -> Result<Plan, String> {
    let scenario: Scenario = args.scenario.parse()?;
    let with_naive = match args.policy.as_deref() {
        None => false,
        Some("naive") => true,
        Some(other) => return Err(format!("unknown policy {other}; the only policy is naive")),
    };
    let duration = args
        .seconds
        .map_or_else(|| scenario.default_duration(), Duration::from_secs);
    Ok(Plan {
        scenario,
        seed: args.seed,
        duration,
        with_naive,
    })
}

fn write(path: &Path, comparison: &Comparison) -> Result<(), String> {
    let json = serde_json::to_vec_pretty(comparison).map_err(|e| e.to_string())?;
    fs::write(path, json).map_err(|e| format!("{}: {e}", path.display()))
}
