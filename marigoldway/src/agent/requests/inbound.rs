//! Requests that peers pass to this agent.

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
use crate::agent::requests::ask;
use crate::agent::requests::ask::Ask;
use crate::agent::requests::held::HOLD;
use crate::agent::requests::local::Patience;
use crate::agent::requests::once::Found;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;

impl Requests {
    /// Serves the messages of peers until the process ends.
    pub(in crate::agent) async fn listen(
        self: Arc<Self>,
        mut received: MessageReceiver<RelayWire>,
    ) {
        while let Some((peer, message)) = received.recv().await {
            match message {
                RelayWire::Answer(answer) => self.peers.answer(peer, *answer),
                RelayWire::Ask(ask) => {
                    let requests = self.clone();
                    tokio::spawn(async move { requests.serve_peer(peer, *ask).await });
                }
            }
        }
    }

    async fn serve_peer(self: Arc<Self>, peer: SocketAddrV4, wire: RequestWire) {
        let number = wire.number;
        let reply = self.reply_to_peer(wire).await;
        let room = PeerLoad::from(self.local.slots.load());
        let answer = AnswerWire {
            number,
            ending: ask::to_ending(reply),
            free: u32::try_from(room.free).unwrap_or(u32::MAX),
            waiting: u32::try_from(room.waiting).unwrap_or(u32::MAX),
        };
        self.peers.send(peer, RelayWire::Answer(Box::new(answer)));
    }

    /// Runs a request of a peer. It goes no further than to the own target,
    /// unless this agent issued its key.
    async fn reply_to_peer(self: &Arc<Self>, wire: RequestWire) -> Reply {
        let keyed = wire.key.is_some();
        let ask = match wire.service == self.own.service.0 {
            true => Ask::from_wire(wire, self.clock.now()),
            false => Err(Refusal::Malformed),
        };
        let ask = match ask {
            Ok(ask) => ask,
            // With a key, another attempt may have been well formed and run.
            Err(_) if keyed => return Reply::Unknown(UnknownReason::KeyUnread),
            Err(reason) => return Reply::Refused(reason),
        };
        if let Some(text) = ask.head.key.clone() {
            return match self.find(&text) {
                Found::Here(key) => self.run_once(ask, &key).await,
                Found::Peer(_) => Reply::Unknown(UnknownReason::IssuerSilent),
                Found::Nowhere(reply) => reply,
            };
        }
        let Ok(grant) = ask.access.clone() else {
            return Reply::Refused(Refusal::Malformed);
        };
        let body = target::whole(ask.body);
        let patience = Patience::Caller;
        self.local
            .run(&ask.head, &grant, body, HOLD, patience)
            .await
    }
}
