//! Defines the actions that an entry decides on.

use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::routes::WorkClass;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;

/// `DropReason` tells why an entry drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The entry has no configuration yet.
    Unconfigured,
    /// The configuration has no route to the address and may be out of date.
    Unrouted,
    /// The entry knows no agent of the service that the flow belongs to.
    Unserved,
    /// All serving targets of the service are in drained failure domains, and the flow may be
    /// open already.
    Drained,
}

impl DropReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Unconfigured => "unconfigured",
            DropReason::Unrouted => "unrouted",
            DropReason::Unserved => "unserved",
            DropReason::Drained => "drained",
        }
    }
}

/// `ResetReason` tells why an entry resets a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration in force has no route to the address.
    Unrouted,
    /// No target of a service that may hold the flow holds it.
    NotHeld,
    /// All serving targets of the new flow's service are in drained failure domains.
    Drained,
}

impl ResetReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::Unrouted => "unrouted",
            ResetReason::NotHeld => "nobody-holds",
            ResetReason::Drained => "drained",
        }
    }
}

/// `Forwarding` is a copy of a client's packet for one agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forwarding {
    /// Agent that receives the packet.
    pub agent: InstanceId,
    /// Header that precedes the packet.
    pub header: Header,
}

/// `EntryAction` tells the caller what to do after a client's packet or an agent's report.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Forward the packet to each of these agents.
    Forward(Vec<Forwarding>),
    /// Ask these agents, one of each service, to search a flow of this class among the agents
    /// that may hold it.
    Search(Vec<InstanceId>, WorkClass, FlowKey),
    /// Send the client a reset of the flow.
    Reset(Reset, ResetReason),
    /// Keep the packet in [`EarlyPackets`](super::EarlyPackets) until the entry has started, or
    /// until its routes are confirmed.
    Keep,
    /// Drop the packet.
    Drop(DropReason),
}
