//! Claims on idempotency keys, driven against the table and peers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    coordination::{
        claims::{
            Answer, AttemptState, ClaimId, ClaimRegistry, ClaimRequest, ClaimToken, Ended, Holder,
            JournalView, Limits, Reason, Refused, Step, complete_key, encode, journal_prefix,
        },
        membership::{Incarnation, Member, MemberState},
    },
    daemon::core::Core,
    protocol::{
        home_key::{self, Home, HomePrefix, KeyKind},
        mac::MacKey,
        peer::{
            PeerRequest, PeerResponse,
            claims::{AttemptQuery, Request, Response},
        },
    },
};

mod flush;
mod journals;

use journals::Journals;

/// How long after its issue a home key may be new.
const PREFIX_LIFETIME: Duration = Duration::from_secs(600);
/// The longest time spent on claiming a key in the table.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);
/// The longest time a repeat waits for the first request to end.
const REPEAT_WAIT: Duration = Duration::from_secs(10);
/// The pause before a row is read again.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// The time left to a peer call beyond the wait that it was asked for.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// What a key is bound to, seen from this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPlace {
    /// This incarnation alone may run it.
    Here {
        /// When it is too old to be new.
        expires: Instant,
    },
    /// Another incarnation alone may run it.
    Elsewhere(Home),
    /// Whoever claims it in the table may run it.
    Table,
}

/// What a request that wants to run is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It may run.
    Held(ClaimToken),
    /// It ran with this answer.
    Repeat(Arc<Answer>),
    /// It is refused.
    Refused(Refused),
}

/// The claims of a running daemon.
pub struct Claims {
    core: Arc<Core>,
    key: Option<MacKey>,
    started: Instant,
    registry: Mutex<ClaimRegistry>,
    changes: watch::Sender<u64>,
    unrecorded: Notify,
    journals: Journals,
}

impl Claims {
    /// Starts the tasks that write outcomes and the journal.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let registry = ClaimRegistry::new(core.name().clone(), core.incarnation, Limits::default());
        let claims = Arc::new(Self {
            key: MacKey::from_hex(&core.settings.fleet_key),
            started: core.clock.now(),
            registry: Mutex::new(registry),
            changes: watch::Sender::default(),
            unrecorded: Notify::new(),
            journals: Journals::default(),
            core,
        });
        tokio::spawn(Self::record_outcomes(Arc::downgrade(&claims)));
        tokio::spawn(Self::write_journal(Arc::downgrade(&claims)));
        claims
    }

    /// The prefix of keys that are bound to this incarnation.
    pub fn prefix(&self) -> Option<HomePrefix> {
        let age = self.core.clock.now().duration_since(self.started);
        let key = self.key.as_ref()?;
        Some(HomePrefix::issue(
            key,
            self.core.name(),
            self.core.incarnation,
            age,
        ))
    }

    /// What a key is bound to.
    pub fn place(&self, key: &str) -> KeyPlace {
        let kind = self
            .key
            .as_ref()
            .map_or(KeyKind::Other, |mac| home_key::parse(mac, key));
        match kind {
            KeyKind::Other => KeyPlace::Table,
            KeyKind::Home(home) if self.is_own(&home) => KeyPlace::Here {
                expires: self.started + home.uptime_at_issue + PREFIX_LIFETIME,
            },
            KeyKind::Home(home) => KeyPlace::Elsewhere(home),
        }
    }

    fn is_own(&self, home: &Home) -> bool {
        home.daemon == *self.core.name() && home.incarnation == self.core.incarnation
    }

    /// Claims a key; must run to its end, so it is not for tasks that may be dropped.
    pub async fn claim(&self, ask: ClaimRequest) -> Claim {
        let started = self.core.clock.now();
        let limit = ask.deadline.min(started + CLAIM_LIMIT);
        let mut changes = self.changes.subscribe();
        let mut step = self.registry().begin(started, ask.clone());
        loop {
            step = match step {
                Step::Run(token) => return Claim::Held(token),
                Step::Repeat(answer) => return Claim::Repeat(answer),
                Step::Refuse(refused) => return Claim::Refused(refused),
                Step::Wait => {
                    let wait = ask.deadline.min(started + REPEAT_WAIT);
                    if !self.changed_before(&mut changes, wait).await {
                        return Claim::Refused(Refused::unknown(Reason::InProgress));
                    }
                    self.registry().begin(self.core.clock.now(), ask.clone())
                }
                Step::Insert(write) => {
                    let value = encode(&write.row);
                    let reply = self.write(&write.key, write.version, value).await;
                    self.go_on(limit, &write.token, |registry| {
                        registry.on_insert_reply(write.token.clone(), reply)
                    })
                }
                Step::Read(read) => {
                    sleep(READ_PAUSE).await;
                    let row = self.core.table.read_one(&read.key).await.map_err(|_| ());
                    self.go_on(limit, &read.token, |registry| {
                        registry.on_row_read(read.token.clone(), row)
                    })
                }
                Step::AskHolder(token, holder) => {
                    let said = self.ask_holder(&token.id, &holder, ask.deadline).await;
                    self.registry().on_holder_reply(token, said)
                }
            };
            self.note_change();
        }
    }

    fn go_on(
        &self,
        limit: Instant,
        token: &ClaimToken,
        next: impl FnOnce(&mut ClaimRegistry) -> Step,
    ) -> Step {
        let mut registry = self.registry();
        let step = next(&mut registry);
        let settled = matches!(step, Step::Run(_) | Step::Repeat(_) | Step::Refuse(_));
        if settled || self.core.clock.now() < limit {
            return step;
        }
        registry.withdraw(token);
        Step::Refuse(Refused::unknown(Reason::Undecided))
    }

    /// Whether the attempt may be sent now; asked immediately before it is.
    pub fn dispatch(&self, token: &ClaimToken) -> bool {
        self.registry().dispatch(self.core.clock.now(), token)
    }

    /// Notes that no byte of a dispatch was sent.
    pub fn not_sent(&self, token: &ClaimToken) {
        self.registry().not_sent(token);
    }

    /// Notes how an attempt ended; returns whether the claim was still held.
    pub fn ended(&self, token: &ClaimToken, ended: Ended) -> bool {
        let held = self.registry().ended(self.core.clock.now(), token, ended);
        self.note_change();
        self.unrecorded.notify_one();
        held
    }

    /// Answers a peer's question about one of this daemon's attempts.
    pub async fn attempt_state(&self, query: AttemptQuery) -> Response {
        if query.incarnation != self.core.incarnation {
            return Response::OtherIncarnation;
        }
        let until = self.core.clock.now() + query.wait.min(REPEAT_WAIT);
        let token = ClaimToken {
            id: query.id,
            attempt: query.attempt,
        };
        let mut changes = self.changes.subscribe();
        loop {
            let state = self.registry().state_of(&token);
            if state != AttemptState::Running || !self.changed_before(&mut changes, until).await {
                return Response::Attempt(state);
            }
        }
    }

    async fn ask_holder(&self, id: &ClaimId, holder: &Holder, deadline: Instant) -> AttemptState {
        match self.call_holder(id, holder, Duration::ZERO).await {
            Some(AttemptState::Running) => {
                let left = deadline.saturating_duration_since(self.core.clock.now());
                let wait = left.saturating_sub(CALL_MARGIN).min(REPEAT_WAIT);
                let later = self.call_holder(id, holder, wait).await;
                later.unwrap_or(AttemptState::Running)
            }
            Some(state) => state,
            None => self.holder_stopped(holder).await,
        }
    }

    async fn call_holder(
        &self,
        id: &ClaimId,
        holder: &Holder,
        wait: Duration,
    ) -> Option<AttemptState> {
        let member = self.member(&holder.daemon, holder.incarnation)?;
        let req = PeerRequest::Claims(Request::Attempt(AttemptQuery {
            incarnation: holder.incarnation,
            id: id.clone(),
            attempt: holder.attempt.clone(),
            wait,
        }));
        match self.core.peers.call(&member, req, wait + CALL_MARGIN).await {
            Ok(PeerResponse::Claims(Response::Attempt(state))) => Some(state),
            _ => None,
        }
    }

    async fn holder_stopped(&self, holder: &Holder) -> AttemptState {
        let key = complete_key(&holder.daemon, holder.incarnation);
        match self.core.table.read_one(&key).await {
            Ok(Some(_)) => AttemptState::HolderComplete,
            _ => AttemptState::HolderUnreachable,
        }
    }

    /// The member with this name and incarnation, unless it is believed dead.
    pub fn member(&self, daemon: &str, incarnation: Incarnation) -> Option<Member> {
        let members = self.core.members();
        let same = |m: &&Member| m.name == daemon && m.incarnation == incarnation;
        let found = members.iter().find(same)?;
        (found.state != MemberState::Dead).then(|| found.clone())
    }

    /// The journal of another incarnation; `None` if the table does not answer.
    pub async fn journal_of(&self, home: &Home) -> Option<Arc<JournalView>> {
        let now = self.core.clock.now();
        if let Some(view) = self.journals.get(home, now) {
            return Some(view);
        }
        let table = &self.core.table;
        let complete = complete_key(&home.daemon, home.incarnation);
        let complete = table.read_one(&complete).await.ok()?;
        let prefix = journal_prefix(&home.daemon, home.incarnation);
        let rows = table.scan(&prefix).await.ok()?;
        let view = Arc::new(JournalView::new(complete.as_ref(), &rows));
        self.journals.put(home.clone(), view.clone(), now);
        Some(view)
    }

    async fn changed_before(&self, changes: &mut watch::Receiver<u64>, until: Instant) -> bool {
        let left = until.saturating_duration_since(self.core.clock.now());
        matches!(timeout(left, changes.changed()).await, Ok(Ok(())))
    }

    fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn registry(&self) -> MutexGuard<'_, ClaimRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
