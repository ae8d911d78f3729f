//! What an agent does with a datagram before QUIC sees it.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::watch;

use marigoldway_core::acceptance;
use marigoldway_core::acceptance::Acceptance;
use marigoldway_core::acceptance::AcceptanceOptions;
use marigoldway_core::acceptance::Hop;
use marigoldway_core::forward::DropReason;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::message::Load;
use marigoldway_core::packet::Form;
use marigoldway_core::packet::Head;
use marigoldway_core::reply;
use marigoldway_core::roster::RosterView;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKeys;
use marigoldway_core::time::Timestamp;

use crate::clock::Clock;
use crate::envelope::Direction;
use crate::envelope::Envelope;

/// Most entries remembered by their packets, for the time before the roster
/// names any.
const HEARD_MAX: usize = 16;

/// `FilterDecision` is what becomes of a datagram at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilterDecision {
    /// QUIC takes it.
    Accept,
    /// It opens a flow that another agent shall take, by the given hop.
    Forward {
        /// The other agent.
        to: InstanceId,
        /// The hop as the other agent sees it.
        hop: Hop,
    },
    /// It is dropped.
    Drop(DropReason),
}

/// `DatagramFilter` keeps flows of other agents and services away from QUIC, passes new
/// flows on, and chooses the entries that carry replies.
pub struct DatagramFilter {
    own: Route,
    keys: RouteKeys,
    clock: Clock,
    views: watch::Receiver<Arc<RosterView>>,
    heard: Mutex<IndexMap<InstanceId, Timestamp>>,
    acceptance: Mutex<Acceptance>,
    hash: RandomState,
}

impl DatagramFilter {
    /// Makes the gate of the agent that `own` names.
    pub fn new(
        own: Route,
        keys: RouteKeys,
        clock: Clock,
        views: watch::Receiver<Arc<RosterView>>,
        options: AcceptanceOptions,
    ) -> DatagramFilter {
        DatagramFilter {
            own,
            keys,
            clock,
            views,
            heard: Mutex::default(),
            acceptance: Mutex::new(Acceptance::new(options)),
            hash: RandomState::new(),
        }
    }

    /// The route of the flows that begin here.
    pub fn own(&self) -> &Route {
        &self.own
    }

    /// The keys of the route IDs.
    pub fn keys(&self) -> &RouteKeys {
        &self.keys
    }

    /// Judges a datagram that came in its envelope from the entry or agent at
    /// `from`.
    pub fn decide(&self, from: SocketAddr, envelope: &Envelope, datagram: &[u8]) -> FilterDecision {
        let Direction::Inbound(hop) = envelope.direction else {
            return FilterDecision::Drop(DropReason::WrongDirection);
        };
        if envelope.service != self.own.service {
            return FilterDecision::Drop(DropReason::ForeignService);
        }
        if matches!(hop, Hop::Offered { .. }) {
            self.hear(from);
        }
        let Some(head) = Head::parse(datagram) else {
            return FilterDecision::Drop(DropReason::Malformed);
        };
        match (self.keys.decode(head.id), head.form) {
            (Some(route), _) => self.follow(&route),
            (None, Form::Opening) => self.open(head.id, hop),
            (None, Form::Handshake | Form::Short) => FilterDecision::Drop(DropReason::UnknownRoute),
        }
    }

    /// QUIC answers flows of an earlier life with a stateless reset.
    fn follow(&self, route: &Route) -> FilterDecision {
        if route.service != self.own.service {
            return FilterDecision::Drop(DropReason::ForeignService);
        }
        if route.agent != self.own.agent {
            return FilterDecision::Drop(DropReason::ForeignAgent);
        }
        FilterDecision::Accept
    }

    /// The agent alone knows its load, so it decides on a new flow, once for
    /// all packets that open it.
    fn open(&self, id: &[u8], hop: Hop) -> FilterDecision {
        let key = self.hash.hash_one(id);
        let now = self.clock.now();
        match self.acceptance().decide(now, key, hop) {
            acceptance::Verdict::Keep => FilterDecision::Accept,
            acceptance::Verdict::Pass(to) => FilterDecision::Forward {
                to,
                hop: Hop::Passed {
                    first: self.own.agent,
                },
            },
            acceptance::Verdict::Return(to) => FilterDecision::Forward {
                to,
                hop: Hop::Returned,
            },
            acceptance::Verdict::Refuse => FilterDecision::Drop(DropReason::FlowRefused),
        }
    }

    /// Keeps no new flow from now on.
    pub fn leave(&self) {
        self.acceptance().leave();
    }

    /// Sets the number of flows that the agent holds.
    pub fn set_flows(&self, flows: u32) {
        self.acceptance().set_flows(flows);
    }

    /// Takes note of a peer's load.
    pub fn observe(&self, load: Load) {
        self.acceptance().observe(self.clock.now(), load);
    }

    fn acceptance(&self) -> MutexGuard<'_, Acceptance> {
        // Every call leaves the state whole, so a panic elsewhere can't break it.
        self.acceptance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The entry that carries a reply to `caller`.
    ///
    /// Until the roster names entries, those that were heard from serve.
    pub fn reply_entry(&self, caller: SocketAddrV4) -> Option<InstanceId> {
        let now = self.clock.now();
        let view = self.views.borrow();
        if !view.entries().is_empty() {
            return reply::choose(view.entries(), caller, now);
        }
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let entries: Vec<InstanceId> = heard.keys().copied().collect();
        reply::choose(&entries, caller, now)
    }

    fn hear(&self, from: SocketAddr) {
        if !self.views.borrow().entries().is_empty() {
            return;
        }
        let Ok(entry) = InstanceId::try_from(from) else {
            return;
        };
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if heard.len() >= HEARD_MAX && !heard.contains_key(&entry) {
            let oldest = heard.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            oldest.map(|id| heard.swap_remove(&id));
        }
        heard.insert(entry, self.clock.now());
    }
}
