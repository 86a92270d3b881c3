//! Several daemons' claims, a table and a service that counts executions, without sockets.

#![allow(dead_code, reason = "each test binary uses its own part")]

mod describe;
pub(crate) mod table;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hibiscusyoke::coordination::claims::{
    Answer, Ask, AttemptState, ClaimId, ClaimRegistry, Ended, Fingerprint, Holder, JournalState,
    JournalView, Limits, Outcome, Permit, Place, Reason, Refused, Step, WriteReply, complete_key,
    encode, journal_prefix,
};

use table::Table;

/// How long a home key may be new.
const PREFIX_LIFETIME: Duration = Duration::from_secs(600);

/// One daemon incarnation.
pub(crate) struct Daemon {
    pub(crate) registry: ClaimRegistry,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    started: Instant,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) at: CompactString,
    pub(crate) home: Option<CompactString>,
    pub(crate) key: CompactString,
    pub(crate) body: CompactString,
    pub(crate) deadline: Duration,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    Answer(Arc<Answer>),
    Refused(Refused),
    Nothing,
}

#[derive(Clone, Debug)]
enum Progress {
    Pending(Step),
    Held(Permit),
    Sent(Permit),
    Told(Told),
}

/// A caller's request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) asked: Asked,
    runs_at: CompactString,
    ask: Ask,
    progress: Progress,
}

/// One execution by the service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Executed {
    pub(crate) key: CompactString,
    pub(crate) body: CompactString,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) table: Table,
    pub(crate) daemons: BTreeMap<CompactString, Daemon>,
    pub(crate) requests: BTreeMap<CompactString, Request>,
    pub(crate) executions: BTreeMap<Executed, u32>,
    pub(crate) limits: Limits,
    incarnations: u64,
    start: Instant,
}

impl Default for World {
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

impl World {
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

    /// Sends a request to a daemon, which sends it on if its key is bound to another one.
    pub(crate) fn send(&mut self, name: &str, asked: Asked) -> String {
        let mut request = Request {
            runs_at: asked.at.clone(),
            ask: self.ask(&asked, Place::Table),
            progress: Progress::Told(Told::Nothing),
            asked,
        };
        request.progress = self.admit(&mut request);
        self.requests.insert(name.into(), request);
        self.describe(name)
    }

    fn ask(&self, asked: &Asked, place: Place) -> Ask {
        Ask {
            id: ClaimId {
                customer: "gate".into(),
                key: asked.key.clone(),
            },
            fingerprint: Fingerprint::of(&[asked.body.as_bytes()]),
            deadline: self.now + asked.deadline,
            place,
        }
    }

    fn admit(&mut self, request: &mut Request) -> Progress {
        let now = self.now;
        if let Some(home) = request.asked.home.clone() {
            // A home is named with its incarnation, as in `a1`.
            let (name, incarnation) = split_home(&home);
            let reachable = self.reaches(&request.asked.at, &name);
            if reachable && self.daemons[&name].incarnation == incarnation {
                let expires = self.daemons[&name].started + PREFIX_LIFETIME;
                request.ask.place = Place::Home { expires };
                request.runs_at = name;
            } else {
                match self.without_home(&name, incarnation, &request.ask) {
                    None => {}
                    Some(told) => return Progress::Told(told),
                }
            }
        }
        let daemon = self.daemons.get_mut(&request.runs_at).expect("a daemon");
        Progress::Pending(daemon.registry.begin(now, request.ask.clone()))
    }

    /// What can be told of a key whose home does not answer; `None` if it may be claimed.
    fn without_home(&mut self, name: &str, incarnation: u64, ask: &Ask) -> Option<Told> {
        let silent = Some(Told::Refused(Refused::unknown(Reason::HolderSilent)));
        let Ok(complete) = self.table.read(&complete_key(name, incarnation)) else {
            return silent;
        };
        let Ok(rows) = self.table.scan(&journal_prefix(name, incarnation)) else {
            return silent;
        };
        match JournalView::new(complete.as_ref(), &rows).state_of(&ask.id) {
            JournalState::NeverRan => None,
            JournalState::Unknown => silent,
            JournalState::Ended(fingerprint, _) if fingerprint != ask.fingerprint => {
                Some(Told::Refused(Refused::not_run(Reason::KeyReused)))
            }
            JournalState::Ended(_, Outcome::Answered(Some(answer))) => Some(Told::Answer(answer)),
            JournalState::Ended(_, Outcome::Answered(None)) => {
                Some(Told::Refused(Refused::unknown(Reason::AnswerGone)))
            }
            JournalState::Ended(_, Outcome::Unknown) => {
                Some(Told::Refused(Refused::unknown(Reason::OutcomeUnknown)))
            }
        }
    }

    fn reaches(&self, from: &str, to: &str) -> bool {
        from == to || self.daemons.get(to).is_some_and(|d| d.alive && !d.frozen)
    }

    /// Goes on with a request by one exchange with the table or a peer; returns whether it moved.
    pub(crate) fn step(&mut self, name: &str) -> bool {
        let request = self.requests[name].clone();
        let Progress::Pending(step) = request.progress else {
            return false;
        };
        let daemon = &self.daemons[&request.runs_at];
        if !daemon.alive || daemon.frozen {
            return false;
        }
        let next = match step {
            Step::Run(permit) => Progress::Held(permit),
            Step::Repeat(answer) => Progress::Told(Told::Answer(answer)),
            Step::Refuse(refused) => Progress::Told(Told::Refused(refused)),
            Step::Wait => {
                let now = self.now;
                let registry = self.registry(&request.runs_at);
                match registry.begin(now, request.ask.clone()) {
                    Step::Wait => return false,
                    step => Progress::Pending(step),
                }
            }
            Step::Insert(write) => {
                let reply = self
                    .table
                    .write(&write.key, write.version, encode(&write.row));
                let registry = self.registry(&request.runs_at);
                Progress::Pending(registry.inserted(write.permit, reply))
            }
            Step::Read(read) => {
                let row = self.table.read(&read.key);
                Progress::Pending(self.registry(&request.runs_at).row_read(read.permit, row))
            }
            Step::AskHolder(permit, holder) => {
                let said = self.holder_says(&request.runs_at, &permit, &holder);
                Progress::Pending(self.registry(&request.runs_at).holder_said(permit, said))
            }
        };
        self.requests.get_mut(name).expect("a request").progress = next;
        true
    }

    fn holder_says(&mut self, from: &str, permit: &Permit, holder: &Holder) -> AttemptState {
        let asked = Permit {
            id: permit.id.clone(),
            attempt: holder.attempt.clone(),
        };
        if self.reaches(from, &holder.daemon) {
            let daemon = &self.daemons[&holder.daemon];
            if daemon.incarnation == holder.incarnation {
                return daemon.registry.state_of(&asked);
            }
        }
        match self
            .table
            .read(&complete_key(&holder.daemon, holder.incarnation))
        {
            Ok(Some(_)) => AttemptState::HolderComplete,
            _ => AttemptState::Silent,
        }
    }

    /// Goes on with a request until it is held, told or cannot move.
    pub(crate) fn settle(&mut self, name: &str) -> String {
        while self.step(name) {}
        self.describe(name)
    }

    /// Sends a held request to the service, if its daemon still may.
    pub(crate) fn dispatch(&mut self, name: &str) -> String {
        let request = self.requests[name].clone();
        let (Progress::Held(permit), true) = (&request.progress, self.runs(&request)) else {
            return self.describe(name);
        };
        let now = self.now;
        let registry = self.registry(&request.runs_at);
        let next = if registry.dispatch(now, permit) {
            let executed = Executed {
                key: request.asked.key.clone(),
                body: request.asked.body.clone(),
            };
            *self.executions.entry(executed).or_default() += 1;
            Progress::Sent(permit.clone())
        } else {
            let not_run = registry.ended(now, permit, Ended::NotRun);
            let reason = Reason::DeadlinePassed;
            Progress::Told(Told::Refused(Refused { reason, not_run }))
        };
        self.requests.get_mut(name).expect("a request").progress = next;
        self.describe(name)
    }

    /// The service's answer arrives, or the connection breaks.
    pub(crate) fn end(&mut self, name: &str, answered: bool) -> String {
        let request = self.requests[name].clone();
        let (Progress::Sent(permit), true) = (&request.progress, self.runs(&request)) else {
            return self.describe(name);
        };
        let now = self.now;
        let answer = answer_to(&request.asked);
        let registry = self.registry(&request.runs_at);
        let told = if answered {
            registry.ended(now, permit, Ended::Answered(answer.clone()));
            Told::Answer(answer)
        } else {
            registry.ended(now, permit, Ended::Unknown);
            Told::Refused(Refused::unknown(Reason::OutcomeUnknown))
        };
        self.requests.get_mut(name).expect("a request").progress = Progress::Told(told);
        self.describe(name)
    }

    /// The callers of a daemon that is replaced hear nothing more.
    pub(crate) fn forget_requests_of(&mut self, name: &str) {
        for request in self.requests.values_mut() {
            if request.runs_at == name && !matches!(request.progress, Progress::Told(_)) {
                request.progress = Progress::Told(Told::Nothing);
            }
        }
    }

    /// Writes what a daemon's claims have for the table; `false` if it does not answer.
    pub(crate) fn flush(&mut self, name: &str) -> bool {
        let Self { daemons, table, .. } = self;
        let registry = &mut daemons.get_mut(name).expect("a daemon").registry;
        while let Some(write) = registry.next_record() {
            let reply = table.write(&write.key, write.version, encode(&write.row));
            if !registry.recorded(&write, &reply) && !matches!(reply, WriteReply::Conflict(_)) {
                return false;
            }
        }
        while let Some(write) = registry.next_journal() {
            if !table.insert(&write.key, &write.value) {
                return false;
            }
            registry.journal_written(&write.key);
        }
        true
    }

    /// A planned stop: ends claims, writes all and then that it is complete.
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
        &mut self.daemons.get_mut(name).expect("a daemon").registry
    }

    fn runs(&self, request: &Request) -> bool {
        let daemon = &self.daemons[&request.runs_at];
        daemon.alive && !daemon.frozen
    }

    /// What a request is told, from the moment at which that is decided.
    pub(crate) fn told(&self, name: &str) -> Option<Told> {
        match &self.requests[name].progress {
            Progress::Told(told) => Some(told.clone()),
            Progress::Pending(Step::Repeat(answer)) => Some(Told::Answer(answer.clone())),
            Progress::Pending(Step::Refuse(refused)) => Some(Told::Refused(*refused)),
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

/// The service's answer, which names the request that it answers.
pub(crate) fn answer_to(asked: &Asked) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: format!("answer to {} {}", asked.key, asked.body).into_bytes(),
    })
}

fn split_home(home: &str) -> (CompactString, u64) {
    let digits = home.trim_start_matches(|c: char| !c.is_ascii_digit());
    let name = &home[..home.len() - digits.len()];
    (name.into(), digits.parse().expect("an incarnation"))
}
