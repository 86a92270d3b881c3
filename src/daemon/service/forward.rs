//! Calls whose key is bound to another daemon: forwarded to it, or resolved from its journal in the
//! table if it is unreachable.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use platform::decode::MAX_DURATION;
use tokio::time::sleep;

use super::{
    Call, ServiceAnswer, ServiceCall, Services,
    once::{claim_id, claim_refusal},
};
use crate::{
    coordination::{
        claims::{Answer, ClaimLocation, JournalState, Outcome, Reason, Refused},
        membership::Member,
    },
    daemon::claims::KeyBinding,
    protocol::{
        home_key::Home,
        peer::{
            PeerRequest, PeerResponse,
            claims::{ForwardedCall, Response},
        },
        problem::Refusal,
    },
};

/// Time reserved for the home daemon's reply; the deadline sent to it is earlier by this much.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Delay between the pings to a home daemon that has not answered yet.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a ping to the home daemon.
const PING_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of consecutive unanswered pings after which the home daemon is considered unreachable.
const MAX_MISSED_PINGS: u32 = 2;

impl Services {
    /// Forwards a call to the home daemon of its key.
    pub(super) async fn forward(
        self: &Arc<Self>,
        call: Call,
        home: Home,
    ) -> Result<ServiceAnswer, Refusal> {
        if let Some(member) = self.claims.member(&home.daemon, home.incarnation) {
            let daemon = &home.daemon;
            self.record_decision(&call, "claim", format_args!("forwarded={daemon}"));
            match self.send_to_home(&call, &member).await {
                Some(Response::Answered(answer)) => return Ok(answer.as_ref().into()),
                Some(Response::Refused(message)) => return Err(message.into()),
                _ => {}
            }
        }
        self.serve_from_journal(call, home).await
    }

    async fn send_to_home(&self, call: &Call, home: &Member) -> Option<Response> {
        let remaining = self.time_left(call);
        let caller_request = &call.caller_request;
        let req = PeerRequest::Claims(crate::protocol::peer::claims::Request::Run(ForwardedCall {
            incarnation: home.incarnation,
            request_id: caller_request.request_id.clone(),
            customer: caller_request.customer.clone(),
            service: caller_request.service.clone(),
            method: caller_request.method.clone(),
            path: caller_request.path.clone(),
            headers: caller_request.headers.clone(),
            body: caller_request.body.to_vec(),
            key: caller_request.idempotency_key.clone().unwrap_or_default(),
            time_left: remaining.saturating_sub(DEADLINE_MARGIN),
        }));
        tokio::select! {
            reply = self.core.peers.call(home, req, remaining) => match reply {
                Ok(PeerResponse::Claims(response)) => Some(response),
                _ => None,
            },
            () = self.wait_until_unresponsive(home) => None,
        }
    }

    /// Returns when the home daemon has left `MAX_MISSED_PINGS` consecutive pings unanswered.
    async fn wait_until_unresponsive(&self, home: &Member) {
        let mut missed_pings = 0;
        while missed_pings < MAX_MISSED_PINGS {
            sleep(PING_INTERVAL).await;
            let pong = self
                .core
                .peers
                .call(home, PeerRequest::Ping, PING_TIMEOUT)
                .await;
            missed_pings = if pong.is_ok() { 0 } else { missed_pings + 1 };
        }
    }

    /// Serves a call whose home daemon is unreachable, from the home daemon's journal in the table.
    async fn serve_from_journal(
        self: &Arc<Self>,
        call: Call,
        home: Home,
    ) -> Result<ServiceAnswer, Refusal> {
        let home_unreachable = || Err(claim_refusal(Refused::unknown(Reason::HolderSilent)));
        if self.time_left(&call).is_zero() {
            return home_unreachable();
        }
        let Some(journal) = self.claims.journal_of(&home).await else {
            return home_unreachable();
        };
        let state = journal.state_of(&claim_id(&call));
        let daemon = &home.daemon;
        self.record_decision(
            &call,
            "claim",
            format_args!(
                "home={daemon} silent=true journalled={}",
                state != JournalState::Unknown
            ),
        );
        match state {
            JournalState::NeverRan => self.run_at_most_once(call, ClaimLocation::Table).await,
            JournalState::Unknown => home_unreachable(),
            JournalState::Ended(fingerprint, _)
                if fingerprint != call.caller_request.fingerprint() =>
            {
                Err(claim_refusal(Refused::not_run(Reason::KeyReused)))
            }
            JournalState::Ended(_, outcome) => self.replay_outcome(&call, &outcome).await,
        }
    }

    async fn replay_outcome(
        &self,
        call: &Call,
        outcome: &Outcome,
    ) -> Result<ServiceAnswer, Refusal> {
        match outcome {
            Outcome::Answered(Some(answer)) => self.replay_answer(call, answer).await,
            Outcome::Answered(None) => Err(claim_refusal(Refused::unknown(Reason::AnswerGone))),
            Outcome::Unknown => Err(claim_refusal(Refused::unknown(Reason::OutcomeUnknown))),
        }
    }

    /// Executes a call forwarded by a peer if its key is bound to this incarnation.
    pub(super) async fn run_forwarded(self: &Arc<Self>, forwarded: ForwardedCall) -> Response {
        let key_binding = self.claims.key_binding(&forwarded.key);
        let KeyBinding::Local { expires } = key_binding else {
            return Response::OtherIncarnation;
        };
        if forwarded.incarnation != self.core.incarnation {
            return Response::OtherIncarnation;
        }
        let call = Call {
            deadline: self.core.clock.now() + forwarded.time_left.min(MAX_DURATION),
            caller_request: Arc::new(forwarded.into()),
        };
        match self
            .run_at_most_once(call, ClaimLocation::Home { expires })
            .await
        {
            Ok(answer) => Response::Answered(Arc::new(Answer::from(&answer))),
            Err(refusal) => Response::Refused(refusal.into()),
        }
    }
}

impl From<ForwardedCall> for ServiceCall {
    fn from(forwarded: ForwardedCall) -> Self {
        Self {
            request_id: forwarded.request_id,
            customer: forwarded.customer,
            service: forwarded.service,
            method: forwarded.method,
            path: forwarded.path,
            headers: forwarded.headers,
            body: Bytes::from(forwarded.body),
            idempotency_key: Some(forwarded.key),
            deadline: None,
        }
    }
}
