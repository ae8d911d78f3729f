//! Runs requests with an idempotency key.
//!
//! The agent that issued a key is its owner, the only one that may run its request.
//! Other agents relay the request to the owner. The owner runs only the first attempt;
//! later attempts receive the outcome of the first.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::agent::requests::MAX_BUFFERED_BODY;
use crate::agent::requests::Requests;
use crate::agent::requests::body;
use crate::agent::requests::buffered::BufferedRequest;
use crate::agent::requests::digest;
use crate::agent::requests::head::RequestHead;
use crate::agent::requests::keys::ClaimResult;
use crate::agent::requests::keys::RunPermit;
use crate::agent::requests::local::WaitLimit;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;
use crate::metrics::Counter;
use crate::metrics::Retry;

/// Time past the deadline for which the reply of the target to a request with a key is
/// awaited. A later attempt finds that reply.
const LATE_REPLY_LIMIT: Duration = Duration::from_secs(30);

/// `KeyOwner` is the agent that may run the request of a key.
pub(super) enum KeyOwner {
    /// This agent, which issued the key.
    Local(IdempotencyKey),
    /// Another agent.
    Peer(InstanceId),
    /// No agent may run it; the caller receives this reply.
    NoOwner(Reply),
}

impl Requests {
    /// Runs a request with a key at this agent or at the owner of the key, or returns the
    /// outcome of an earlier attempt.
    pub(super) async fn serve_keyed(
        self: &Arc<Self>,
        head: RequestHead,
        key_text: &str,
        receive: body::ReceiveHalf,
    ) -> Reply {
        let collected = self.buffers.collect(&head, receive, MAX_BUFFERED_BODY);
        let (body, memory) = match collected.await {
            Ok(collected) => collected,
            Err(err) => return err.into(),
        };
        let request = BufferedRequest {
            access: self.access.check(&head),
            digest: digest(&head, &body),
            head,
            body,
            memory: Some(memory),
        };
        match self.find_owner(key_text) {
            KeyOwner::Local(key) => self.run_once(request, &key).await,
            KeyOwner::Peer(peer) => {
                self.metrics.count(Counter::Retry(Retry::RelayKey));
                let reply = self
                    .relay(peer, &request, UnknownReason::IssuerSilent)
                    .await;
                reply.unwrap_or(Reply::Unknown(UnknownReason::IssuerGone))
            }
            KeyOwner::NoOwner(reply) => reply,
        }
    }

    /// Decodes a key and finds the agent that may run its request.
    pub(super) fn find_owner(&self, key_text: &str) -> KeyOwner {
        let (key, owner) = match self.keys.decode(key_text) {
            Ok(decoded) => decoded,
            Err(reason) => return KeyOwner::NoOwner(Reply::Refused(reason)),
        };
        match owner {
            Owner::Local => KeyOwner::Local(key),
            Owner::Peer(peer) => KeyOwner::Peer(peer),
            Owner::Expired => KeyOwner::NoOwner(Reply::Unknown(UnknownReason::KeyExpired)),
            Owner::Gone => KeyOwner::NoOwner(Reply::Unknown(UnknownReason::IssuerGone)),
            Owner::OtherService => KeyOwner::NoOwner(Reply::Refused(Refusal::KeyInvalid)),
        }
    }

    /// Runs the request of a key that this process issued, unless an earlier attempt did.
    /// Later attempts wait for the outcome of the first.
    pub(super) async fn run_once(
        self: &Arc<Self>,
        mut request: BufferedRequest,
        key: &IdempotencyKey,
    ) -> Reply {
        // A peer that runs the request for this agent must not look up the key's
        // owner.
        request.head.key = None;
        let deadline = request.head.deadline;
        let (sender, receiver) = oneshot::channel();
        match self
            .keys
            .claim(key, request.digest, self.local.slots.next_id())
        {
            ClaimResult::Settled(settled) => return settled.into(),
            ClaimResult::Wait(settled) => {
                let settled = async { settled.await.map(Reply::from) };
                return self
                    .local
                    .wait(settled, deadline, UnknownReason::AnswerLate)
                    .await;
            }
            ClaimResult::Run(permit) => {
                let requests = self.clone();
                tokio::spawn(async move {
                    let settled = requests.run_to_completion(&request).await;
                    RunPermit::settle(permit, &settled);
                    // The receiver is gone if the caller disconnected. A later attempt finds
                    // the outcome in the duplicate table.
                    let _ = sender.send(Reply::from(settled));
                });
            }
        }
        self.local
            .wait(receiver, deadline, UnknownReason::AnswerLate)
            .await
    }

    /// Runs the request of a key to its end, independent of its callers, and returns its
    /// final outcome.
    async fn run_to_completion(self: &Arc<Self>, request: &BufferedRequest) -> Settled<Answer> {
        let grant = match &request.access {
            Ok(grant) => grant,
            Err(reason) => return Settled::NotRun(*reason),
        };
        // The request is charged to the customer's allowance here, at the issuer of the
        // key, and not at the agent that received the request: only the issuer knows
        // that the key's request has not run.
        let _permit = match self.access.admit(grant).await {
            Ok(permit) => permit,
            Err(reason) => return Settled::NotRun(reason),
        };
        match self
            .dispatch(request, grant, WaitLimit::Extended(LATE_REPLY_LIMIT))
            .await
        {
            Reply::Buffered(answer) => Settled::Done(answer),
            Reply::Streamed(..) => Settled::Unknown(UnknownReason::AnswerNotKept),
            Reply::Refused(reason) => Settled::NotRun(reason),
            Reply::Unknown(reason) => Settled::Unknown(reason),
        }
    }
}
