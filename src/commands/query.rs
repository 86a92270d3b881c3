//! Shared code of the read-only verbs.

use std::process::ExitCode;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    cli::RemoteArgs,
    commands::{
        Status, print,
        remote::{FleetClient, RemoteError},
    },
};

/// Reads `path` from the fleet and prints the response, as JSON or with `show`.
pub async fn run<T>(remote: &RemoteArgs, path: &str, show: impl FnOnce(&T)) -> ExitCode
where
    T: DeserializeOwned + Serialize,
{
    match fetch::<T>(remote, path).await {
        Ok(response) => {
            if remote.json {
                print::json(&response);
            } else {
                show(&response);
            }
            Status::Done.into()
        }
        Err(e) => print::failure(&e).into(),
    }
}

async fn fetch<T: DeserializeOwned>(remote: &RemoteArgs, path: &str) -> Result<T, RemoteError> {
    FleetClient::open(remote)?.get(path).await
}
