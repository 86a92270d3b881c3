//! The verb `serve`: runs the daemon of this instance.

use std::{io, process::ExitCode, sync::Arc};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    cli::ServeArgs, clock::SystemClock, commands::Status, daemon::Daemon, settings::Settings,
    supervise,
};

/// Runs the daemon until a stop signal, then shuts down without interrupting requests in flight.
pub async fn run(args: ServeArgs) -> ExitCode {
    let settings = match Settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Status::Usage.into();
        }
    };
    log_to_stderr();
    supervise::log_panics();
    let daemon = match Daemon::spawn(settings, Arc::new(SystemClock)).await {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("serve: {e}");
            return Status::Failed.into();
        }
    };
    if let Err(e) = wait_for_stop_signal().await {
        log::error!("step=signal error={e}");
    }
    daemon.shutdown().await;
    Status::Done.into()
}

/// Writes log lines to standard error.
pub fn log_to_stderr() {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    // Fails if the process already has a logger, which stays in use.
    let _ = WriteLogger::init(LevelFilter::Info, config, io::stderr());
}

/// Waits for SIGTERM or SIGINT. The handlers stay installed, so that a second signal does not
/// interrupt the shutdown.
async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
