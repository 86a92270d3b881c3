//! One deployment: a table, upstreams behind proxies, and gateways.

use std::{collections::BTreeMap, fs, io, path::Path, time::Instant};

use stand_in::users::{deployment, table::TableStandIn, upstream::UpstreamStandIn};

use crate::{Options, fleet::Fleet, ledger::Span, link::Proxy};

/// The upstreams' ids and services.
pub const UPSTREAMS: [Upstream; 6] = [
    Upstream::new("e1", "pool"),
    Upstream::new("e2", "pool"),
    Upstream::new("e3", "pool"),
    Upstream::new("p1", "desk"),
    Upstream::new("p2", "desk"),
    Upstream::new("p3", "desk"),
];
/// The key that all callers use.
pub const KEY: &str = "k1";

/// An upstream's id and service.
#[derive(Clone, Copy, Debug)]
pub struct Upstream {
    /// Its id in the table.
    pub id: &'static str,
    /// Its service.
    pub service: &'static str,
}

impl Upstream {
    const fn new(id: &'static str, service: &'static str) -> Self {
        Self { id, service }
    }
}

/// An upstream and the proxy before it.
#[derive(Debug)]
pub struct Place {
    /// The upstream.
    pub upstream: UpstreamStandIn,
    /// Its connections.
    pub link: Proxy,
    service: &'static str,
}

/// A running deployment.
#[derive(Debug)]
pub struct Site {
    /// The table.
    pub table: TableStandIn,
    /// The upstreams.
    pub places: Vec<Place>,
    /// The gateways.
    pub fleet: Fleet,
    /// The times in which an upstream was emptied, by its index.
    pub drained: BTreeMap<usize, Vec<Span>>,
    /// The times in which the table or a connection failed.
    unsteady: Vec<Span>,
    /// The generation of the configuration in force.
    pub generation: u64,
}

impl Site {
    /// Starts a deployment and waits until its gateways are ready.
    ///
    /// # Errors
    ///
    /// If a process can't be started.
    pub async fn open(number: u8, options: &Options) -> io::Result<Self> {
        let table = TableStandIn::spawn().await;
        let mut places = Vec::new();
        for Upstream { id, service } in UPSTREAMS {
            let upstream = UpstreamStandIn::spawn(id).await;
            let link = Proxy::bind(upstream.address()).await?;
            let place = Place {
                upstream,
                link,
                service,
            };
            table.put("servers", id, &place.row("ready"));
            places.push(place);
        }
        table.put("op", "config", &deployment::configuration(1, &[KEY]));
        let fleet = Fleet::open(number, options, table.address()).await?;
        Ok(Self {
            table,
            places,
            fleet,
            drained: BTreeMap::new(),
            unsteady: Vec::new(),
            generation: 1,
        })
    }

    /// Lets an upstream's row say that it takes work, or that it takes none.
    pub fn set_state(&self, upstream: usize, state: &str) {
        let place = &self.places[upstream];
        self.table
            .put("servers", &place.upstream.id, &place.row(state));
    }

    /// Publishes a new configuration, which allows the callers' key still.
    pub fn configure(&mut self) {
        self.generation += 1;
        let newest = self.newest_key();
        let configuration = deployment::configuration(self.generation, &[KEY, &newest]);
        self.table.put("op", "config", &configuration);
    }

    /// Notes that an upstream was emptied from `from` until now.
    pub fn note_drained(&mut self, upstream: usize, from: Instant) {
        let span = Span {
            from,
            to: Instant::now(),
        };
        self.drained.entry(upstream).or_default().push(span);
    }

    /// Notes that the table or a connection failed from `from` until now.
    pub fn note_unsteady(&mut self, from: Instant) {
        let to = Instant::now();
        self.unsteady.push(Span { from, to });
    }

    /// The times in which the table, a connection or a gateway failed.
    pub fn unsteady(&self) -> impl Iterator<Item = Span> {
        let disturbed = (0..self.fleet.len()).flat_map(|index| self.fleet.disturbed(index));
        self.unsteady.iter().chain(disturbed).copied()
    }

    /// A key that only the newest configuration allows.
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
    pub fn keep_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        for log in self.fleet.logs() {
            let name = log.file_name().unwrap_or_default();
            fs::copy(log, folder.join(name))?;
        }
        Ok(())
    }
}

impl Place {
    fn row(&self, state: &str) -> serde_json::Value {
        let mut row = self
            .upstream
            .row_at(self.link.address(), self.service, "v1");
        row["state"] = state.into();
        row
    }
}
