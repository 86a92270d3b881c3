//! The verb `serve`: runs the daemon of this instance.

use std::{io, process::ExitCode, sync::Arc};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    cli::ServeArgs, clock::SystemClock, commands::Status, daemon::Daemon, settings::Settings,
};

/// Runs the daemon until it is told to leave, then leaves without cutting a request.
pub async fn run(args: ServeArgs) -> ExitCode {
    let settings = match Settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Status::Usage.into();
        }
    };
    log_to_stderr();
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

/// Writes log lines to the standard error.
pub fn log_to_stderr() {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    // A second call in one process keeps the first logger.
    let _ = WriteLogger::init(LevelFilter::Info, config, io::stderr());
}

/// Waits for SIGTERM or SIGINT; both stay caught, so that a second one cuts nothing.
async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
