//! The arguments of the command line.

use std::{net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::Bpaf;
use compact_str::CompactString;

const EXIT_STATUSES: &str = "\
Every verb is safe to repeat; VERB --help shows an example.
Exit status: 0 done, 1 refused or failed, 2 usage or settings, 3 outcome unknown: run it again, that is harmless.";

/// One verb and its arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    generate(command_line),
    ignore_rustdoc,
    descr("A model-aware router: like daemons between callers and upstreams."),
    footer(EXIT_STATUSES)
)]
pub enum Command {
    /// Run the daemon of this instance.
    #[bpaf(command, footer("Example: hibiscusyoke serve entry-1.jsonc"))]
    Serve(#[bpaf(external(serve_args))] ServeArgs),
    /// Run the daemon of this instance on the users' platform.
    ///
    /// The variable HIBISCUSYOKE_CONFIG may name the settings instead.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke gateway --settings gateway.jsonc")
    )]
    Gateway(#[bpaf(external(gateway_args))] GatewayArgs),
    /// Find what became of a request in a gateway's log, and what the gateway believed by then.
    ///
    /// The log is read from the standard input.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke trace 9c41d07be2a35f68 < gateway.log")
    )]
    Trace(#[bpaf(external(trace_args))] TraceArgs),
    /// Check configuration files as one set, without publishing.
    #[bpaf(command, footer("Example: hibiscusyoke check configuration.jsonc"))]
    Check(#[bpaf(external(check_args))] CheckArgs),
    /// Show what a file changes, then publish it.
    ///
    /// Objects that the file does not name stay as they are, and an object whose file gives no
    /// state keeps the state it has.
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
    /// Show the decisions made about one request, in order.
    #[bpaf(
        command,
        footer(
            "Example: hibiscusyoke explain 01J9ZK --daemon 10.0.0.1:7003 --key-file operator.key"
        )
    )]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
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
    /// Run stand-ins and three daemons in this process and send a few requests.
    #[bpaf(command, footer("Example: hibiscusyoke demo --hold"))]
    Demo(#[bpaf(external(demo_args))] DemoArgs),
    /// Run a measurement against stand-ins in this process.
    #[bpaf(
        command,
        footer("Example: hibiscusyoke measure filmverde-gate --policy naive --seed 1")
    )]
    Measure(#[bpaf(external(measure_args))] MeasureArgs),
}

/// The arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ServeArgs {
    /// The settings file, JSON with comments
    #[bpaf(positional("SETTINGS"))]
    pub settings: PathBuf,
}

/// The arguments of `gateway`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct GatewayArgs {
    /// The settings file, JSON with comments
    #[bpaf(env("HIBISCUSYOKE_CONFIG"), long("settings"), argument("SETTINGS"))]
    pub settings: PathBuf,
}

/// The arguments of `trace`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TraceArgs {
    /// The request's id
    #[bpaf(positional("ID"))]
    pub id: CompactString,
}

/// How to reach the fleet as an operator.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct RemoteArgs {
    /// Operators' address of a daemon; repeat it, and the next is tried when one does not answer
    #[bpaf(
        long("daemon"),
        argument("ADDR"),
        some("at least one --daemon is needed")
    )]
    pub daemons: Vec<SocketAddr>,
    /// File with the operator's key
    #[bpaf(long("key-file"), argument("FILE"))]
    pub key_file: PathBuf,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

/// The arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckArgs {
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// Configuration files, JSON with comments
    #[bpaf(positional("FILE"), some("at least one FILE is needed"))]
    pub files: Vec<PathBuf>,
}

/// The arguments of `publish`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PublishArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
    /// Remove the objects that the file does not name
    #[bpaf(long, switch)]
    pub prune: bool,
    /// Remove one object, such as upstream/engine-3; may be repeated
    #[bpaf(long, argument("KIND/NAME"))]
    pub remove: Vec<CompactString>,
    /// Show the difference and publish nothing
    #[bpaf(long, switch)]
    pub dry_run: bool,
    /// The configuration file, JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Whether to take something out of service or back in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceVerb {
    /// Take it out.
    Out,
    /// Take it back in.
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

/// What to do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerb {
    /// It shall take no work at all.
    Withdraw,
    /// It shall take the requests of its own sessions only.
    Drain,
    /// It shall take all work.
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

/// The arguments of `domain` and `upstream`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ServiceArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
    /// out or in
    #[bpaf(positional("out|in"))]
    pub verb: ServiceVerb,
    /// The name of the object
    #[bpaf(positional("NAME"))]
    pub name: CompactString,
}

/// The arguments of `version`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct VersionArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
    /// withdraw, drain or enable
    #[bpaf(positional("withdraw|drain|enable"))]
    pub verb: VersionVerb,
    /// The name of the version
    #[bpaf(positional("NAME"))]
    pub name: CompactString,
}

/// The arguments of `status` and `generations`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
}

/// The arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
    /// The request's id, as its response gave it
    #[bpaf(positional("REQUEST"))]
    pub request: CompactString,
}

/// The arguments of `invoice`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct InvoiceArgs {
    #[bpaf(external(remote_args))]
    /// How to reach the fleet.
    pub remote: RemoteArgs,
    /// Only this customer
    #[bpaf(long, argument("NAME"))]
    pub customer: Option<CompactString>,
}

/// The arguments of `demo`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DemoArgs {
    /// Keep everything up until interrupted, and print the addresses
    #[bpaf(long, switch)]
    pub hold: bool,
}

/// The arguments of `measure`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct MeasureArgs {
    /// Write the figures to this file as JSON
    #[bpaf(long, argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Send the same arrivals to a baseline as well; the only one is `naive`
    #[bpaf(long, argument("POLICY"))]
    pub policy: Option<CompactString>,
    /// For how long requests arrive
    #[bpaf(long, argument("SECONDS"))]
    pub seconds: Option<u64>,
    /// The seed of everything random
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// What to measure
    #[bpaf(positional("SCENARIO"))]
    pub scenario: CompactString,
}
