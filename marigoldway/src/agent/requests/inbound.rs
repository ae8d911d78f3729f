//! Serves requests that peers (other agents of the service) relay to this agent.

use std::net::SocketAddrV4;
use std::sync::Arc;

use marigoldway_core::relay::PeerLoad;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::wire::relay::AnswerWire;
use marigoldway_net::wire::relay::RelayWire;
use marigoldway_net::wire::relay::RequestWire;

use crate::agent::requests::Requests;
use crate::agent::requests::buffered;
use crate::agent::requests::buffered::BufferedRequest;
use crate::agent::requests::dispatch::MAX_BUFFERED_ANSWER;
use crate::agent::requests::idempotent::KeyOwner;
use crate::agent::requests::local::WaitLimit;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;

impl Requests {
    /// Handles the relay messages of peers until the process ends.
    pub(in crate::agent) async fn run_relay(
        self: Arc<Self>,
        mut received: MessageReceiver<RelayWire>,
    ) {
        while let Some((peer, message)) = received.recv().await {
            match message {
                RelayWire::Answer(answer) => self.peers.on_answer(peer, *answer),
                RelayWire::Ask(wire) => {
                    let requests = self.clone();
                    tokio::spawn(async move { requests.serve_peer(peer, *wire).await });
                }
            }
        }
    }

    /// Serves one request of a peer, and sends the reply with this agent's load.
    async fn serve_peer(self: Arc<Self>, peer: SocketAddrV4, wire: RequestWire) {
        let number = wire.number;
        let reply = self.reply_to_peer(wire).await;
        let load = PeerLoad::from(self.local.slots.load());
        let answer = AnswerWire {
            number,
            ending: buffered::encode_reply(reply),
            free: u32::try_from(load.free).unwrap_or(u32::MAX),
            waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
        };
        self.peers.send(peer, RelayWire::Answer(Box::new(answer)));
    }

    /// Runs a request of a peer at the own target. The request isn't relayed any further,
    /// unless it has an idempotency key that this agent issued. A request for another
    /// service is malformed.
    async fn reply_to_peer(self: &Arc<Self>, wire: RequestWire) -> Reply {
        let has_key = wire.key.is_some();
        let request = match wire.service == self.own_route.service.0 {
            true => BufferedRequest::from_wire(wire, self.clock.now()),
            false => Err(Refusal::Malformed),
        };
        let request = match request {
            Ok(request) => request,
            // With a key, another attempt may have been well-formed and have run.
            Err(_) if has_key => return Reply::Unknown(UnknownReason::KeyUnread),
            Err(reason) => return Reply::Refused(reason),
        };
        if let Some(text) = request.head.key.clone() {
            return match self.find_owner(&text) {
                KeyOwner::Local(key) => self.run_once(request, &key).await,
                KeyOwner::Peer(_) => Reply::Unknown(UnknownReason::IssuerSilent),
                KeyOwner::NoOwner(reply) => reply,
            };
        }
        let Ok(grant) = request.access.clone() else {
            return Reply::Refused(Refusal::Malformed);
        };
        let body = target::full_body(request.body);
        let wait_limit = WaitLimit::Deadline;
        self.local
            .run(&request.head, &grant, body, MAX_BUFFERED_ANSWER, wait_limit)
            .await
    }
}
