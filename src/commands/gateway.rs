//! The verb `gateway`: runs the daemon of an instance on the users' platform.

use std::{io, process::ExitCode, sync::Arc};

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    cli::GatewayArgs,
    clock::SystemClock,
    commands::Status,
    gateway::{Gateway, logging, settings::Settings},
};

/// Runs the gateway until it is told to stop, then leaves without cutting a request.
pub async fn run(args: GatewayArgs) -> ExitCode {
    let settings = match Settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Status::Usage.into();
        }
    };
    logging::open();
    let gateway = match Gateway::spawn(settings, Arc::new(SystemClock)).await {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("gateway: {e}");
            return Status::Failed.into();
        }
    };
    if let Err(e) = stop_signal(&args).await {
        log::error!("event=signals_unavailable error=\"{e}\"");
    }
    gateway.shutdown().await;
    Status::Done.into()
}

/// Waits for the order to stop; a hang-up only has the settings checked again.
async fn stop_signal(args: &GatewayArgs) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => match Settings::open(&args.settings) {
                Ok(_) => log::info!("event=reload settings=read"),
                Err(e) => log::error!("event=reload error=\"{e}\""),
            },
        }
    }
}
