//! What the verbs that only ask have in common.

use std::process::ExitCode;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    cli::RemoteArgs,
    commands::{
        Status, print,
        remote::{Remote, RemoteError},
    },
};

/// Asks the fleet for `path` and prints the answer, as JSON or with `show`.
pub async fn run<T>(remote: &RemoteArgs, path: &str, show: impl FnOnce(&T)) -> ExitCode
where
    T: DeserializeOwned + Serialize,
{
    match ask::<T>(remote, path).await {
        Ok(answer) => {
            if remote.json {
                print::json(&answer);
            } else {
                show(&answer);
            }
            Status::Done.into()
        }
        Err(e) => print::failure(&e).into(),
    }
}

async fn ask<T: DeserializeOwned>(remote: &RemoteArgs, path: &str) -> Result<T, RemoteError> {
    Remote::open(remote)?.get(path).await
}
