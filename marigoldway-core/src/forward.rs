//! What an entry does with a datagram of a caller.
//!
//! The entry holds no state for a flow. A datagram whose connection ID is a
//! route ID goes to the agent that the ID names. One that opens a flow is
//! placed by rendezvous hashing. Everything else is dropped for a counted
//! reason.

use std::fmt;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::packet::Form;
use crate::packet::MIN_INITIAL_LEN;
use crate::packet::PacketHeader;
use crate::placement::Candidates;
use crate::roster::RosterView;
use crate::roster::State;
use crate::route::Route;
use crate::route::RouteKeys;

/// `DropReason` says why a datagram went no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The datagram is not QUIC, or is truncated.
    Malformed,
    /// The datagram is longer than the system carries.
    Oversized,
    /// The route ID belongs to another service than the address.
    ForeignService,
    /// The connection ID is no route ID made with a key held here.
    UnknownRoute,
    /// The route ID names an address that can't be an agent's.
    ForeignAgent,
    /// No target serves the service.
    NoTarget,
    /// The envelope was not made with the fleet's key.
    ForgedEnvelope,
    /// The envelope travels the wrong way.
    WrongDirection,
    /// A new flow found no target that takes it.
    FlowRefused,
    /// No live entry is known to carry a reply.
    NoEntry,
    /// The kernel refused the datagram.
    SendFailed,
}

impl DropReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [DropReason; 11] = [
        DropReason::Malformed,
        DropReason::Oversized,
        DropReason::ForeignService,
        DropReason::UnknownRoute,
        DropReason::ForeignAgent,
        DropReason::NoTarget,
        DropReason::ForgedEnvelope,
        DropReason::WrongDirection,
        DropReason::FlowRefused,
        DropReason::NoEntry,
        DropReason::SendFailed,
    ];

    /// The reason as it stands in the names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Malformed => "malformed",
            DropReason::Oversized => "oversized",
            DropReason::ForeignService => "foreign-service",
            DropReason::UnknownRoute => "unknown-route",
            DropReason::ForeignAgent => "foreign-agent",
            DropReason::NoTarget => "no-target",
            DropReason::ForgedEnvelope => "forged-envelope",
            DropReason::WrongDirection => "wrong-direction",
            DropReason::FlowRefused => "flow-refused",
            DropReason::NoEntry => "no-entry",
            DropReason::SendFailed => "send-failed",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// `Decision` is what an entry does with a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the agent of its flow.
    Route(InstanceId),
    /// Offer it as a new flow to the first candidate.
    Place(Candidates),
    /// Answer it with a stateless reset: its agent is gone.
    Reset,
    /// Drop it.
    Drop(DropReason),
}

/// `AgentScope` decides which addresses may be agents that the roster doesn't
/// hold (yet): an entry must never send to an arbitrary address.
pub trait AgentScope {
    /// Whether `id` may be an agent.
    fn contains(&self, id: InstanceId) -> bool;
}

/// `Forwarder` decides on callers' datagrams.
#[derive(Clone)]
pub struct Forwarder {
    keys: RouteKeys,
    hash: [u8; 16],
    longest: usize,
}

impl Forwarder {
    /// Makes a forwarder. `hash` keys the hash of connection IDs, so that
    /// callers can't aim their flows at one target; `longest` is the longest
    /// datagram that the system carries, in octets.
    pub fn new(keys: RouteKeys, hash: [u8; 16], longest: usize) -> Forwarder {
        Forwarder {
            keys,
            hash,
            longest,
        }
    }

    /// Decides on a datagram that came in on the address of `service`.
    pub fn decide(
        &self,
        service: ServiceId,
        datagram: &[u8],
        view: &RosterView,
        scope: &impl AgentScope,
    ) -> Decision {
        if datagram.len() > self.longest {
            return Decision::Drop(DropReason::Oversized);
        }
        let Some(head) = PacketHeader::parse(datagram) else {
            return Decision::Drop(DropReason::Malformed);
        };
        if let Some(route) = self.keys.decode(head.id) {
            return follow(&route, service, &head, view, scope);
        }
        match head.form {
            Form::Opening if datagram.len() < MIN_INITIAL_LEN => {
                Decision::Drop(DropReason::Malformed)
            }
            Form::Opening => self.place(service, head.id, view),
            Form::Handshake | Form::Short => Decision::Drop(DropReason::UnknownRoute),
        }
    }

    fn place(&self, service: ServiceId, id: &[u8], view: &RosterView) -> Decision {
        match view.candidates(service, self.flow_key(id)) {
            Some(candidates) => Decision::Place(candidates),
            None => Decision::Drop(DropReason::NoTarget),
        }
    }

    /// The number that stands for a new flow in rendezvous hashing.
    pub fn flow_key(&self, id: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.hash);
        hasher.write(id);
        hasher.finish()
    }
}

fn follow(
    route: &Route,
    service: ServiceId,
    head: &PacketHeader<'_>,
    view: &RosterView,
    scope: &impl AgentScope,
) -> Decision {
    if route.service != service {
        return Decision::Drop(DropReason::ForeignService);
    }
    match view.record(route.agent) {
        // The caller need not wait for its timeout.
        Some(record) if record.state == State::Down => reset_if_short(head),
        // A suspect may only be paused, and a new life of the agent resets the
        // flows of the old one itself.
        Some(_) => Decision::Route(route.agent),
        // The roster may lag behind a new agent, so an agent that it doesn't
        // hold is tried as well, within the networks of the settings.
        None if scope.contains(route.agent) => Decision::Route(route.agent),
        None => Decision::Drop(DropReason::ForeignAgent),
    }
}

fn reset_if_short(head: &PacketHeader<'_>) -> Decision {
    match head.form {
        Form::Short => Decision::Reset,
        Form::Opening | Form::Handshake => Decision::Drop(DropReason::UnknownRoute),
    }
}
