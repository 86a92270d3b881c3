//! The command `stand-in`: one role per process.

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

/// Runs one stand-in until it is interrupted, and prints `listening ADDRESS control ADDRESS` first
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Where the role listens
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("an address")))]
    listen: SocketAddr,
    /// Where it takes control messages; a free port of the same IP number if not given
    #[bpaf(argument("ADDRESS"))]
    control: Option<SocketAddr>,
    #[bpaf(external)]
    role: Role,
}

#[derive(Bpaf, Clone, Debug)]
enum Role {
    /// The transactional table service
    #[bpaf(command)]
    Table,
    /// The object store
    #[bpaf(command)]
    Objects,
    /// The lagging instance list
    #[bpaf(command)]
    Instances {
        /// Its settings, in JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// The rate-limited weight store
    #[bpaf(command)]
    Weights {
        /// Its settings, in JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// The service that rates answers
    #[bpaf(command)]
    Rating {
        /// Its settings, in JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Its settings, in JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        /// Its settings, in JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        config: String,
    },
    /// A TCP relay
    #[bpaf(command)]
    Relay {
        /// Where it connects to
        #[bpaf(argument("ADDRESS"))]
        target: SocketAddr,
    },
}

/// Why the command failed.
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
