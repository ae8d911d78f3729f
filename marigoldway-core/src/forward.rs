//! Forwarding decisions of an entry on datagrams from callers.
//!
//! An entry is a process that forwards packets to agents; an agent is the process
//! beside a target. A flow is the QUIC connection of a caller. A route ID is a QUIC
//! connection ID in which an agent encrypted its own address.
//!
//! The entry holds no state for a flow. A datagram whose connection ID is a
//! route ID goes to the agent that the ID names, or is answered with a stateless
//! reset if that agent is down. A datagram that opens a flow goes to an agent that
//! rendezvous hashing selects. Every other datagram is dropped, and the reason is
//! counted.

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

/// Reason why an entry or an agent dropped a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The datagram is not QUIC or is too short, or its caller has no IPv4 address.
    Malformed,
    /// The datagram is longer than the system forwards.
    Oversized,
    /// The route ID or the envelope names a service other than the receiver's.
    ForeignService,
    /// The connection ID is not a route ID made with a key of this process, or its
    /// agent is down and no stateless reset can answer the datagram.
    UnknownRoute,
    /// The route ID names an address that can't be the address of an agent, or names
    /// an agent other than the receiver.
    ForeignAgent,
    /// The roster holds no agent to which a new flow of the service may go.
    NoTarget,
    /// The envelope, the authenticated header that entries and agents prepend to a
    /// datagram, was not made with the fleet's key.
    ForgedEnvelope,
    /// The direction in the envelope does not match its receiver.
    WrongDirection,
    /// The agent refused the new flow.
    FlowRefused,
    /// The agent knows no live entry that could forward a reply.
    NoEntry,
    /// The kernel refused to send the datagram.
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

    /// Returns the reason as written in the names of counters.
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

/// Action of an entry on a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the agent that holds its flow.
    Route(InstanceId),
    /// Offer it as a new flow to the first candidate.
    Place(Candidates),
    /// Answer it with a stateless reset, because the agent of its flow is down.
    Reset,
    /// Drop it.
    Drop(DropReason),
}

/// Set of the addresses that may belong to agents. An entry checks a route ID against
/// it if the agent is not in the roster, for example because the roster lags behind:
/// an entry must never send to an arbitrary address.
pub trait AgentScope {
    /// Reports whether `id` may be an agent.
    fn contains(&self, id: InstanceId) -> bool;
}

/// Decides on datagrams from callers.
#[derive(Clone)]
pub struct Forwarder {
    keys: RouteKeys,
    hash_key: [u8; 16],
    max_len: usize,
}

impl Forwarder {
    /// Creates a forwarder. `hash_key` is the secret key of the hash of connection
    /// IDs; without it, callers could direct their flows to one target. `max_len` is
    /// the maximum length of a datagram that the system forwards, in octets.
    pub fn new(keys: RouteKeys, hash_key: [u8; 16], max_len: usize) -> Forwarder {
        Forwarder {
            keys,
            hash_key,
            max_len,
        }
    }

    /// Decides on a datagram that was received on the address of `service`.
    pub fn decide(
        &self,
        service: ServiceId,
        datagram: &[u8],
        view: &RosterView,
        scope: &impl AgentScope,
    ) -> Decision {
        if datagram.len() > self.max_len {
            return Decision::Drop(DropReason::Oversized);
        }
        let Some(head) = PacketHeader::parse(datagram) else {
            return Decision::Drop(DropReason::Malformed);
        };
        if let Some(route) = self.keys.decode(head.id) {
            return follow_route(&route, service, &head, view, scope);
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

    /// Returns the key of a new flow in rendezvous hashing: the keyed hash of its
    /// connection ID.
    pub fn flow_key(&self, id: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.hash_key);
        hasher.write(id);
        hasher.finish()
    }
}

fn follow_route(
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
        // A reset spares the caller the wait for its timeout.
        Some(record) if record.state == State::Down => reset_if_short(head),
        // A suspect agent is possibly just paused. A restarted agent resets the flows
        // of its former incarnation itself.
        Some(_) => Decision::Route(route.agent),
        // The roster may not yet hold a new agent. An agent that is not in the roster
        // therefore receives datagrams too, if `scope` contains its address.
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
