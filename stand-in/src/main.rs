//! The `stand-in` command, which runs one role per process.

use std::{io::Write, net::SocketAddr, process::ExitCode};

use bpaf::Bpaf;
use serde::de::DeserializeOwned;
use stand_in::{
    engine::Engine,
    instances::InstanceList,
    objects::ObjectStore,
    rating::RatingService,
    relay::Relay,
    server::{ListenAddresses, RoleHandle},
    service::Service,
    table::Table,
    weights::WeightStore,
};

/// Runs one fake service until interrupted; prints `listening ADDRESS control ADDRESS` on startup
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Address of the role's own interface
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("valid default address")))]
    listen: SocketAddr,
    /// Address for control messages; defaults to a free port on the same IP address
    #[bpaf(argument("ADDRESS"))]
    control: Option<SocketAddr>,
    #[bpaf(external)]
    role: Role,
}

#[derive(Bpaf, Clone, Debug)]
enum Role {
    /// Transactional table service
    #[bpaf(command)]
    Table,
    /// Object store
    #[bpaf(command)]
    Objects,
    /// Instance list with delayed updates
    #[bpaf(command)]
    Instances {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// Rate-limited weight store
    #[bpaf(command)]
    Weights {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// Service that rates answers
    #[bpaf(command)]
    Rating {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// Model engine
    #[bpaf(command)]
    Engine {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// Plain HTTP service
    #[bpaf(command)]
    Service {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// TCP relay
    #[bpaf(command)]
    Relay {
        /// Address to relay connections to
        #[bpaf(argument("ADDRESS"))]
        target: SocketAddr,
    },
}

/// Error of the command.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("--config: {0}")]
    Config(#[from] serde_json::Error),
    #[error(transparent)]
    Role(#[from] stand_in::server::Error),
    #[error("standard output: {0}")]
    Output(#[from] std::io::Error),
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e @ Error::Config(_)) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), Error> {
    let mut listen = ListenAddresses::from(options.listen);
    listen.control = options.control.unwrap_or(listen.control);
    let running = spawn(options.role, listen).await?;
    let mut out = std::io::stdout();
    writeln!(
        out,
        "listening {} control {}",
        running.address, running.control_address
    )?;
    out.flush()?;
    tokio::signal::ctrl_c().await?;
    running.shutdown().await;
    Ok(())
}

async fn spawn(role: Role, listen: ListenAddresses) -> Result<RoleHandle, Error> {
    let running = match role {
        Role::Table => Table::spawn(listen).await?,
        Role::Objects => ObjectStore::spawn(listen).await?,
        Role::Instances { config } => InstanceList::spawn(parse(&config)?, listen).await?,
        Role::Weights { config } => WeightStore::spawn(parse(&config)?, listen).await?,
        Role::Rating { config } => RatingService::spawn(parse(&config)?, listen).await?,
        Role::Engine { config } => Engine::spawn(parse(&config)?, listen).await?,
        Role::Service { config } => Service::spawn(parse(&config)?, listen).await?,
        Role::Relay { target } => Relay::spawn(target, listen).await?,
    };
    Ok(running)
}

fn parse<T: DeserializeOwned>(config: &str) -> Result<T, serde_json::Error> {
    serde_json::from_str(config)
}
