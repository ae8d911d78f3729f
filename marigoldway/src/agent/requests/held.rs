//! Requests that are held whole, which may go to a peer.

use std::sync::Arc;
use std::time::Duration;

use marigoldway_core::admission::Load;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry::Repeat;
use marigoldway_core::retry::Sent;
use marigoldway_core::retry::may_resend;

use crate::agent::requests::Requests;
use crate::agent::requests::access::Grant;
use crate::agent::requests::ask::Ask;
use crate::agent::requests::local::Patience;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;
use crate::metrics::Counter;
use crate::metrics::Retry;

/// Octets of an answer that are held back until it is whole, where it may
/// travel between agents or is kept for a later attempt.
pub(crate) const HOLD: usize = 1 << 20;

/// Longest wait for a peer where the caller set no deadline.
const PEER_LIMIT: Duration = Duration::from_secs(30);

impl Requests {
    /// Runs a request at a peer while the own slots are all taken, and else at
    /// the own target.
    pub(super) async fn held(
        self: &Arc<Self>,
        ask: &Ask,
        grant: &Grant,
        patience: Patience,
    ) -> Reply {
        let load = self.local.slots.load();
        let peer = match grant.class {
            Class::Short => self.peers.choose(&load),
            Class::Feed | Class::Bulk => None,
        };
        let Some(peer) = peer else {
            return self.own_first(ask, grant, patience).await;
        };
        self.metrics.count(Counter::Retry(Retry::RelaySaturated));
        let reply = self.pass(peer, ask, UnknownReason::PeerSilent).await;
        let again = match &reply {
            None | Some(Reply::Refused(_)) => true,
            Some(Reply::Unknown(_)) => self.may_repeat(grant),
            Some(_) => false,
        };
        if !again {
            return reply.unwrap_or(Reply::Unknown(UnknownReason::PeerSilent));
        }
        let next = self.run_here(ask, grant, patience).await;
        join(reply, next)
    }

    /// Runs a request at the own target. If that fails and the request may be
    /// sent again, a peer gets it, or the own target if there is no peer.
    async fn own_first(self: &Arc<Self>, ask: &Ask, grant: &Grant, patience: Patience) -> Reply {
        let reply = self.run_here(ask, grant, patience).await;
        let (sent, retry) = match &reply {
            Reply::Refused(Refusal::TargetDown) => (Sent::Nothing, Retry::TargetConnect),
            Reply::Refused(Refusal::TargetRefused) => (Sent::Octets, Retry::TargetRefused),
            Reply::Unknown(UnknownReason::AnswerBroken) => (Sent::Octets, Retry::AnswerBroken),
            _ => return reply,
        };
        if !may_resend(grant.repeat, sent) || !self.budget().withdraw() {
            return reply;
        }
        self.metrics.count(Counter::Retry(retry));
        // To a target that failed, any peer is better.
        let next = match self.peers.choose(&Load::default()) {
            Some(peer) => self.pass(peer, ask, UnknownReason::PeerSilent).await,
            None => Some(self.run_here(ask, grant, patience).await),
        };
        match next {
            Some(next) => join(Some(reply), next),
            None => reply,
        }
    }

    async fn run_here(&self, ask: &Ask, grant: &Grant, patience: Patience) -> Reply {
        let body = target::whole(ask.body.clone());
        self.local.run(&ask.head, grant, body, HOLD, patience).await
    }

    /// Passes a request to a peer and waits for its answer. Gives `None` if the
    /// peer is not known, and nothing was sent.
    pub(super) async fn pass(
        &self,
        peer: InstanceId,
        ask: &Ask,
        doubt: UnknownReason,
    ) -> Option<Reply> {
        let limit = self.clock.now() + PEER_LIMIT;
        let deadline = ask.head.deadline.unwrap_or(limit);
        let mut question = self.peers.ask(peer, ask)?;
        let reply = self
            .local
            .wait(question.answer(), Some(deadline), doubt)
            .await;
        Some(reply)
    }

    fn may_repeat(&self, grant: &Grant) -> bool {
        grant.repeat == Repeat::Idempotent && self.budget().withdraw()
    }
}

/// What is known after two attempts: a refusal of the second says nothing of
/// the first.
fn join(first: Option<Reply>, second: Reply) -> Reply {
    match (first, second) {
        (Some(Reply::Unknown(doubt)), Reply::Refused(_)) => Reply::Unknown(doubt),
        (_, second) => second,
    }
}
