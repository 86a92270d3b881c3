//! Command line arguments.

use std::{net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::Bpaf;
use compact_str::CompactString;

const EXIT_STATUSES: &str = "\
Every verb is safe to repeat; VERB --help shows an example.
Exit status: 0 done, 1 refused or failed, 2 invalid usage or settings, 3 outcome unknown (safe to run again).";

/// A verb and its arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    generate(command_line),
    ignore_rustdoc,
    descr("A model-aware router: identical daemons between callers and upstreams."),
    footer(EXIT_STATUSES)
)]
pub enum Command {
    /// Run the daemon of this instance.
    #[bpaf(command, footer("Example: hibiscusyoke serve entry-1.jsonc"))]
    Serve(#[bpaf(external(serve_args))] ServeArgs),
    /// Run the daemon of this instance on the users' platform.
    ///
    /// The environment variable HIBISCUSYOKE_CONFIG can give the settings file instead.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke gateway --settings gateway.jsonc")
    )]
    Gateway(#[bpaf(external(gateway_args))] GatewayArgs),
    /// Show the log lines of one request, and the state changes that preceded them.
    ///
    /// Reads a gateway's log from standard input.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke trace 9c41d07be2a35f68 < gateway.log")
    )]
    Trace(#[bpaf(external(trace_args))] TraceArgs),
    /// Validate configuration files as one set, without publishing.
    #[bpaf(command, footer("Example: hibiscusyoke check configuration.jsonc"))]
    Check(#[bpaf(external(check_args))] CheckArgs),
    /// Show what a file changes, then publish it.
    ///
    /// Objects that are missing from the file stay as they are, and an object without a state in the
    /// file keeps its current state.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke publish configuration.jsonc --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Publish(#[bpaf(external(publish_args))] PublishArgs),
    /// Take a failure domain out of service, or back in.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke domain out padana-a --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Domain(#[bpaf(external(service_args))] ServiceArgs),
    /// Withdraw, drain or enable a version.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke version withdraw draft-2 --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Version(#[bpaf(external(version_args))] VersionArgs),
    /// Take an upstream out of service, or back in.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke upstream out engine-3 --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Upstream(#[bpaf(external(service_args))] ServiceArgs),
    /// Show the fleet and the generation in force on each daemon.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke status --daemon 10.0.0.1:7003 --key-file operator.key")
    )]
    Status(#[bpaf(external(status_args))] StatusArgs),
    /// Show the decisions about one request, in order.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke explain 01J9ZK --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
    /// Show where a request would go now, without sending it.
    ///
    /// Asks the gateway of this instance, on its metrics address.
    #[bpaf(
        command("explain-route"),
        footer(
            "Example: hibiscusyoke explain-route --daemon 10.0.0.1:9464 --route ask --model '*' --prompt-parts a:500,b:200 --tokens 900,24"
        )
    )]
    ExplainRoute(#[bpaf(external(explain_route_args))] ExplainRouteArgs),
    /// Show what each customer is billed.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke invoice --customer gate --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Invoice(#[bpaf(external(invoice_args))] InvoiceArgs),
    /// Show the latest published generations.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke generations --daemon 10.0.0.1:7003 --key-file operator.key")
    )]
    Generations(#[bpaf(external(status_args))] StatusArgs),
    /// Run three daemons and their stand-ins in this process and send a few requests.
    #[bpaf(command, footer("Example: hibiscusyoke demo --hold"))]
    Demo(#[bpaf(external(demo_args))] DemoArgs),
    /// Run a measurement against stand-ins in this process.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke measure filmverde-gate --policy naive --seed 1")
    )]
    Measure(#[bpaf(external(measure_args))] MeasureArgs),
}

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ServeArgs {
    /// The settings file, JSON with comments
    #[bpaf(positional("SETTINGS"))]
    pub settings: PathBuf,
}

/// Arguments of `gateway`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct GatewayArgs {
    /// The settings file, JSON with comments
    #[bpaf(env("HIBISCUSYOKE_CONFIG"), long("settings"), argument("SETTINGS"))]
    pub settings: PathBuf,
}

/// Arguments of `trace`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TraceArgs {
    /// Request id
    #[bpaf(positional("ID"))]
    pub id: CompactString,
}

/// Arguments for connecting to the fleet as an operator.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct RemoteArgs {
    /// Operators' address of a daemon; can be repeated, for use when one does not respond
    #[bpaf(
        long("daemon"),
        argument("ADDR"),
        some("at least one --daemon is required")
    )]
    pub daemons: Vec<SocketAddr>,
    /// File that contains the operator's key
    #[bpaf(long("key-file"), argument("FILE"))]
    pub key_file: PathBuf,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckArgs {
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// Configuration files, JSON with comments
    #[bpaf(positional("FILE"), some("at least one FILE is required"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of `publish`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PublishArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
    /// Remove the objects that are missing from the file
    #[bpaf(long, switch)]
    pub prune: bool,
    /// Remove one object, such as upstream/engine-3; can be repeated
    #[bpaf(long, argument("KIND/NAME"))]
    pub remove: Vec<CompactString>,
    /// Show the differences without publishing them
    #[bpaf(long, switch)]
    pub dry_run: bool,
    /// The configuration file, JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Whether to take an object out of service or back in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceVerb {
    /// Out of service.
    Out,
    /// Back in service.
    In,
}

impl FromStr for ServiceVerb {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err("expected out or in".into()),
        }
    }
}

/// Change of the state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerb {
    /// The version receives no requests.
    Withdraw,
    /// The version receives only the requests of its own sessions.
    Drain,
    /// The version receives all requests.
    Enable,
}

impl FromStr for VersionVerb {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "withdraw" => Ok(Self::Withdraw),
            "drain" => Ok(Self::Drain),
            "enable" => Ok(Self::Enable),
            _ => Err("expected withdraw, drain or enable".into()),
        }
    }
}

/// Arguments of `domain` and `upstream`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ServiceArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
    /// Either out or in
    #[bpaf(positional("out|in"))]
    pub verb: ServiceVerb,
    /// Name of the failure domain or upstream
    #[bpaf(positional("NAME"))]
    pub name: CompactString,
}

/// Arguments of `version`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct VersionArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
    /// Either withdraw, drain or enable
    #[bpaf(positional("withdraw|drain|enable"))]
    pub verb: VersionVerb,
    /// Name of the version
    #[bpaf(positional("NAME"))]
    pub name: CompactString,
}

/// Arguments of `status` and `generations`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
}

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
    /// Request id, as returned in the response
    #[bpaf(positional("REQUEST"))]
    pub request: CompactString,
}

/// Arguments of `explain-route`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainRouteArgs {
    /// Metrics address of the gateway of this instance
    #[bpaf(long, argument("ADDR"))]
    pub daemon: SocketAddr,
    /// Name of the route
    #[bpaf(long, argument("NAME"))]
    pub route: CompactString,
    /// Name of the customer
    #[bpaf(long, argument("NAME"))]
    pub customer: Option<CompactString>,
    /// Model, or * if the gateway chooses it
    #[bpaf(long, argument("MODEL"))]
    pub model: Option<CompactString>,
    /// Session, or the request's id if it has none
    #[bpaf(long, argument("SESSION"))]
    pub session: Option<CompactString>,
    /// Parts of the prompt and their lengths in tokens
    #[bpaf(long, argument("ID:TOKENS,..."))]
    pub prompt_parts: Option<CompactString>,
    /// Tokens of the prompt and of the response
    #[bpaf(long, argument("PROMPT,RESPONSE"))]
    pub tokens: Option<CompactString>,
    /// How long the caller waits, in milliseconds
    #[bpaf(long, argument("MS"))]
    pub deadline_ms: Option<u64>,
    /// Size of the body in bytes
    #[bpaf(long, argument("BYTES"), fallback(0))]
    pub body_bytes: usize,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Arguments of `invoice`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct InvoiceArgs {
    #[bpaf(external(remote_args))]
    /// Connection to the fleet.
    pub remote: RemoteArgs,
    /// Show only this customer
    #[bpaf(long, argument("NAME"))]
    pub customer: Option<CompactString>,
}

/// Arguments of `demo`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DemoArgs {
    /// Keep the fleet running at the printed addresses until interrupted
    #[bpaf(long, switch)]
    pub hold: bool,
}

/// Arguments of `measure`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct MeasureArgs {
    /// Write the results to this file as JSON
    #[bpaf(long, argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Also send the same requests to a baseline policy; the only one is `naive`
    #[bpaf(long, argument("POLICY"))]
    pub policy: Option<CompactString>,
    /// Duration of the load
    #[bpaf(long, argument("SECONDS"))]
    pub seconds: Option<u64>,
    /// Seed of the random number generators
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Scenario to measure
    #[bpaf(positional("SCENARIO"))]
    pub scenario: CompactString,
}
