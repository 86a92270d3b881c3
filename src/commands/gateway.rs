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
};

/// How often the settings file is looked at.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);

/// Runs the gateway until it is told to stop, then leaves without cutting a request.
pub async fn run(args: GatewayArgs) -> ExitCode {
    let settings = match Settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Status::Usage.into();
        }
    };
    logging::install();
    let gateway = match Gateway::spawn(settings, Arc::new(SystemClock)).await {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("gateway: {e}");
            return Status::Failed.into();
        }
    };
    if let Err(e) = stop_signal(&args, &gateway).await {
        log::error!("event=signals_unavailable error=\"{e}\"");
    }
    gateway.shutdown().await;
    Status::Done.into()
}

/// Waits for the order to stop; reads the settings again at a hang-up, and when they change.
async fn stop_signal(args: &GatewayArgs, gateway: &Gateway) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut changed = modified(&args.settings);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SETTINGS_PERIOD) => {
                if modified(&args.settings) == changed {
                    continue;
                }
            }
        }
        changed = modified(&args.settings);
        match Settings::open(&args.settings) {
            Ok(settings) => gateway.reload(&settings),
            Err(e) => log::error!("event=reload error=\"{e}\" kept=settings_before"),
        }
    }
}

/// When a file was last changed; a file that cannot be looked at counts as unchanged.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}
