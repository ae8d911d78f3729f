//! Relays requests to the other agents of the same service, the peers of this agent.

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

/// `Peers` sends requests to other agents and matches their answers by number.
pub(crate) struct Peers {
    own_route: Route,
    control: Control,
    clock: Clock,
    /// Views of the roster, which holds one record per instance.
    views: watch::Receiver<Arc<RosterView>>,
    state: Mutex<State>,
}

struct State {
    relay: Relay,
    /// The roster view from which the peers of `relay` were taken.
    view: Arc<RosterView>,
    rng: StdRng,
    next_number: u64,
    /// Relayed requests by their number.
    pending: IndexMap<u64, Pending>,
}

/// A relayed request that has not been answered yet.
struct Pending {
    peer: SocketAddrV4,
    id: InstanceId,
    sender: oneshot::Sender<Reply>,
}

/// `PendingReply` receives the reply to a relayed request. Dropping it discards an
/// answer that arrives later.
pub(crate) struct PendingReply {
    peers: Arc<Peers>,
    number: u64,
    receiver: oneshot::Receiver<Reply>,
}

impl PendingReply {
    /// Returns the receiver of the reply.
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
    /// Creates the relay of the agent with the route `own_route`.
    pub(crate) fn new(
        own_route: Route,
        control: Control,
        clock: Clock,
        views: watch::Receiver<Arc<RosterView>>,
    ) -> Arc<Peers> {
        let incarnation = u64::from(own_route.incarnation.0);
        let state = State {
            relay: Relay::default(),
            view: Arc::default(),
            rng: StdRng::seed_from_u64(own_route.agent.to_u64() ^ incarnation),
            // A late answer to an earlier incarnation (run of this process) must not match
            // a request of this one.
            next_number: incarnation << 32,
            pending: IndexMap::new(),
        };
        Arc::new(Peers {
            own_route,
            control,
            clock,
            views,
            state: Mutex::new(state),
        })
    }

    /// Chooses a peer for a request, given the load of the own target. Returns
    /// `None` if the own target has a free slot, or if neither of two random peers
    /// has one.
    pub(crate) fn choose(&self, load: &Load) -> Option<InstanceId> {
        let view = self.views.borrow().clone();
        let mut guard = self.state();
        let state = &mut *guard;
        if !Arc::ptr_eq(&view, &state.view) {
            let serving = view.serving(self.own_route.service).map(|record| record.id);
            let own_agent = self.own_route.agent;
            state.relay.update(serving.filter(|id| *id != own_agent));
            state.view = view;
        }
        let now = self.clock.now();
        state.relay.choose(load, Hops::None, now, &mut state.rng)
    }

    /// Sends a request to the agent `id`, once. Sends nothing and returns `None` if the
    /// roster has no agent `id` of this service.
    pub(crate) fn send_request(
        self: &Arc<Self>,
        id: InstanceId,
        request: &BufferedRequest,
    ) -> Option<PendingReply> {
        let view = self.views.borrow().clone();
        let record = view.record(id)?;
        if record.service != Some(self.own_route.service) {
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
        let wire = request.to_wire(number, self.own_route.service, self.clock.now());
        self.send(peer, RelayWire::Ask(Box::new(wire)));
        Some(PendingReply {
            peers: self.clone(),
            number,
            receiver,
        })
    }

    /// Handles an answer: records the peer's load and passes the reply on. The answer is
    /// dropped if its request is no longer pending or was sent to another peer.
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
        // The receiver is gone if the caller disconnected.
        let _ = pending.sender.send(Reply::from(answer.ending));
    }

    /// Sends a relay message to a peer's control address.
    pub(crate) fn send(&self, peer: SocketAddrV4, message: RelayWire) {
        self.control.send(peer, Frame::Relay(message));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
