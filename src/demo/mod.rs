//! The demo: a small fleet on loopback that serves a few requests of each kind.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use stand_in::instances::InstancesConfig;

use crate::{
    coordination::configuration::edit::Edit,
    daemon::Daemon,
    local::{
        LocalError,
        caller::{LocalCaller, Response, StreamedResponse},
        fleet::{self, DaemonIdentity},
        platform::LocalPlatform,
        upstreams::{self, LocalUpstreams},
    },
    state::{objects::ServiceState, snapshot::Generation},
};

mod objects;

/// Maximum time for the daemons to discover each other or to activate a generation.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may use an address, in seconds; short, so that the demo shuts down quickly.
const KEEP_SECONDS: u64 = 1;

/// A running demo.
pub struct Demo {
    _platform: LocalPlatform,
    upstreams: LocalUpstreams,
    daemons: Vec<Daemon>,
}

impl Demo {
    /// Starts stand-ins and three daemons, and publishes the initial configuration.
    pub async fn spawn() -> Result<Self, LocalError> {
        let platform = LocalPlatform::spawn(InstancesConfig::default()).await?;
        let upstreams = upstreams::spawn(objects::upstream_plans()).await?;
        let mut settings = Vec::new();
        for (index, domain) in objects::DOMAINS.iter().enumerate() {
            let identity = DaemonIdentity {
                name: format!("entry-{}", index + 1).into(),
                failure_domain: (*domain).into(),
            };
            settings.push(fleet::settings(
                identity,
                platform.addresses(),
                KEEP_SECONDS,
            )?);
        }
        fleet::register_daemons(&platform, &settings)?;
        let daemons = fleet::spawn(settings).await?;
        let demo = Self {
            _platform: platform,
            upstreams,
            daemons,
        };
        fleet::wait_for_members(&demo.daemons, SETTLE_TIMEOUT).await?;
        demo.publish_initial_configuration().await?;
        Ok(demo)
    }

    /// Sends a request of each kind, takes a failure domain out of service and back in, and prints
    /// the results.
    pub async fn run_requests(&self) -> Result<(), LocalError> {
        let clerk = self.caller(0, objects::CLERKS_KEY);
        let haulier = self.caller(1, objects::HAULIERS_KEY);
        print_response("locate", &clerk.locate().await?);
        self.send_completions(&clerk, &haulier).await?;
        self.send_bookings(&clerk).await?;
        self.cycle_failure_domain(&clerk).await
    }

    /// Prints the addresses of all daemons and upstreams, and the keys.
    pub fn print_addresses(&self) {
        for daemon in &self.daemons {
            let settings = &daemon.components().core.settings;
            println!(
                "daemon {} in {}: callers http://{} operators http://{}",
                settings.name, settings.failure_domain, settings.callers, settings.operators
            );
        }
        for (name, upstream) in &self.upstreams {
            println!("upstream {name}: http://{}", upstream.running.address);
        }
        println!(
            "customer keys: {} {}",
            objects::CLERKS_KEY,
            objects::HAULIERS_KEY
        );
        println!("operator key: {}", fleet::OPERATOR_KEY);
    }

    /// Shuts down all daemons gracefully and in parallel.
    pub async fn shutdown(self) {
        futures::future::join_all(self.daemons.into_iter().map(Daemon::shutdown)).await;
    }

    async fn publish_initial_configuration(&self) -> Result<Generation, LocalError> {
        let objects = objects::objects(&self.upstreams);
        let changes = objects.puts();
        let edit = Edit::Objects {
            changes,
            prune: true,
        };
        self.publish(edit).await
    }

    async fn publish(&self, edit: Edit) -> Result<Generation, LocalError> {
        let generation = fleet::publish(&self.daemons[0], edit).await?;
        fleet::wait_for_generation(&self.daemons, generation, SETTLE_TIMEOUT).await?;
        println!("generation {generation} is in force on all daemons");
        Ok(generation)
    }

    async fn send_completions(
        &self,
        clerk: &LocalCaller,
        haulier: &LocalCaller,
    ) -> Result<(), LocalError> {
        let no_headers = HeaderMap::new();
        print_response(
            "easy draft",
            &clerk
                .chat("draft", "summarise difficulty=0.1", &no_headers)
                .await?,
        );
        print_response(
            "hard draft",
            &clerk
                .chat("draft", "weigh up difficulty=0.6", &no_headers)
                .await?,
        );
        let new_session = header("session", "new");
        let streamed = clerk
            .stream("gate", "which lane difficulty=0.2", &new_session)
            .await?;
        print_stream("gate answer", &streamed);
        if let Some(token) = streamed.headers.get("session") {
            let session_headers =
                HeaderMap::from_iter([(http::HeaderName::from_static("session"), token.clone())]);
            let streamed = clerk
                .stream("gate", "and then difficulty=0.2", &session_headers)
                .await?;
            print_stream("same session", &streamed);
        }
        print_response(
            "not allowed",
            &haulier.chat("gate", "which lane", &no_headers).await?,
        );
        Ok(())
    }

    async fn send_bookings(&self, clerk: &LocalCaller) -> Result<(), LocalError> {
        let key = header("idempotency-key", "demo-load-17");
        let body = bytes::Bytes::from_static(b"{\"load\":17}");
        let other_daemon = self.caller(2, objects::CLERKS_KEY);
        for (label, caller) in [
            ("booking", clerk),
            ("booking repeated on another daemon", &other_daemon),
        ] {
            let response = caller
                .service(Method::POST, "intake", "bookings", &key, body.clone())
                .await?;
            print_response(label, &response);
        }
        Ok(())
    }

    async fn cycle_failure_domain(&self, clerk: &LocalCaller) -> Result<(), LocalError> {
        let no_headers = HeaderMap::new();
        for state in [ServiceState::Out, ServiceState::In] {
            println!("failure domain {} {state}", objects::DOMAINS[0]);
            self.publish(Edit::FailureDomain {
                name: objects::DOMAINS[0].into(),
                state,
            })
            .await?;
            print_response(
                "draft request",
                &clerk
                    .chat("draft", "note difficulty=0.1", &no_headers)
                    .await?,
            );
        }
        Ok(())
    }

    fn caller(&self, daemon: usize, key: &str) -> LocalCaller {
        let daemon = &self.daemons[daemon % self.daemons.len()];
        LocalCaller::new(daemon.components().core.settings.callers, key)
    }
}

fn header(name: &'static str, value: &'static str) -> HeaderMap {
    let name = http::HeaderName::from_static(name);
    HeaderMap::from_iter([(name, HeaderValue::from_static(value))])
}

fn print_response(label: &str, response: &Response) {
    /// Maximum number of body characters to print.
    const MAX_BODY_CHARS: usize = 160;
    let body: String = String::from_utf8_lossy(&response.body)
        .chars()
        .take(MAX_BODY_CHARS)
        .collect();
    println!("{label}: {} {body}", response.status.as_u16());
}

fn print_stream(label: &str, streamed: &StreamedResponse) {
    println!(
        "{label}: {} tokens, first after {} ms, whole={} error={:?}",
        streamed.tokens,
        streamed.first_token.as_millis(),
        streamed.complete,
        streamed.error
    );
}

/// Runs the demo. With `hold`, keeps the fleet running until interrupted.
pub async fn run(hold: bool) -> Result<(), LocalError> {
    let demo = Demo::spawn().await?;
    demo.print_addresses();
    demo.run_requests().await?;
    if hold {
        println!("running until interrupted");
        tokio::signal::ctrl_c().await?;
    }
    demo.shutdown().await;
    Ok(())
}
