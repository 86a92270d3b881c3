//! The demo: a small fleet on loopback that serves a few real requests of each kind.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use stand_in::instances::InstancesConfig;

use crate::{
    coordination::configuration::edit::Edit,
    daemon::Daemon,
    local::{
        LocalError,
        caller::{Answer, LocalCaller, Streamed},
        fleet::{self, Place},
        platform::LocalPlatform,
        upstreams::{self, LocalUpstreams},
    },
    state::{objects::ServiceState, snapshot::Generation},
};

mod objects;

/// How long the fleet may take to meet or to take up a generation.
const SETTLE: Duration = Duration::from_secs(5);
/// How long a caller may go on using an address, in seconds; short, so that the demo ends soon.
const KEEP_SECONDS: u64 = 1;

/// A running demo.
pub struct Demo {
    _platform: LocalPlatform,
    upstreams: LocalUpstreams,
    daemons: Vec<Daemon>,
}

impl Demo {
    /// Starts stand-ins and three daemons, and publishes the first configuration.
    pub async fn spawn() -> Result<Self, LocalError> {
        let platform = LocalPlatform::spawn(InstancesConfig::default()).await?;
        let upstreams = upstreams::spawn(objects::upstream_plans()).await?;
        let mut settings = Vec::new();
        for (at, domain) in objects::DOMAINS.iter().enumerate() {
            let place = Place {
                name: format!("entry-{}", at + 1).into(),
                failure_domain: (*domain).into(),
            };
            settings.push(fleet::settings(place, platform.addresses(), KEEP_SECONDS)?);
        }
        fleet::list_daemons(&platform, &settings)?;
        let daemons = fleet::spawn(settings).await?;
        let demo = Self {
            _platform: platform,
            upstreams,
            daemons,
        };
        fleet::wait_for_members(&demo.daemons, SETTLE).await?;
        demo.publish_first().await?;
        Ok(demo)
    }

    /// Sends a request of each kind, takes a failure domain out and back, and prints what happened.
    pub async fn tour(&self) -> Result<(), LocalError> {
        let clerk = self.caller(0, objects::CLERKS_KEY);
        let haulier = self.caller(1, objects::HAULIERS_KEY);
        show("locate", &clerk.locate().await?);
        self.completions(&clerk, &haulier).await?;
        self.bookings(&clerk).await?;
        self.domain_out_and_back(&clerk).await
    }

    /// Prints where everything listens.
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

    /// Stops the daemons gracefully, all at once.
    pub async fn shutdown(self) {
        futures::future::join_all(self.daemons.into_iter().map(Daemon::shutdown)).await;
    }

    async fn publish_first(&self) -> Result<Generation, LocalError> {
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
        fleet::wait_for_generation(&self.daemons, generation, SETTLE).await?;
        println!("generation {generation} is in force on all daemons");
        Ok(generation)
    }

    async fn completions(
        &self,
        clerk: &LocalCaller,
        haulier: &LocalCaller,
    ) -> Result<(), LocalError> {
        let none = HeaderMap::new();
        show(
            "easy draft",
            &clerk
                .chat("draft", "summarise difficulty=0.1", &none)
                .await?,
        );
        show(
            "hard draft",
            &clerk
                .chat("draft", "weigh up difficulty=0.6", &none)
                .await?,
        );
        let opening = header("session", "new");
        let streamed = clerk
            .stream("gate", "which lane difficulty=0.2", &opening)
            .await?;
        show_stream("gate answer", &streamed);
        if let Some(token) = streamed.headers.get("session") {
            let going_on =
                HeaderMap::from_iter([(http::HeaderName::from_static("session"), token.clone())]);
            let streamed = clerk
                .stream("gate", "and then difficulty=0.2", &going_on)
                .await?;
            show_stream("same session", &streamed);
        }
        show(
            "not allowed",
            &haulier.chat("gate", "which lane", &none).await?,
        );
        Ok(())
    }

    async fn bookings(&self, clerk: &LocalCaller) -> Result<(), LocalError> {
        let key = header("idempotency-key", "demo-load-17");
        let body = bytes::Bytes::from_static(b"{\"load\":17}");
        let elsewhere = self.caller(2, objects::CLERKS_KEY);
        for (what, caller) in [
            ("booking", clerk),
            ("booking repeated elsewhere", &elsewhere),
        ] {
            let answer = caller
                .service(Method::POST, "intake", "bookings", &key, body.clone())
                .await?;
            show(what, &answer);
        }
        Ok(())
    }

    async fn domain_out_and_back(&self, clerk: &LocalCaller) -> Result<(), LocalError> {
        let none = HeaderMap::new();
        for state in [ServiceState::Out, ServiceState::In] {
            println!("failure domain {} {state}", objects::DOMAINS[0]);
            self.publish(Edit::FailureDomain {
                name: objects::DOMAINS[0].into(),
                state,
            })
            .await?;
            show(
                "draft meanwhile",
                &clerk.chat("draft", "note difficulty=0.1", &none).await?,
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

fn show(what: &str, answer: &Answer) {
    /// The number of characters shown of a body.
    const SHOWN: usize = 160;
    let body: String = String::from_utf8_lossy(&answer.body)
        .chars()
        .take(SHOWN)
        .collect();
    println!("{what}: {} {body}", answer.status.as_u16());
}

fn show_stream(what: &str, streamed: &Streamed) {
    println!(
        "{what}: {} tokens, first after {} ms, whole={} error={:?}",
        streamed.tokens,
        streamed.first_token.as_millis(),
        streamed.whole,
        streamed.error
    );
}

/// Runs the demo; with `hold`, keeps everything up until interrupted.
pub async fn run(hold: bool) -> Result<(), LocalError> {
    let demo = Demo::spawn().await?;
    demo.print_addresses();
    demo.tour().await?;
    if hold {
        println!("holding; interrupt to stop");
        tokio::signal::ctrl_c().await?;
    }
    demo.shutdown().await;
    Ok(())
}
