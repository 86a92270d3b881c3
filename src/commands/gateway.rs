//! The verb `gateway`: runs the daemon of an instance on the users' platform.

use std::{
    fs, io,
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::signal::unix::{Signal, SignalKind, signal};

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
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("gateway: step=signals error=\"{e}\"");
            return Status::Failed.into();
        }
    };
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
    wait_for_stop_signal(signals, &args, &gateway).await;
    gateway.shutdown().await;
    Status::Done.into()
}

/// The signals that the gateway handles. One that comes before its handler is installed ends the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file changes.
async fn wait_for_stop_signal(mut signals: Signals, args: &GatewayArgs, gateway: &Gateway) {
    let mut last_modified = modified(&args.settings);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hang_up.recv() => {}
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
