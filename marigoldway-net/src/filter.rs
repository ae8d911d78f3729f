//! A filter decides on each datagram that an agent receives, before QUIC processes it.
//!
//! An agent is a process beside one target. Entries are the processes that forward callers'
//! datagrams to agents. For a new flow, an entry selects two candidate agents. An agent drops
//! datagrams of other agents and services, and forwards a new flow that the other candidate
//! has to accept.

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
use marigoldway_core::packet::PacketHeader;
use marigoldway_core::reply;
use marigoldway_core::roster::RosterView;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKeys;
use marigoldway_core::time::Timestamp;

use crate::clock::Clock;
use crate::envelope::Direction;
use crate::envelope::Envelope;

/// Maximum number of entries remembered as senders of datagrams. They forward replies
/// until the roster, which holds one record for each instance, lists an entry.
const MAX_RECENT_ENTRIES: usize = 16;

/// `FilterDecision` is what an agent does with a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilterDecision {
    /// Deliver it to QUIC.
    Accept,
    /// Forward it to the other candidate for the new flow that it opens.
    Forward {
        /// The agent to forward it to.
        to: InstanceId,
        /// The hop to put into the envelope for that agent.
        hop: Hop,
    },
    /// Drop it.
    Drop(DropReason),
}

/// `DatagramFilter` drops datagrams of other agents and services, decides on new flows, and
/// selects the entry that forwards a reply.
pub struct DatagramFilter {
    own: Route,
    keys: RouteKeys,
    clock: Clock,
    views: watch::Receiver<Arc<RosterView>>,
    recent_entries: Mutex<IndexMap<InstanceId, Timestamp>>,
    acceptance: Mutex<Acceptance>,
    hash: RandomState,
}

impl DatagramFilter {
    /// Creates the filter of the agent of the route `own`. `views` holds the latest view of
    /// the roster.
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
            recent_entries: Mutex::default(),
            acceptance: Mutex::new(Acceptance::new(options)),
            hash: RandomState::new(),
        }
    }

    /// Returns the route of the flows that begin at this agent.
    pub fn own(&self) -> &Route {
        &self.own
    }

    /// Returns the keys that encode and decode route IDs, the QUIC connection IDs that
    /// contain the route of a flow.
    pub fn keys(&self) -> &RouteKeys {
        &self.keys
    }

    /// Decides on a datagram that the entry or agent at `from` sent in `envelope`.
    pub fn decide(&self, from: SocketAddr, envelope: &Envelope, datagram: &[u8]) -> FilterDecision {
        let Direction::Inbound(hop) = envelope.direction else {
            return FilterDecision::Drop(DropReason::WrongDirection);
        };
        if envelope.service != self.own.service {
            return FilterDecision::Drop(DropReason::ForeignService);
        }
        if matches!(hop, Hop::Offered { .. }) {
            self.remember_entry(from);
        }
        let Some(head) = PacketHeader::parse(datagram) else {
            return FilterDecision::Drop(DropReason::Malformed);
        };
        match (self.keys.decode(head.id), head.form) {
            (Some(route), _) => self.check_route(&route),
            (None, Form::Opening) => self.decide_new_flow(head.id, hop),
            (None, Form::Handshake | Form::Short) => FilterDecision::Drop(DropReason::UnknownRoute),
        }
    }

    /// Accepts a datagram with a route ID if the route has this agent and its service. The
    /// incarnation isn't compared: QUIC answers the datagrams of flows that began in an earlier
    /// incarnation, before the process restarted, with a stateless reset.
    fn check_route(&self, route: &Route) -> FilterDecision {
        if route.service != self.own.service {
            return FilterDecision::Drop(DropReason::ForeignService);
        }
        if route.agent != self.own.agent {
            return FilterDecision::Drop(DropReason::ForeignAgent);
        }
        FilterDecision::Accept
    }

    /// Decides on a new flow. All packets that open the flow receive the same decision. The
    /// agent decides, not the entry, because only the agent knows its own load exactly.
    fn decide_new_flow(&self, id: &[u8], hop: Hop) -> FilterDecision {
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

    /// Stops accepting new flows, since the agent is about to stop.
    pub fn leave(&self) {
        self.acceptance().leave();
    }

    /// Sets the number of open flows of the agent.
    pub fn set_flows(&self, flows: u32) {
        self.acceptance().set_flows(flows);
    }

    /// Records the load that a peer agent reported.
    pub fn observe(&self, load: Load) {
        self.acceptance().observe(self.clock.now(), load);
    }

    fn acceptance(&self) -> MutexGuard<'_, Acceptance> {
        // Every call leaves the state consistent, so a poisoned lock is safe to use.
        self.acceptance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Selects the entry that forwards a reply to `caller`. Returns `None` if no entry is
    /// known.
    ///
    /// Until the roster lists an entry, it selects one of the entries that sent the latest
    /// datagrams.
    pub fn reply_entry(&self, caller: SocketAddrV4) -> Option<InstanceId> {
        let now = self.clock.now();
        let view = self.views.borrow();
        if !view.entries().is_empty() {
            return reply::choose(view.entries(), caller, now);
        }
        let recent = self
            .recent_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entries: Vec<InstanceId> = recent.keys().copied().collect();
        reply::choose(&entries, caller, now)
    }

    /// Remembers the sender of a datagram as an entry, unless the roster lists entries.
    fn remember_entry(&self, from: SocketAddr) {
        if !self.views.borrow().entries().is_empty() {
            return;
        }
        let Ok(entry) = InstanceId::try_from(from) else {
            return;
        };
        let mut recent = self
            .recent_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if recent.len() >= MAX_RECENT_ENTRIES && !recent.contains_key(&entry) {
            let oldest = recent.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            oldest.map(|id| recent.swap_remove(&id));
        }
        recent.insert(entry, self.clock.now());
    }
}
