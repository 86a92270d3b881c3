//! Claims on idempotency keys, made through the table and by querying peers.

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
    supervise::Supervisor,
};

mod flush;
mod journals;

use journals::JournalCache;

/// Validity of a home key's prefix, counted from its issue. An unknown key with an expired prefix
/// is refused.
const PREFIX_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time spent claiming a key in the table.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time a repeated request waits for the first one to end.
const MAX_REPEAT_WAIT: Duration = Duration::from_secs(10);
/// Delay before a row is read again.
const REREAD_DELAY: Duration = Duration::from_millis(50);
/// Time allowed for a call to a peer in addition to the wait that it requests.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// The binding of a key, as seen from this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyBinding {
    /// Only this incarnation may execute the request.
    Local {
        /// When the key's prefix expires; an unknown key is refused from then on.
        expires: Instant,
    },
    /// Only another incarnation may execute the request.
    Remote(Home),
    /// The daemon that claims the key in the table may execute the request.
    Table,
}

/// Result of claiming an idempotency key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is held, and the request may be executed.
    Held(ClaimToken),
    /// The request was executed before, with this answer.
    Repeat(Arc<Answer>),
    /// The request is refused.
    Refused(Refused),
}

/// Claims of a running daemon.
pub struct Claims {
    core: Arc<Core>,
    key: Option<MacKey>,
    started: Instant,
    registry: Mutex<ClaimRegistry>,
    changes: watch::Sender<u64>,
    outcome_pending: Notify,
    journals: JournalCache,
}

impl Claims {
    /// Starts the tasks that write outcomes and the journal to the table.
    pub fn spawn(core: Arc<Core>) -> Arc<Self> {
        let registry = ClaimRegistry::new(core.name().clone(), core.incarnation, Limits::default());
        let claims = Arc::new(Self {
            key: MacKey::from_hex(&core.settings.fleet_key),
            started: core.clock.now(),
            registry: Mutex::new(registry),
            changes: watch::Sender::default(),
            outcome_pending: Notify::new(),
            journals: JournalCache::default(),
            core,
        });
        let tasks = Supervisor::new(&claims.core.clock);
        let weak = || Arc::downgrade(&claims);
        tasks.spawn("record_outcomes", weak(), Self::record_outcomes);
        tasks.spawn("write_journal", weak(), Self::write_journal);
        claims
    }

    /// Returns the prefix for keys bound to this incarnation; `None` if the fleet key is invalid.
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

    /// Returns the binding of a key.
    pub fn key_binding(&self, key: &str) -> KeyBinding {
        let kind = self
            .key
            .as_ref()
            .map_or(KeyKind::Other, |mac| home_key::parse(mac, key));
        match kind {
            KeyKind::Other => KeyBinding::Table,
            KeyKind::Home(home) if self.is_own(&home) => KeyBinding::Local {
                expires: self.started + home.uptime_at_issue + PREFIX_LIFETIME,
            },
            KeyKind::Home(home) => KeyBinding::Remote(home),
        }
    }

    fn is_own(&self, home: &Home) -> bool {
        home.daemon == *self.core.name() && home.incarnation == self.core.incarnation
    }

    /// Claims a key. Not cancellation-safe: the future must be polled to completion.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimResult {
        let started = self.core.clock.now();
        let limit = request.deadline.min(started + CLAIM_TIMEOUT);
        let mut changes = self.changes.subscribe();
        let mut step = self.registry().begin(started, request.clone());
        loop {
            step = match step {
                Step::Run(token) => return ClaimResult::Held(token),
                Step::Repeat(answer) => return ClaimResult::Repeat(answer),
                Step::Refuse(refused) => return ClaimResult::Refused(refused),
                Step::Wait => {
                    let wait = request.deadline.min(started + MAX_REPEAT_WAIT);
                    if !self.wait_for_change(&mut changes, wait).await {
                        return ClaimResult::Refused(Refused::unknown(Reason::InProgress));
                    }
                    self.registry()
                        .begin(self.core.clock.now(), request.clone())
                }
                Step::Insert(write) => {
                    let value = encode(&write.row);
                    let reply = self.write(&write.key, write.version, value).await;
                    self.advance(limit, &write.token, |registry| {
                        registry.on_insert_reply(write.token.clone(), reply)
                    })
                }
                Step::Read(read) => {
                    sleep(REREAD_DELAY).await;
                    let row = self.core.table.read_one(&read.key).await.map_err(|_| ());
                    self.advance(limit, &read.token, |registry| {
                        registry.on_row_read(read.token.clone(), row)
                    })
                }
                Step::AskHolder(token, holder) => {
                    let holder_reply = self
                        .query_holder(&token.id, &holder, request.deadline)
                        .await;
                    self.registry().on_holder_reply(token, holder_reply)
                }
            };
            self.notify_change();
        }
    }

    fn advance(
        &self,
        limit: Instant,
        token: &ClaimToken,
        next: impl FnOnce(&mut ClaimRegistry) -> Step,
    ) -> Step {
        let mut registry = self.registry();
        let step = next(&mut registry);
        let is_final = matches!(step, Step::Run(_) | Step::Repeat(_) | Step::Refuse(_));
        if is_final || self.core.clock.now() < limit {
            return step;
        }
        registry.withdraw(token);
        Step::Refuse(Refused::unknown(Reason::Undecided))
    }

    /// Marks the attempt as dispatched; returns whether it may be sent.
    ///
    /// Must be called immediately before sending.
    pub fn dispatch(&self, token: &ClaimToken) -> bool {
        self.registry().dispatch(self.core.clock.now(), token)
    }

    /// Records that no byte of a dispatched request was sent.
    pub fn not_sent(&self, token: &ClaimToken) {
        self.registry().not_sent(token);
    }

    /// Records the result of an attempt; returns whether the claim was still held.
    pub fn record_end(&self, token: &ClaimToken, ended: Ended) -> bool {
        let held = self.registry().ended(self.core.clock.now(), token, ended);
        self.notify_change();
        self.outcome_pending.notify_one();
        held
    }

    /// Responds to a peer's query about one of this daemon's attempts.
    pub async fn attempt_state(&self, query: AttemptQuery) -> Response {
        if query.incarnation != self.core.incarnation {
            return Response::OtherIncarnation;
        }
        let wait_until = self.core.clock.now() + query.wait.min(MAX_REPEAT_WAIT);
        let token = ClaimToken {
            id: query.id,
            attempt: query.attempt,
        };
        let mut changes = self.changes.subscribe();
        loop {
            let state = self.registry().state_of(&token);
            if state != AttemptState::Running
                || !self.wait_for_change(&mut changes, wait_until).await
            {
                return Response::Attempt(state);
            }
        }
    }

    async fn query_holder(&self, id: &ClaimId, holder: &Holder, deadline: Instant) -> AttemptState {
        match self.query_attempt(id, holder, Duration::ZERO).await {
            Some(AttemptState::Running) => {
                let remaining = deadline.saturating_duration_since(self.core.clock.now());
                let wait = remaining.saturating_sub(CALL_MARGIN).min(MAX_REPEAT_WAIT);
                let second_state = self.query_attempt(id, holder, wait).await;
                second_state.unwrap_or(AttemptState::Running)
            }
            Some(state) => state,
            None => self.stopped_holder_state(holder).await,
        }
    }

    async fn query_attempt(
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

    async fn stopped_holder_state(&self, holder: &Holder) -> AttemptState {
        let key = complete_key(&holder.daemon, holder.incarnation);
        match self.core.table.read_one(&key).await {
            Ok(Some(_)) => AttemptState::HolderComplete,
            _ => AttemptState::HolderUnreachable,
        }
    }

    /// Returns the member with this name and incarnation, unless its state is `Dead`.
    pub fn member(&self, daemon: &str, incarnation: Incarnation) -> Option<Member> {
        let members = self.core.members();
        let same = |m: &&Member| m.name == daemon && m.incarnation == incarnation;
        let found = members.iter().find(same)?;
        (found.state != MemberState::Dead).then(|| found.clone())
    }

    /// Returns the journal of another incarnation; `None` if the table is unreachable.
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

    async fn wait_for_change(
        &self,
        changes: &mut watch::Receiver<u64>,
        wait_until: Instant,
    ) -> bool {
        let remaining = wait_until.saturating_duration_since(self.core.clock.now());
        matches!(timeout(remaining, changes.changed()).await, Ok(Ok(())))
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn registry(&self) -> MutexGuard<'_, ClaimRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
