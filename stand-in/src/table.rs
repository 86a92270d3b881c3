//! Transactional table service with versioned rows in memory.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use platform_api::table::{
    ABSENT, COMMIT_PATH, CommitOutcome, CommitRequest, Key, READ_PATH, ReadRequest, Row,
    RowVersion, Rows, SCAN_PATH, ScanRequest,
};

use crate::{
    connection::FaultyConnection,
    control::Control,
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, json, read_json, refusal},
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{RoleStats, TableStats},
};

/// Table service.
#[derive(Default)]
pub struct Table {
    store: Mutex<Store>,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<Key, Cell>,
    version: RowVersion,
    reads: u64,
    writes: u64,
    conflicts: u64,
}

struct Cell {
    version: RowVersion,
    value: String,
}

impl Table {
    /// Starts an empty table.
    pub async fn spawn(listen: impl Into<ListenAddresses>) -> Result<RoleHandle> {
        let role = Arc::new(Self::default());
        RoleHandle::spawn(role, Arc::default(), listen.into()).await
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, req: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let path = req.uri().path().to_owned();
        match path.as_str() {
            READ_PATH => {
                let req = read_json(req).await?;
                Ok(json(&self.store().read(&req)))
            }
            SCAN_PATH => {
                let req = read_json(req).await?;
                Ok(json(&self.store().scan(&req)))
            }
            COMMIT_PATH => {
                let req = read_json(req).await?;
                Ok(json(&self.store().commit(req)))
            }
            _ => Err(refusal(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl Store {
    fn row(&self, key: &Key) -> Option<Row> {
        self.rows.get(key).map(|cell| cell.row(key))
    }

    fn version_of(&self, key: &Key) -> RowVersion {
        self.rows.get(key).map_or(ABSENT, |cell| cell.version)
    }

    fn read(&mut self, req: &ReadRequest) -> Rows {
        self.reads += 1;
        Rows {
            rows: req.keys.iter().filter_map(|key| self.row(key)).collect(),
            more: false,
        }
    }

    fn scan(&mut self, req: &ScanRequest) -> Rows {
        self.reads += 1;
        let from = if req.after < req.prefix {
            Bound::Included(&req.prefix)
        } else {
            Bound::Excluded(&req.after)
        };
        let mut found = self
            .rows
            .range::<Key, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(req.prefix.as_str()))
            .map(|(key, cell)| cell.row(key));
        let rows = found.by_ref().take(req.limit).collect();
        Rows {
            rows,
            more: found.next().is_some(),
        }
    }

    fn commit(&mut self, req: CommitRequest) -> CommitOutcome {
        self.writes += 1;
        let failed: Vec<_> = req
            .conditions
            .iter()
            .filter(|c| self.version_of(&c.key) != c.version)
            .collect();
        if !failed.is_empty() {
            self.conflicts += 1;
            let current = failed.iter().filter_map(|c| self.row(&c.key)).collect();
            return CommitOutcome::Conflict { current };
        }
        self.version += 1;
        let version = self.version;
        for write in req.writes {
            match write.value {
                Some(value) => self.rows.insert(write.key, Cell { version, value }),
                None => self.rows.remove(&write.key),
            };
        }
        CommitOutcome::Committed { version }
    }
}

impl Cell {
    fn row(&self, key: &Key) -> Row {
        Row {
            key: key.clone(),
            version: self.version,
            value: self.value.clone(),
        }
    }
}

impl RequestHandler for Table {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.execute(req).await.unwrap_or_else(|refused| refused) })
    }
}

impl Role for Table {
    fn name(&self) -> &'static str {
        "table"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, _: &Control) -> bool {
        false
    }

    fn stats(&self) -> RoleStats {
        let store = self.store();
        RoleStats::Table(TableStats {
            reads: store.reads,
            writes: store.writes,
            conflicts: store.conflicts,
            rows: store.rows.len() as u64,
        })
    }
}
