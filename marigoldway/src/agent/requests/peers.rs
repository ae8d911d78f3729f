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

use crate::agent::requests::ask::Ask;
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
    next: u64,
    open: IndexMap<u64, Open>,
}

/// A question without an answer so far.
struct Open {
    peer: SocketAddrV4,
    id: InstanceId,
    sender: oneshot::Sender<Reply>,
}

/// `Question` waits for the answer of a peer. Dropping it gives the question up.
pub(crate) struct Question {
    peers: Arc<Peers>,
    number: u64,
    receiver: oneshot::Receiver<Reply>,
}

impl Question {
    /// The answer.
    pub(crate) fn answer(&mut self) -> &mut oneshot::Receiver<Reply> {
        &mut self.receiver
    }
}

impl Drop for Question {
    fn drop(&mut self) {
        self.peers.state().open.swap_remove(&self.number);
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
        let life = u64::from(own.incarnation.0);
        let state = State {
            relay: Relay::default(),
            view: Arc::default(),
            rng: StdRng::seed_from_u64(own.agent.to_u64() ^ life),
            // A late answer to an earlier life must not match.
            next: life << 32,
            open: IndexMap::new(),
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
    pub(crate) fn ask(self: &Arc<Self>, id: InstanceId, ask: &Ask) -> Option<Question> {
        let view = self.views.borrow().clone();
        let record = view.record(id)?;
        if record.service != Some(self.own.service) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let peer = record.control;
        let number = {
            let mut state = self.state();
            let number = state.next;
            state.next += 1;
            state.open.insert(number, Open { peer, id, sender });
            number
        };
        let wire = ask.to_wire(number, self.own.service, self.clock.now());
        self.send(peer, RelayWire::Ask(Box::new(wire)));
        Some(Question {
            peers: self.clone(),
            number,
            receiver,
        })
    }

    /// Takes in an answer. One that is late, or comes from another peer than
    /// the one that was asked, is dropped.
    pub(crate) fn answer(&self, from: SocketAddrV4, answer: AnswerWire) {
        let mut state = self.state();
        let open = state.open.get(&answer.number);
        if open.is_none_or(|open| open.peer != from) {
            return log::debug!("event=late-answer peer={from} number={}", answer.number);
        }
        let Some(open) = state.open.swap_remove(&answer.number) else {
            return;
        };
        let room = PeerLoad {
            free: answer.free as usize,
            waiting: answer.waiting as usize,
        };
        let now = self.clock.now();
        state.relay.report(open.id, room, now);
        // A caller that went away needs no answer.
        let _ = open.sender.send(Reply::from(answer.ending));
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&self, peer: SocketAddrV4, message: RelayWire) {
        self.control.send(peer, Frame::Relay(message));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
