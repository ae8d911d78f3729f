//! Dispatches buffered requests to the own target or to a peer (another agent of the
//! service).

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

/// Maximum time to wait for a peer's reply if the caller set no deadline.
const PEER_REPLY_LIMIT: Duration = Duration::from_secs(30);

impl Requests {
    /// Runs a short request at a peer while all own slots are in use. Runs any other
    /// request at the own target, and a short one too if no peer is chosen for it.
    ///
    /// If the peer refuses the request or isn't known any more, the request runs at the
    /// own target. If the peer's outcome is unknown, it does so only if the request is
    /// repeatable and the retry budget allows it.
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

    /// Runs a request at the own target. If that fails, the request may be sent again
    /// and the retry budget allows it, the request is relayed to a peer. If there is no
    /// peer, it runs at the own target again.
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
        // The default load has no open slots, which makes `choose` prefer a peer to the
        // target that has just failed.
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

    /// Relays a request to a peer and waits for the reply. After the deadline, or after
    /// [`PEER_REPLY_LIMIT`] if there is none, returns [`Reply::Unknown`] with `reason`.
    /// Sends nothing and returns `None` if the peer is unknown or of another service.
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

    /// Takes a retry from the budget if the request may run more than once. Returns
    /// whether both is the case.
    fn may_retry(&self, grant: &Grant) -> bool {
        grant.repeat == Repeat::Idempotent && self.retry_budget().withdraw()
    }
}

/// Combines the replies of two attempts. The reply of the second counts, except if the
/// outcome of the first is unknown and the second is refused: then the outcome stays
/// unknown.
fn combine_replies(first: Option<Reply>, second: Reply) -> Reply {
    match (first, second) {
        (Some(Reply::Unknown(reason)), Reply::Refused(_)) => Reply::Unknown(reason),
        (_, second) => second,
    }
}
