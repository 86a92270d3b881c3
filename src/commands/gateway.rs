//! The verb `gateway`: runs the daemon of an instance on the users' platform.

use std::{
    fs, io,
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    cli::GatewayArgs,
    clock::SystemClock,
    commands::Status,
    gateway::{Gateway, logging, settings::Settings},
    supervise,
};

/// Interval between checks of the settings file for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the gateway until a stop signal, then shuts down without interrupting requests in flight.
pub async fn run(args: GatewayArgs) -> ExitCode {
    let settings = match Settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Status::Usage.into();
        }
    };
    logging::install();
    supervise::log_panics();
    let gateway = match Gateway::spawn(settings, Arc::new(SystemClock)).await {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("gateway: {e}");
            return Status::Failed.into();
        }
    };
    if let Err(e) = wait_for_stop_signal(&args, &gateway).await {
        log::error!("event=signals_unavailable error=\"{e}\"");
    }
    gateway.shutdown().await;
    Status::Done.into()
}

/// Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file changes.
async fn wait_for_stop_signal(args: &GatewayArgs, gateway: &Gateway) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut last_modified = modified(&args.settings);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                if modified(&args.settings) == last_modified {
                    continue;
                }
            }
        }
        last_modified = modified(&args.settings);
        match Settings::open(&args.settings) {
            Ok(settings) => gateway.reload(&settings),
            Err(e) => log::error!("event=reload error=\"{e}\" kept=settings_before"),
        }
    }
}

/// Returns the modification time of a file, or `None` if its metadata cannot be read.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}
