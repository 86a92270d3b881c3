//! Deployment under test: a table, upstreams behind proxies, and gateways.

use std::{
    collections::BTreeMap,
    fs, io,
    path::Path,
    time::{Duration, Instant},
};

use serde_json::json;
use stand_in::gateway::{
    deployment,
    table::{FakeTable, TableCopy},
    upstream::{Behaviour, FakeUpstream, Framing},
};

use crate::{
    Options,
    fleet::Fleet,
    proxy::{LinkState, Proxy},
    records::Span,
    schedule::OddRow,
};

/// Ids and services of the upstreams.
pub const UPSTREAMS: [Upstream; 6] = [
    Upstream::new("e1", "pool"),
    Upstream::new("e2", "pool"),
    Upstream::new("e3", "pool"),
    Upstream::new("p1", "desk"),
    Upstream::new("p2", "desk"),
    Upstream::new("p3", "desk"),
];
/// Number of slots of a plain upstream.
const PLAIN_SLOTS: usize = 4;
/// Number of routes by which the configuration grows.
const MANY_ROUTES: usize = 2_000;
/// Keys of odd rows, which sort before and after those of the upstreams.
const ODD_KEYS: [&str; 2] = ["0-odd", "z-odd"];
/// API key of all callers.
pub const KEY: &str = "k1";

/// Id and service of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Upstream {
    /// Id of the upstream in the table.
    pub id: &'static str,
    /// Service of the upstream.
    pub service: &'static str,
}

impl Upstream {
    const fn new(id: &'static str, service: &'static str) -> Self {
        Self { id, service }
    }
}

/// An upstream and the proxy in front of it.
#[derive(Debug)]
pub struct ProxiedUpstream {
    /// The upstream.
    pub upstream: FakeUpstream,
    /// Proxy for the connections to the upstream.
    pub proxy: Proxy,
    /// Service of the upstream.
    pub service: &'static str,
    /// State in the upstream's row.
    state: &'static str,
}

/// Time after which upstreams cut off responses that are not read.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Fake of the table.
    pub table: FakeTable,
    /// Upstreams with their proxies.
    pub upstreams: Vec<ProxiedUpstream>,
    /// Gateway processes.
    pub fleet: Fleet,
    /// Number of overlapping drains of an upstream, by index.
    draining: BTreeMap<usize, u32>,
    /// Time spans in which an upstream was draining, by index.
    pub drained: BTreeMap<usize, Vec<Span>>,
    /// Time spans in which an upstream announced that it leaves, by index.
    pub left: BTreeMap<usize, Vec<Span>>,
    /// Time spans in which a gateway was cut off from all upstreams, by index.
    pub cut_off: BTreeMap<usize, Vec<Span>>,
    /// Time spans in which an upstream was brittle, by index.
    pub brittle: BTreeMap<usize, Vec<Span>>,
    /// Time spans in which the table or a connection failed.
    unstable: Vec<Span>,
    /// Generation of the current configuration.
    pub generation: u64,
    /// Whether the current configuration has many routes.
    has_many_routes: bool,
}

impl Deployment {
    /// Starts a deployment and waits until its gateways are ready.
    ///
    /// # Errors
    ///
    /// If a process can't be started.
    pub async fn start(number: u8, options: &Options) -> io::Result<Self> {
        let table = FakeTable::spawn().await;
        let mut upstreams = Vec::new();
        let framings = [Framing::Chunked, Framing::Close].into_iter().cycle();
        for (Upstream { id, service }, framing) in UPSTREAMS.into_iter().zip(framings) {
            let upstream = FakeUpstream::spawn(id).await;
            upstream.set_framing(framing);
            upstream.cut_off_unread_after(UNREAD_TIMEOUT);
            if service == "desk" {
                upstream.set_slots(PLAIN_SLOTS);
            }
            let proxy = Proxy::bind(upstream.address()).await?;
            let proxied = ProxiedUpstream {
                upstream,
                proxy,
                service,
                state: "ready",
            };
            table.put("servers", id, &proxied.row());
            upstreams.push(proxied);
        }
        table.put("op", "config", &deployment::configuration(1, &[KEY]));
        let fleet = Fleet::start_all(number, options, table.address()).await?;
        Ok(Self {
            table,
            upstreams,
            fleet,
            draining: BTreeMap::new(),
            drained: BTreeMap::new(),
            left: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            brittle: BTreeMap::new(),
            unstable: Vec::new(),
            generation: 1,
            has_many_routes: false,
        })
    }

    /// Writes odd rows before and after those of the upstreams.
    pub fn put_odd_rows(&self, odd: OddRow) {
        for key in ODD_KEYS {
            match odd {
                OddRow::Unencoded => self.table.put_unencoded("servers", key, "*** not base64"),
                OddRow::NotJson => self.table.put_bytes("servers", key, &[0xff, b'{']),
                OddRow::EnormousColdTime => {
                    let mut row = self.upstreams[0].upstream.row("odd", "v1");
                    row["cold_remaining_ms"] = json!(1e22);
                    self.table.put("servers", key, &row);
                }
            }
        }
    }

    /// Removes the odd rows.
    pub fn remove_odd_rows(&self) {
        for key in ODD_KEYS {
            self.table.remove("servers", key);
        }
    }

    /// Begins to drain an upstream.
    pub fn drain(&mut self, upstream: usize) {
        *self.draining.entry(upstream).or_default() += 1;
        self.set_state(upstream, "draining");
    }

    /// Ends a drain that began at `from`; the upstream accepts requests again after the last one.
    pub fn end_drain(&mut self, upstream: usize, from: Instant) {
        let span = Span {
            from,
            to: Instant::now(),
        };
        self.drained.entry(upstream).or_default().push(span);
        let drains = self.draining.entry(upstream).or_default();
        *drains = drains.saturating_sub(1);
        if *drains == 0 {
            self.set_state(upstream, "ready");
        }
    }

    fn set_state(&mut self, upstream: usize, state: &'static str) {
        self.upstreams[upstream].state = state;
        self.write_row(upstream);
    }

    fn write_row(&self, upstream: usize) {
        let proxied = &self.upstreams[upstream];
        self.table
            .put("servers", &proxied.upstream.id, &proxied.row());
    }

    /// Restores the table from a copy; operators and upstreams then write their rows again.
    pub fn restore_table(&mut self, copy: &TableCopy) {
        let from = Instant::now();
        self.table.restore(copy);
        self.write_configuration();
        for upstream in 0..self.upstreams.len() {
            self.write_row(upstream);
        }
        self.record_unstable(from);
    }

    /// Restarts an upstream that has announced since `from` that it leaves.
    pub fn restart_left_upstream(&mut self, upstream: usize, from: Instant) {
        let span = Span {
            from,
            to: Instant::now(),
        };
        self.left.entry(upstream).or_default().push(span);
        self.upstreams[upstream].upstream.restart();
        self.write_row(upstream);
    }

    /// Sets the state of all connections between a gateway and the upstreams.
    pub fn set_upstream_links(&self, gateway: usize, link: LinkState) {
        let host = self.fleet.caller_address(gateway).ip();
        for proxied in &self.upstreams {
            proxied.proxy.set_for(host, link);
        }
    }

    /// Records that a gateway was cut off from all upstreams from `from` until now.
    pub fn record_cut_off(&mut self, gateway: usize, from: Instant) {
        let to = Instant::now();
        let spans = self.cut_off.entry(gateway).or_default();
        spans.push(Span { from, to });
    }

    /// Sets how all upstreams of a service respond.
    pub fn set_service_behaviour(&self, service: &str, behaviour: Behaviour) {
        for proxied in self.upstreams.iter().filter(|p| p.service == service) {
            proxied.upstream.set_behaviour(behaviour);
        }
    }

    /// Records that the upstreams of a service were brittle from `from` until now.
    pub fn record_brittle(&mut self, service: &str, from: Instant) {
        let to = Instant::now();
        let all = self.upstreams.iter().enumerate();
        for (upstream, _) in all.filter(|(_, proxied)| proxied.service == service) {
            let spans = self.brittle.entry(upstream).or_default();
            spans.push(Span { from, to });
        }
    }

    /// Publishes a new configuration, which still allows the callers' key.
    pub fn publish_configuration(&mut self) {
        self.generation += 1;
        self.write_configuration();
    }

    /// Publishes a configuration with many routes more, or without them again.
    pub fn change_routes(&mut self) {
        self.has_many_routes = !self.has_many_routes;
        self.publish_configuration();
    }

    fn write_configuration(&self) {
        let newest = self.newest_key();
        let routes = if self.has_many_routes { MANY_ROUTES } else { 0 };
        let configuration =
            deployment::configuration_with_routes(self.generation, &[KEY, &newest], routes);
        self.table.put("op", "config", &configuration);
    }

    /// Records that the table or a connection failed from `from` until now.
    pub fn record_unstable(&mut self, from: Instant) {
        let to = Instant::now();
        self.unstable.push(Span { from, to });
    }

    /// Returns the time spans in which the table, a connection or a gateway failed.
    pub fn unstable(&self) -> impl Iterator<Item = Span> {
        let disruptions = (0..self.fleet.len()).flat_map(|index| self.fleet.disruptions(index));
        self.unstable.iter().chain(disruptions).copied()
    }

    /// Returns a key that only the newest configuration allows.
    pub fn newest_key(&self) -> String {
        match self.generation {
            1 => KEY.into(),
            generation => format!("key-{generation}"),
        }
    }

    /// Copies the gateways' logs to a folder.
    ///
    /// # Errors
    ///
    /// If the folder can't be written.
    pub fn copy_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        for log in self.fleet.logs() {
            let name = log.file_name().unwrap_or_default();
            fs::copy(log, folder.join(name))?;
        }
        Ok(())
    }
}

impl ProxiedUpstream {
    fn row(&self) -> serde_json::Value {
        let mut row = self
            .upstream
            .row_at(self.proxy.address(), self.service, "v1");
        row["state"] = self.state.into();
        row
    }
}
