//! Requests that carry an idempotency key: each runs once at most.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::agent::requests::KEYED_BODY_MAX;
use crate::agent::requests::Requests;
use crate::agent::requests::ask::Ask;
use crate::agent::requests::body;
use crate::agent::requests::digest;
use crate::agent::requests::head::Head;
use crate::agent::requests::keys::Claimed;
use crate::agent::requests::keys::Turn;
use crate::agent::requests::local::Patience;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;
use crate::metrics::Counter;
use crate::metrics::Retry;

/// Time past its deadline for which a request with a key is waited for.
const LATE_LIMIT: Duration = Duration::from_secs(30);

/// `Found` says who may run the request of a key.
pub(super) enum Found {
    Here(IdempotencyKey),
    Peer(InstanceId),
    /// Nobody, and this is what its caller is told.
    Nowhere(Reply),
}

impl Requests {
    /// Runs a request that has a key, or gives what became of it before.
    pub(super) async fn keyed(
        self: &Arc<Self>,
        head: Head,
        text: &str,
        receive: body::ReceiveHalf,
    ) -> Reply {
        let held = self.bodies.collect(&head, receive, KEYED_BODY_MAX);
        let (body, room) = match held.await {
            Ok(held) => held,
            Err(fault) => return fault.into(),
        };
        let ask = Ask {
            access: self.access.check(&head),
            digest: digest(&head, &body),
            head,
            body,
            room: Some(room),
        };
        match self.find(text) {
            Found::Here(key) => self.run_once(ask, &key).await,
            Found::Peer(peer) => {
                self.metrics.count(Counter::Retry(Retry::RelayKey));
                let reply = self.pass(peer, &ask, UnknownReason::IssuerSilent).await;
                reply.unwrap_or(Reply::Unknown(UnknownReason::IssuerGone))
            }
            Found::Nowhere(reply) => reply,
        }
    }

    /// Finds who may run the request of a key.
    pub(super) fn find(&self, text: &str) -> Found {
        let (key, owner) = match self.keys.read(text) {
            Ok(read) => read,
            Err(reason) => return Found::Nowhere(Reply::Refused(reason)),
        };
        match owner {
            Owner::Local => Found::Here(key),
            Owner::Peer(peer) => Found::Peer(peer),
            Owner::Expired => Found::Nowhere(Reply::Unknown(UnknownReason::KeyExpired)),
            Owner::Gone => Found::Nowhere(Reply::Unknown(UnknownReason::IssuerGone)),
            Owner::OtherService => Found::Nowhere(Reply::Refused(Refusal::KeyInvalid)),
        }
    }

    /// Runs the request of a key that this process issued, unless it was run
    /// before.
    pub(super) async fn run_once(self: &Arc<Self>, mut ask: Ask, key: &IdempotencyKey) -> Reply {
        // Whoever runs it for this agent must not look for the key's owner.
        ask.head.key = None;
        let deadline = ask.head.deadline;
        let (sender, receiver) = oneshot::channel();
        match self.keys.claim(key, ask.digest, self.local.slots.next_id()) {
            Claimed::Settled(settled) => return settled.into(),
            Claimed::Wait(settled) => {
                let settled = async { settled.await.map(Reply::from) };
                return self
                    .local
                    .wait(settled, deadline, UnknownReason::AnswerLate)
                    .await;
            }
            Claimed::Run(turn) => {
                let requests = self.clone();
                tokio::spawn(async move {
                    let settled = requests.settle(&ask).await;
                    Turn::settle(turn, &settled);
                    // A caller that went away finds it in the table.
                    let _ = sender.send(Reply::from(settled));
                });
            }
        }
        self.local
            .wait(receiver, deadline, UnknownReason::AnswerLate)
            .await
    }

    /// Runs the request of a key to its end, whoever waits for it.
    async fn settle(self: &Arc<Self>, ask: &Ask) -> Settled<Answer> {
        let grant = match &ask.access {
            Ok(grant) => grant,
            Err(reason) => return Settled::NotRun(*reason),
        };
        // It is counted here and not where its caller asked, since only the
        // issuer knows that a request with this key did not run before.
        let _admitted = match self.access.allow(grant).await {
            Ok(admitted) => admitted,
            Err(reason) => return Settled::NotRun(reason),
        };
        match self.held(ask, grant, Patience::Longer(LATE_LIMIT)).await {
            Reply::Whole(answer) => Settled::Done(answer),
            Reply::Streamed(..) => Settled::Unknown(UnknownReason::AnswerNotKept),
            Reply::Refused(reason) => Settled::NotRun(reason),
            Reply::Unknown(doubt) => Settled::Unknown(doubt),
        }
    }
}
