//! Requests that this agent passes to others of its service.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;
use tokio::sync::watch;

use marigoldway_core::admission::Load;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::relay::Hops;
use marigoldway_core::relay::PeerLoad;
use marigoldway_core::relay::Relay;
use marigoldway_core::roster::RosterView;
use marigoldway_core::route::Route;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::Control;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::relay::AnswerWire;
use marigoldway_net::wire::relay::RelayWire;

use crate::agent::requests::buffered::BufferedRequest;
use crate::agent::requests::reply::Reply;

/// `Peers` asks other agents and matches their answers.
pub(crate) struct Peers {
    own: Route,
    control: Control,
    clock: Clock,
    views: watch::Receiver<Arc<RosterView>>,
    state: Mutex<State>,
}

struct State {
    relay: Relay,
    /// The view that the peers of `relay` came from.
    view: Arc<RosterView>,
    rng: StdRng,
    next_number: u64,
    pending: IndexMap<u64, Pending>,
}

/// A question without an answer so far.
struct Pending {
    peer: SocketAddrV4,
    id: InstanceId,
    sender: oneshot::Sender<Reply>,
}

/// `PendingReply` waits for the answer of a peer. Dropping it gives the question up.
pub(crate) struct PendingReply {
    peers: Arc<Peers>,
    number: u64,
    receiver: oneshot::Receiver<Reply>,
}

impl PendingReply {
    /// The answer.
    pub(crate) fn receiver(&mut self) -> &mut oneshot::Receiver<Reply> {
        &mut self.receiver
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.peers.state().pending.swap_remove(&self.number);
    }
}

impl Peers {
    /// Makes the peers of the agent that `own` names.
    pub(crate) fn new(
        own: Route,
        control: Control,
        clock: Clock,
        views: watch::Receiver<Arc<RosterView>>,
    ) -> Arc<Peers> {
        let incarnation = u64::from(own.incarnation.0);
        let state = State {
            relay: Relay::default(),
            view: Arc::default(),
            rng: StdRng::seed_from_u64(own.agent.to_u64() ^ incarnation),
            // A late answer to an earlier life must not match.
            next_number: incarnation << 32,
            pending: IndexMap::new(),
        };
        Arc::new(Peers {
            own,
            control,
            clock,
            views,
            state: Mutex::new(state),
        })
    }

    /// Chooses a peer for a request while the own target has the given load.
    pub(crate) fn choose(&self, load: &Load) -> Option<InstanceId> {
        let view = self.views.borrow().clone();
        let mut guard = self.state();
        let state = &mut *guard;
        if !Arc::ptr_eq(&view, &state.view) {
            let serving = view.serving(self.own.service).map(|record| record.id);
            let own = self.own.agent;
            state.relay.update(serving.filter(|id| *id != own));
            state.view = view;
        }
        let now = self.clock.now();
        state.relay.choose(load, Hops::None, now, &mut state.rng)
    }

    /// Asks the agent `id` to run a request, once. Gives `None`, and sends
    /// nothing, if the agent is not known as one of this service.
    pub(crate) fn send_request(
        self: &Arc<Self>,
        id: InstanceId,
        request: &BufferedRequest,
    ) -> Option<PendingReply> {
        let view = self.views.borrow().clone();
        let record = view.record(id)?;
        if record.service != Some(self.own.service) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let peer = record.control;
        let number = {
            let mut state = self.state();
            let number = state.next_number;
            state.next_number += 1;
            state.pending.insert(number, Pending { peer, id, sender });
            number
        };
        let wire = request.to_wire(number, self.own.service, self.clock.now());
        self.send(peer, RelayWire::Ask(Box::new(wire)));
        Some(PendingReply {
            peers: self.clone(),
            number,
            receiver,
        })
    }

    /// Takes in an answer. One that is late, or comes from another peer than
    /// the one that was asked, is dropped.
    pub(crate) fn on_answer(&self, from: SocketAddrV4, answer: AnswerWire) {
        let mut state = self.state();
        let pending = state.pending.get(&answer.number);
        if pending.is_none_or(|pending| pending.peer != from) {
            return log::debug!("event=late-answer peer={from} number={}", answer.number);
        }
        let Some(pending) = state.pending.swap_remove(&answer.number) else {
            return;
        };
        let load = PeerLoad {
            free: answer.free as usize,
            waiting: answer.waiting as usize,
        };
        let now = self.clock.now();
        state.relay.report(pending.id, load, now);
        // A caller that went away needs no answer.
        let _ = pending.sender.send(Reply::from(answer.ending));
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&self, peer: SocketAddrV4, message: RelayWire) {
        self.control.send(peer, Frame::Relay(message));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
