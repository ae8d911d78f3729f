//! Dispatches buffered requests to the own target or to a peer.

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
use crate::agent::requests::buffered::BufferedRequest;
use crate::agent::requests::local::WaitLimit;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;
use crate::metrics::Counter;
use crate::metrics::Retry;

/// Maximum length of an answer that is buffered until it is complete, in octets,
/// if it may be relayed between agents or kept for a later attempt.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 1 << 20;

/// Maximum wait for a peer's reply if the caller set no deadline.
const PEER_REPLY_LIMIT: Duration = Duration::from_secs(30);

impl Requests {
    /// Runs a request at a peer while all own slots are in use, otherwise at the
    /// own target. Only short requests are relayed.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        request: &BufferedRequest,
        grant: &Grant,
        wait_limit: WaitLimit,
    ) -> Reply {
        let load = self.local.slots.load();
        let peer = match grant.class {
            Class::Short => self.peers.choose(&load),
            Class::Feed | Class::Bulk => None,
        };
        let Some(peer) = peer else {
            return self.run_local_first(request, grant, wait_limit).await;
        };
        self.metrics.count(Counter::Retry(Retry::RelaySaturated));
        let reply = self.relay(peer, request, UnknownReason::PeerSilent).await;
        let retry = match &reply {
            None | Some(Reply::Refused(_)) => true,
            Some(Reply::Unknown(_)) => self.may_retry(grant),
            Some(_) => false,
        };
        if !retry {
            return reply.unwrap_or(Reply::Unknown(UnknownReason::PeerSilent));
        }
        let next = self.run_local(request, grant, wait_limit).await;
        combine_replies(reply, next)
    }

    /// Runs a request at the own target. If that fails and the request may be
    /// resent, it goes to a peer, or again to the own target if there is no peer.
    async fn run_local_first(
        self: &Arc<Self>,
        request: &BufferedRequest,
        grant: &Grant,
        wait_limit: WaitLimit,
    ) -> Reply {
        let reply = self.run_local(request, grant, wait_limit).await;
        let (sent, retry) = match &reply {
            Reply::Refused(Refusal::TargetDown) => (Sent::Nothing, Retry::TargetConnect),
            Reply::Refused(Refusal::TargetRefused) => (Sent::Octets, Retry::TargetRefused),
            Reply::Unknown(UnknownReason::AnswerBroken) => (Sent::Octets, Retry::AnswerBroken),
            _ => return reply,
        };
        if !may_resend(grant.repeat, sent) || !self.retry_budget().withdraw() {
            return reply;
        }
        self.metrics.count(Counter::Retry(retry));
        // Any peer is preferred to a target that has just failed.
        let next = match self.peers.choose(&Load::default()) {
            Some(peer) => self.relay(peer, request, UnknownReason::PeerSilent).await,
            None => Some(self.run_local(request, grant, wait_limit).await),
        };
        match next {
            Some(next) => combine_replies(Some(reply), next),
            None => reply,
        }
    }

    async fn run_local(
        &self,
        request: &BufferedRequest,
        grant: &Grant,
        wait_limit: WaitLimit,
    ) -> Reply {
        let body = target::full_body(request.body.clone());
        self.local
            .run(&request.head, grant, body, MAX_BUFFERED_ANSWER, wait_limit)
            .await
    }

    /// Relays a request to a peer and waits for its reply, or returns
    /// [`Reply::Unknown`] with `reason` after the deadline. Returns `None`, and
    /// sends nothing, if the peer is unknown.
    pub(super) async fn relay(
        &self,
        peer: InstanceId,
        request: &BufferedRequest,
        reason: UnknownReason,
    ) -> Option<Reply> {
        let limit = self.clock.now() + PEER_REPLY_LIMIT;
        let deadline = request.head.deadline.unwrap_or(limit);
        let mut pending = self.peers.send_request(peer, request)?;
        let reply = self
            .local
            .wait(pending.receiver(), Some(deadline), reason)
            .await;
        Some(reply)
    }

    fn may_retry(&self, grant: &Grant) -> bool {
        grant.repeat == Repeat::Idempotent && self.retry_budget().withdraw()
    }
}

/// Combines the replies of two attempts. If the first attempt's outcome is unknown,
/// a rejection of the second doesn't change that.
fn combine_replies(first: Option<Reply>, second: Reply) -> Reply {
    match (first, second) {
        (Some(Reply::Unknown(reason)), Reply::Refused(_)) => Reply::Unknown(reason),
        (_, second) => second,
    }
}
