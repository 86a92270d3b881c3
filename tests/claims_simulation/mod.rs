//! Simulation of several daemons' claims, a table and a service that counts executions, without
//! sockets.

#![allow(dead_code, reason = "each test binary uses a different subset")]

mod describe;
pub(crate) mod table;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hibiscusyoke::coordination::claims::{
    Answer, AttemptState, ClaimId, ClaimLocation, ClaimRegistry, ClaimRequest, ClaimToken, Ended,
    Fingerprint, Holder, JournalState, JournalView, Limits, Outcome, Reason, Refused, Step,
    WriteReply, complete_key, encode, journal_prefix,
};

use table::Table;

/// Time after its issue during which a home key is accepted for a new request.
const PREFIX_LIFETIME: Duration = Duration::from_secs(600);

/// One daemon incarnation.
pub(crate) struct Daemon {
    pub(crate) registry: ClaimRegistry,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    started: Instant,
}

/// Request as sent by a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) at: CompactString,
    pub(crate) home: Option<CompactString>,
    pub(crate) key: CompactString,
    pub(crate) body: CompactString,
    pub(crate) deadline: Duration,
}

/// Response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    Answer(Arc<Answer>),
    Refused(Refused),
    Nothing,
}

#[derive(Clone, Debug)]
enum Progress {
    Pending(Step),
    Held(ClaimToken),
    Sent(ClaimToken),
    Response(Response),
}

/// Request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) caller_request: CallerRequest,
    executing_daemon: CompactString,
    claim_request: ClaimRequest,
    progress: Progress,
}

/// Request that the service executed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Executed {
    pub(crate) key: CompactString,
    pub(crate) body: CompactString,
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) table: Table,
    pub(crate) daemons: BTreeMap<CompactString, Daemon>,
    pub(crate) requests: BTreeMap<CompactString, Request>,
    pub(crate) executions: BTreeMap<Executed, u32>,
    pub(crate) limits: Limits,
    incarnations: u64,
    start: Instant,
}

impl Default for Simulation {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            now,
            table: Table::default(),
            daemons: BTreeMap::new(),
            requests: BTreeMap::new(),
            executions: BTreeMap::new(),
            limits: Limits::default(),
            incarnations: 0,
            start: now,
        }
    }
}

impl Simulation {
    pub(crate) fn add_daemon(&mut self, name: &str) {
        self.incarnations += 1;
        let daemon = Daemon {
            registry: ClaimRegistry::new(name.into(), self.incarnations, self.limits),
            incarnation: self.incarnations,
            alive: true,
            frozen: false,
            started: self.now,
        };
        self.daemons.insert(name.into(), daemon);
    }

    /// Sends a request to a daemon, which forwards it if the key is bound to another daemon.
    pub(crate) fn send(&mut self, name: &str, caller_request: CallerRequest) -> String {
        let mut request = Request {
            executing_daemon: caller_request.at.clone(),
            claim_request: self.claim_request(&caller_request, ClaimLocation::Table),
            progress: Progress::Response(Response::Nothing),
            caller_request,
        };
        request.progress = self.admit(&mut request);
        self.requests.insert(name.into(), request);
        self.describe(name)
    }

    fn claim_request(
        &self,
        caller_request: &CallerRequest,
        location: ClaimLocation,
    ) -> ClaimRequest {
        ClaimRequest {
            id: ClaimId {
                customer: "gate".into(),
                key: caller_request.key.clone(),
            },
            fingerprint: Fingerprint::of(&[caller_request.body.as_bytes()]),
            deadline: self.now + caller_request.deadline,
            location,
        }
    }

    fn admit(&mut self, request: &mut Request) -> Progress {
        let now = self.now;
        if let Some(home) = request.caller_request.home.clone() {
            // A home is the daemon's name followed by its incarnation, as in `a1`.
            let (name, incarnation) = split_home(&home);
            let reachable = self.can_reach(&request.caller_request.at, &name);
            if reachable && self.daemons[&name].incarnation == incarnation {
                let expires = self.daemons[&name].started + PREFIX_LIFETIME;
                request.claim_request.location = ClaimLocation::Home { expires };
                request.executing_daemon = name;
            } else {
                match self.without_home(&name, incarnation, &request.claim_request) {
                    None => {}
                    Some(response) => return Progress::Response(response),
                }
            }
        }
        let daemon = self
            .daemons
            .get_mut(&request.executing_daemon)
            .expect("known daemon");
        Progress::Pending(daemon.registry.begin(now, request.claim_request.clone()))
    }

    /// Returns the response for a key whose home does not respond, or `None` if it may be claimed.
    fn without_home(
        &mut self,
        name: &str,
        incarnation: u64,
        claim_request: &ClaimRequest,
    ) -> Option<Response> {
        let holder_silent = Some(Response::Refused(Refused::unknown(Reason::HolderSilent)));
        let Ok(complete) = self.table.read(&complete_key(name, incarnation)) else {
            return holder_silent;
        };
        let Ok(rows) = self.table.scan(&journal_prefix(name, incarnation)) else {
            return holder_silent;
        };
        match JournalView::new(complete.as_ref(), &rows).state_of(&claim_request.id) {
            JournalState::NeverRan => None,
            JournalState::Unknown => holder_silent,
            JournalState::Ended(fingerprint, _) if fingerprint != claim_request.fingerprint => {
                Some(Response::Refused(Refused::not_run(Reason::KeyReused)))
            }
            JournalState::Ended(_, Outcome::Answered(Some(answer))) => {
                Some(Response::Answer(answer))
            }
            JournalState::Ended(_, Outcome::Answered(None)) => {
                Some(Response::Refused(Refused::unknown(Reason::AnswerGone)))
            }
            JournalState::Ended(_, Outcome::Unknown) => {
                Some(Response::Refused(Refused::unknown(Reason::OutcomeUnknown)))
            }
        }
    }

    fn can_reach(&self, from: &str, to: &str) -> bool {
        from == to || self.daemons.get(to).is_some_and(|d| d.alive && !d.frozen)
    }

    /// Advances a request by one exchange with the table or a peer; returns whether it progressed.
    pub(crate) fn step(&mut self, name: &str) -> bool {
        let request = self.requests[name].clone();
        let Progress::Pending(step) = request.progress else {
            return false;
        };
        let daemon = &self.daemons[&request.executing_daemon];
        if !daemon.alive || daemon.frozen {
            return false;
        }
        let next = match step {
            Step::Run(token) => Progress::Held(token),
            Step::Repeat(answer) => Progress::Response(Response::Answer(answer)),
            Step::Refuse(refused) => Progress::Response(Response::Refused(refused)),
            Step::Wait => {
                let now = self.now;
                let registry = self.registry(&request.executing_daemon);
                match registry.begin(now, request.claim_request.clone()) {
                    Step::Wait => return false,
                    step => Progress::Pending(step),
                }
            }
            Step::Insert(write) => {
                let reply = self
                    .table
                    .write(&write.key, write.version, encode(&write.row));
                let registry = self.registry(&request.executing_daemon);
                Progress::Pending(registry.on_insert_reply(write.token, reply))
            }
            Step::Read(read) => {
                let row = self.table.read(&read.key);
                Progress::Pending(
                    self.registry(&request.executing_daemon)
                        .on_row_read(read.token, row),
                )
            }
            Step::AskHolder(token, holder) => {
                let state = self.query_holder(&request.executing_daemon, &token, &holder);
                Progress::Pending(
                    self.registry(&request.executing_daemon)
                        .on_holder_reply(token, state),
                )
            }
        };
        self.requests.get_mut(name).expect("known request").progress = next;
        true
    }

    fn query_holder(&mut self, from: &str, token: &ClaimToken, holder: &Holder) -> AttemptState {
        let queried = ClaimToken {
            id: token.id.clone(),
            attempt: holder.attempt.clone(),
        };
        if self.can_reach(from, &holder.daemon) {
            let daemon = &self.daemons[&holder.daemon];
            if daemon.incarnation == holder.incarnation {
                return daemon.registry.state_of(&queried);
            }
        }
        match self
            .table
            .read(&complete_key(&holder.daemon, holder.incarnation))
        {
            Ok(Some(_)) => AttemptState::HolderComplete,
            _ => AttemptState::HolderUnreachable,
        }
    }

    /// Advances a request until its claim is held, it has a response, or it cannot progress.
    pub(crate) fn settle(&mut self, name: &str) -> String {
        while self.step(name) {}
        self.describe(name)
    }

    /// Sends a request with a held claim to the service if its daemon may still dispatch it.
    pub(crate) fn dispatch(&mut self, name: &str) -> String {
        let request = self.requests[name].clone();
        let (Progress::Held(token), true) = (&request.progress, self.is_running(&request)) else {
            return self.describe(name);
        };
        let now = self.now;
        let registry = self.registry(&request.executing_daemon);
        let next = if registry.dispatch(now, token) {
            let executed = Executed {
                key: request.caller_request.key.clone(),
                body: request.caller_request.body.clone(),
            };
            *self.executions.entry(executed).or_default() += 1;
            Progress::Sent(token.clone())
        } else {
            let not_run = registry.ended(now, token, Ended::NotRun);
            let reason = Reason::DeadlinePassed;
            Progress::Response(Response::Refused(Refused { reason, not_run }))
        };
        self.requests.get_mut(name).expect("known request").progress = next;
        self.describe(name)
    }

    /// Ends a dispatched request with the service's answer or a broken connection.
    pub(crate) fn end(&mut self, name: &str, answered: bool) -> String {
        let request = self.requests[name].clone();
        let (Progress::Sent(token), true) = (&request.progress, self.is_running(&request)) else {
            return self.describe(name);
        };
        let now = self.now;
        let answer = answer_to(&request.caller_request);
        let registry = self.registry(&request.executing_daemon);
        let response = if answered {
            registry.ended(now, token, Ended::Answered(answer.clone()));
            Response::Answer(answer)
        } else {
            registry.ended(now, token, Ended::Unknown);
            Response::Refused(Refused::unknown(Reason::OutcomeUnknown))
        };
        self.requests.get_mut(name).expect("known request").progress = Progress::Response(response);
        self.describe(name)
    }

    /// Drops the open requests of a daemon that is replaced; their callers get no response.
    pub(crate) fn drop_requests_of(&mut self, name: &str) {
        for request in self.requests.values_mut() {
            if request.executing_daemon == name
                && !matches!(request.progress, Progress::Response(_))
            {
                request.progress = Progress::Response(Response::Nothing);
            }
        }
    }

    /// Writes a daemon's pending records and journal rows; returns `false` if the table fails.
    pub(crate) fn flush(&mut self, name: &str) -> bool {
        let Self { daemons, table, .. } = self;
        let registry = &mut daemons.get_mut(name).expect("known daemon").registry;
        while let Some(write) = registry.next_record() {
            let reply = table.write(&write.key, write.version, encode(&write.row));
            if !registry.recorded(&write, &reply) && !matches!(reply, WriteReply::Conflict(_)) {
                return false;
            }
        }
        while let Some(write) = registry.next_journal_write() {
            if !table.insert(&write.key, &write.value) {
                return false;
            }
            registry.journal_written(&write.key);
        }
        true
    }

    /// Shuts down a daemon's claims: ends them, writes all records and then the completion row.
    pub(crate) fn close(&mut self, name: &str) -> bool {
        let now = self.now;
        let registry = self.registry(name);
        registry.close();
        registry.abandon(now);
        let flushed = self.flush(name);
        let complete = self.registry(name).complete();
        let Some(write) = complete.filter(|_| flushed) else {
            return false;
        };
        self.table.insert(&write.key, &write.value)
    }

    pub(crate) fn registry(&mut self, name: &str) -> &mut ClaimRegistry {
        &mut self.daemons.get_mut(name).expect("known daemon").registry
    }

    fn is_running(&self, request: &Request) -> bool {
        let daemon = &self.daemons[&request.executing_daemon];
        daemon.alive && !daemon.frozen
    }

    /// Returns the response to a request once it is decided.
    pub(crate) fn response(&self, name: &str) -> Option<Response> {
        match &self.requests[name].progress {
            Progress::Response(response) => Some(response.clone()),
            Progress::Pending(Step::Repeat(answer)) => Some(Response::Answer(answer.clone())),
            Progress::Pending(Step::Refuse(refused)) => Some(Response::Refused(*refused)),
            _ => None,
        }
    }

    pub(crate) fn executed(&self, key: &str) -> u32 {
        let of_key = self.executions.iter().filter(|(e, _)| e.key == key);
        of_key.map(|(_, count)| count).sum()
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.start
    }
}

/// Returns the service's answer, which contains the request's key and body.
pub(crate) fn answer_to(caller_request: &CallerRequest) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: format!("answer to {} {}", caller_request.key, caller_request.body).into_bytes(),
    })
}

fn split_home(home: &str) -> (CompactString, u64) {
    let digits = home.trim_start_matches(|c: char| !c.is_ascii_digit());
    let name = &home[..home.len() - digits.len()];
    (name.into(), digits.parse().expect("incarnation number"))
}
