//! The verb `publish`: shows what a file changes, then publishes it.

use std::{process::ExitCode, slice};

use compact_str::CompactString;
use rand::Rng;

use crate::{
    cli::{PublishArgs, RemoteArgs},
    commands::{
        Status,
        files::ConfigurationFiles,
        print,
        remote::{FleetClient, RemoteError},
    },
    coordination::configuration::{
        edit::Edit,
        outcome::{Outcome, Refusal},
    },
    protocol::operators::{PublishBody, PublishReport},
    state::{
        diff::{Change, ObjectId},
        record::PublishId,
        snapshot::Generation,
    },
};

/// Runs the verb.
pub async fn run(args: PublishArgs) -> ExitCode {
    let files = match ConfigurationFiles::open(slice::from_ref(&args.file)) {
        Ok(files) => files,
        Err(e) => {
            eprintln!("{e}");
            return Status::Failed.into();
        }
    };
    let mut changes = files.changes.clone();
    match removals(&args.remove) {
        Ok(removals) => changes.extend(removals),
        Err(e) => {
            eprintln!("--remove: {e}");
            return Status::Usage.into();
        }
    }
    let edit = Edit::Objects {
        changes,
        prune: args.prune,
    };
    match show_and_publish(&args, edit).await {
        Ok(report) => finish(&report, &files, args.remote.json).into(),
        Err(e) => print::failure(&e).into(),
    }
}

/// Publishes an edit and prints its differences and outcome.
pub async fn run_edit(remote: &RemoteArgs, edit: Edit) -> ExitCode {
    let published = match FleetClient::open(remote) {
        Ok(fleet) => fleet.publish(&body(edit, None, false)).await,
        Err(e) => Err(e),
    };
    match published {
        Ok(report) => {
            if !remote.json {
                print::differences(&report);
            }
            print::report(&report, remote.json).into()
        }
        Err(e) => print::failure(&e).into(),
    }
}

/// Prints the differences, then publishes unless the same objects have been changed since the
/// preview.
async fn show_and_publish(args: &PublishArgs, edit: Edit) -> Result<PublishReport, RemoteError> {
    let fleet = FleetClient::open(&args.remote)?;
    let preview = fleet.publish(&body(edit.clone(), None, true)).await?;
    if !args.remote.json {
        print::differences(&preview);
    }
    match preview.outcome {
        Outcome::Previewed { generation } if !args.dry_run => {
            fleet.publish(&body(edit, Some(generation), false)).await
        }
        _ => Ok(preview),
    }
}

fn finish(report: &PublishReport, files: &ConfigurationFiles, as_json: bool) -> Status {
    let status = print::report(report, as_json);
    if let Outcome::Refused(Refusal::Faults { faults }) = &report.outcome
        && !as_json
    {
        for fault in faults {
            eprintln!("{}", files.describe_fault(fault));
        }
    }
    status
}

fn body(edit: Edit, base: Option<Generation>, dry_run: bool) -> PublishBody {
    PublishBody {
        id: random_id(),
        edit,
        base,
        dry_run,
    }
}

fn random_id() -> PublishId {
    format!("{:032x}", rand::rng().random::<u128>()).into()
}

fn removals(names: &[CompactString]) -> Result<Vec<Change>, String> {
    let ids = names.iter().map(|name| name.parse::<ObjectId>());
    ids.map(|id| id.map(|id| Change::Remove { id })).collect()
}
